package mapswitch

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/fencing"
	"guavahitch.example/guavahitch/wire"
)

// This file converts the types of this package to and from the messages of wire/rank.proto. Received messages are
// validated here, so that the state machines only see well-formed values.

const (
	// MaxRanks is the largest number of ranks in a group.
	MaxRanks = 4096
	// MaxContentBytes is the maximum size of the content of a map.
	MaxContentBytes = 16 << 20
	// maxNameBytes is the maximum size of a name, change ID or cause.
	maxNameBytes = 4096
)

// Encode returns the record as stored in the replicated log. Equal records have equal encodings.
func (r Record) Encode() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.MapRecord{
		Group: r.Group, Term: r.Term, Replica: r.Replica, Takeover: r.Takeover, Sequence: r.Sequence, Run: r.Run,
		Layout: layoutToWire(r.Layout), ChangeId: r.ChangeID, Cause: r.Cause,
	})
	return data, eris.Wrap(err, "encode map record")
}

// DecodeRecord decodes a record of the replicated log. The error names the invalid field.
func DecodeRecord(data []byte) (Record, error) {
	message := &wire.MapRecord{}
	if err := proto.Unmarshal(data, message); err != nil {
		return Record{}, eris.Wrap(err, "decode map record")
	}
	layout, err := layoutFromWire(message.Layout)
	if err != nil {
		return Record{}, eris.Wrap(err, "map record")
	}
	if message.Term == 0 {
		return Record{}, eris.New("map record: term is 0")
	}
	if len(message.Cause) > maxNameBytes || len(message.ChangeId) > maxNameBytes || len(message.Group) > maxNameBytes {
		return Record{}, eris.New("map record: group, change id or cause is too long")
	}
	return Record{
		Group: message.Group, Term: message.Term, Replica: message.Replica, Takeover: message.Takeover,
		Sequence: message.Sequence, Run: message.Run, Layout: layout, ChangeID: message.ChangeId, Cause: message.Cause,
	}, nil
}

// ToWire returns the state as a protobuf message.
func (s State) ToWire() *wire.MapState {
	return &wire.MapState{Term: s.Term, Sequence: s.Sequence, InForce: layoutToWire(s.InForce)}
}

// StateFromWire converts and validates a state. The error names the invalid field.
func StateFromWire(message *wire.MapState) (State, error) {
	layout, err := layoutFromWire(message.GetInForce())
	if err != nil {
		return State{}, eris.Wrap(err, "map state")
	}
	if layout.Sequence > message.GetSequence() {
		return State{}, eris.New("map state: layout in force is later than the last decision")
	}
	return State{Term: message.GetTerm(), Sequence: message.GetSequence(), InForce: layout}, nil
}

// ToWire returns the instruction as a protobuf message.
func (i Instruction) ToWire() *wire.RankInstruction {
	return &wire.RankInstruction{
		Group: i.Group, Rank: int32(i.Rank), Token: tokenToWire(i.Token), Replica: i.Replica, State: i.State.ToWire(),
		Prepare: referenceToWire(i.Prepare.MapReference), Content: i.Prepare.Content,
		Arm: layoutToWire(i.Arm), ArmToken: tokenToWire(i.ArmToken),
	}
}

// InstructionFromWire converts and validates an instruction. The error names the invalid field.
func InstructionFromWire(message *wire.RankInstruction) (Instruction, error) {
	state, err := StateFromWire(message.GetState())
	if err != nil {
		return Instruction{}, eris.Wrap(err, "rank instruction")
	}
	arm, err := layoutFromWire(message.GetArm())
	if err != nil {
		return Instruction{}, eris.Wrap(err, "rank instruction: arm")
	}
	prepare := Map{MapReference: referenceFromWire(message.GetPrepare()), Content: message.GetContent()}
	if len(prepare.Content) > MaxContentBytes {
		return Instruction{}, eris.Errorf(
			"rank instruction: content of %d bytes is over %d", len(prepare.Content), MaxContentBytes,
		)
	}
	if prepare.Version != 0 && !prepare.HasValidChecksum() {
		return Instruction{}, eris.Errorf("rank instruction: content of map %d does not match its checksum", prepare.Version)
	}
	if message.GetToken().GetTerm() == 0 {
		return Instruction{}, eris.New("rank instruction: term of the token is 0")
	}
	if message.GetRank() < 0 || message.GetRank() >= MaxRanks {
		return Instruction{}, eris.Errorf("rank instruction: rank %d is not in 0 to %d", message.GetRank(), MaxRanks-1)
	}
	return Instruction{
		Group: message.GetGroup(), Rank: int(message.GetRank()), Token: tokenFromWire(message.GetToken()),
		Replica: message.GetReplica(), State: state, Prepare: prepare, Arm: arm,
		ArmToken: tokenFromWire(message.GetArmToken()),
	}, nil
}

// ToWire returns the status as a protobuf message.
func (s Status) ToWire() *wire.RankStatus {
	message := &wire.RankStatus{
		Group: s.Group, Member: memberToWire(s.Member), Answers: tokenToWire(s.Answers), Term: s.Term,
		Settled: s.Settled, Step: s.Engine.Step, Layout: s.Engine.Layout, Pending: s.Engine.Pending,
	}
	if s.Engine.Hold.Sequence != 0 {
		hold := s.Engine.Hold
		message.Hold = &wire.MapHold{Sequence: hold.Sequence, Step: hold.Step, Token: tokenToWire(hold.Token)}
	}
	for _, m := range s.Engine.Weights {
		message.Weights = append(message.Weights, referenceToWire(m))
	}
	return message
}

// StatusFromWire converts and validates a status. The error names the invalid field.
func StatusFromWire(message *wire.RankStatus) (Status, error) {
	member, err := memberFromWire(message.GetMember())
	if err != nil {
		return Status{}, eris.Wrap(err, "rank status")
	}
	hold := message.GetHold()
	status := Status{
		Group: message.GetGroup(), Member: member, Answers: tokenFromWire(message.GetAnswers()),
		Term: message.GetTerm(), Settled: message.GetSettled(),
		Engine: EngineState{
			Incarnation: member.Incarnation, Step: message.GetStep(), Layout: message.GetLayout(), Pending: message.GetPending(),
			Hold: Hold{Sequence: hold.GetSequence(), Step: hold.GetStep(), Token: tokenFromWire(hold.GetToken())},
		},
	}
	for _, m := range message.GetWeights() {
		status.Engine.Weights = append(status.Engine.Weights, referenceFromWire(m))
	}
	return status, nil
}

func layoutToWire(l Layout) *wire.MapLayout {
	if l.Sequence == 0 {
		return nil
	}
	message := &wire.MapLayout{
		Sequence: l.Sequence, Step: l.Step, Map: referenceToWire(l.Map), Stalled: l.Stalled, Series: l.Series,
	}
	for _, m := range l.Members {
		message.Members = append(message.Members, memberToWire(m))
	}
	return message
}

func layoutFromWire(message *wire.MapLayout) (Layout, error) {
	if message == nil {
		return Layout{}, nil
	}
	layout := Layout{
		Sequence: message.Sequence, Step: message.Step, Map: referenceFromWire(message.Map),
		Stalled: message.Stalled, Series: message.Series,
	}
	for n, sent := range message.Members {
		m, err := memberFromWire(sent)
		if err != nil {
			return Layout{}, eris.Wrap(err, "layout")
		}
		if m.Rank != n {
			return Layout{}, eris.Errorf("layout: member %d has rank %d", n, m.Rank)
		}
		layout.Members = append(layout.Members, m)
	}
	if layout.Sequence == 0 || layout.Map.Version == 0 || len(layout.Members) == 0 {
		return Layout{}, eris.New("layout: sequence, map version or members are missing")
	}
	return layout, nil
}

func memberToWire(m Member) *wire.RankMember {
	return &wire.RankMember{Rank: int32(m.Rank), Name: m.Name, Incarnation: m.Incarnation}
}

func memberFromWire(message *wire.RankMember) (Member, error) {
	if message.GetRank() < 0 || message.GetRank() >= MaxRanks {
		return Member{}, eris.Errorf("member: rank %d is not in 0 to %d", message.GetRank(), MaxRanks-1)
	}
	if message.GetName() == "" || len(message.GetName()) > maxNameBytes {
		return Member{}, eris.New("member: name is empty or too long")
	}
	return Member{Rank: int(message.GetRank()), Name: message.GetName(), Incarnation: message.GetIncarnation()}, nil
}

func referenceToWire(m MapReference) *wire.MapReference {
	if m.Version == 0 {
		return nil
	}
	return &wire.MapReference{Version: m.Version, Checksum: m.Checksum}
}

func referenceFromWire(message *wire.MapReference) MapReference {
	if message.GetVersion() == 0 {
		return MapReference{}
	}
	return MapReference{Version: message.GetVersion(), Checksum: message.GetChecksum()}
}

func tokenToWire(t fencing.Token) *wire.FencingToken {
	return &wire.FencingToken{Term: t.Term, Count: t.Count}
}

func tokenFromWire(message *wire.FencingToken) fencing.Token {
	return fencing.Token{Term: message.GetTerm(), Count: message.GetCount()}
}
