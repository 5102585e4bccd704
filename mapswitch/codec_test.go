package mapswitch_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/fencing"
	"guavahitch.example/guavahitch/mapswitch"
	_ "guavahitch.example/guavahitch/proptest"
	"guavahitch.example/guavahitch/wire"
)

func drawLayout(t *rapid.T) mapswitch.Layout {
	layout := mapswitch.Layout{
		Sequence: rapid.Uint64Min(1).Draw(t, "sequence"), Series: rapid.Uint64().Draw(t, "series"),
		Step: rapid.Uint64().Draw(t, "step"), Stalled: rapid.Bool().Draw(t, "stalled"),
		Map: mapswitch.NewMap(rapid.Uint64Min(1).Draw(t, "version"), rapid.SliceOf(rapid.Byte()).Draw(t, "content")).MapReference,
	}
	for rank := range rapid.IntRange(1, 5).Draw(t, "ranks") {
		layout.Members = append(layout.Members, mapswitch.Member{
			Rank: rank, Name: rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "name"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		})
	}
	return layout
}

func drawToken(t *rapid.T) fencing.Token {
	return fencing.Token{Term: rapid.Uint64Min(1).Draw(t, "term"), Count: rapid.Uint64().Draw(t, "count")}
}

func TestMessagesRoundTripThroughTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layout, token := drawLayout(t), drawToken(t)
		state := mapswitch.State{Term: token.Term, Sequence: layout.Sequence, InForce: layout}
		content := mapswitch.NewMap(rapid.Uint64Min(1).Draw(t, "map"), []byte("placement"))
		sent := mapswitch.Instruction{
			Group: group, Rank: 3, Token: token, Replica: "control-1", State: state, Prepare: content, Arm: layout, ArmToken: token,
		}
		data, err := proto.Marshal(sent.ToWire())
		require.NoError(t, err)
		message := &wire.RankInstruction{}
		require.NoError(t, proto.Unmarshal(data, message))
		received, err := mapswitch.InstructionFromWire(message)
		require.NoError(t, err)
		require.Equal(t, sent, received)

		status := mapswitch.Status{
			Group: group, Member: layout.Members[0], Answers: token, Term: token.Term, Settled: 4,
			Engine: mapswitch.EngineState{
				Incarnation: layout.Members[0].Incarnation, Step: 7, Layout: 2, Pending: 3,
				Hold:    mapswitch.Hold{Sequence: 4, Step: 9, Token: token},
				Weights: []mapswitch.MapReference{layout.Map},
			},
		}
		decoded, err := mapswitch.StatusFromWire(status.ToWire())
		require.NoError(t, err)
		require.Equal(t, status, decoded)

		record := mapswitch.Record{
			Group: group, Term: token.Term, Replica: "control-1", Sequence: layout.Sequence, Run: true, Layout: layout,
			ChangeID: "change-1", Cause: "skew 1.4",
		}
		data, err = record.Encode()
		require.NoError(t, err)
		stored, err := mapswitch.DecodeRecord(data)
		require.NoError(t, err)
		require.Equal(t, record, stored)
	})
}

// FuzzDecodeRecord checks that arbitrary bytes give either an error or a record that survives another round trip.
func FuzzDecodeRecord(f *testing.F) {
	whole, err := mapswitch.Record{
		Group: group, Term: 1, Sequence: 2, Run: true, Layout: layoutOf(2, 3),
	}.Encode()
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := mapswitch.DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := record.Encode()
		require.NoError(t, err)
		stored, err := mapswitch.DecodeRecord(again)
		require.NoError(t, err)
		require.Equal(t, record, stored)
	})
}

// FuzzInstruction checks that a participant does not panic on any message that passes validation.
func FuzzInstruction(f *testing.F) {
	whole, err := proto.Marshal(armFor(mapswitch.State{Term: 1, Sequence: 3, InForce: layoutOf(3, 9)}, layoutOf(4, 20), 5).ToWire())
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte("\x0a\xff"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		message := &wire.RankInstruction{}
		if proto.Unmarshal(data, message) != nil {
			return
		}
		instruction, err := mapswitch.InstructionFromWire(message)
		if err != nil {
			return
		}
		p := mapswitch.NewParticipant(group, 0, "ub-a-1")
		runInstruction(p, instruction, mapswitch.EngineState{Step: 10, Layout: 3})
	})
}
