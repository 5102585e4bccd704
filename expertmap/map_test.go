package expertmap_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/expertmap"
	_ "guavahitch.example/guavahitch/proptest"
)

func ExampleMoves() {
	shape := expertmap.Shape{Ranks: 2, Experts: 3, Layers: 1, Slots: 2}
	from, _ := expertmap.New("drafting", shape)
	placed := from.Placed()
	placed[shape.Index(0, 1, 1)] = 2
	to, _ := from.WithVersion(2).WithPlacement(placed, nil)
	moves, _ := expertmap.Moves(from, to)
	fmt.Println(from.Placed(), to.Placed(), moves)
	// Output: [0 2 1 0] [0 2 1 2] [{0 1 1 2 0}]
}

func shapes() *rapid.Generator[expertmap.Shape] {
	return rapid.Custom(func(t *rapid.T) expertmap.Shape {
		s := expertmap.Shape{
			Ranks:  rapid.IntRange(1, 9).Draw(t, "ranks"),
			Layers: rapid.IntRange(1, 4).Draw(t, "layers"),
			Slots:  rapid.IntRange(1, 5).Draw(t, "slots"),
		}
		s.Experts = rapid.IntRange(1, s.LayerSize()).Draw(t, "experts")
		return s
	})
}

func TestEncodingKeepsTheMapAndRefusesDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, err := expertmap.New("g", shapes().Draw(t, "shape"))
		require.NoError(t, err)
		encoded := m.WithVersion(7).Encode()
		decoded, err := expertmap.Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, m.WithVersion(7), decoded)
		damaged := append([]byte(nil), encoded...)
		damaged[rapid.IntRange(0, len(encoded)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if other, err := expertmap.Decode(damaged); err == nil {
			require.Equal(t, decoded, other)
		}
	})
}

func TestSharesOfAnExpertAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, err := expertmap.New("g", shapes().Draw(t, "shape"))
		require.NoError(t, err)
		shares, s := m.Shares(), m.Shape()
		for layer := range s.Layers {
			for e := range s.Experts {
				sum := 0.0
				for _, p := range m.Replicas(layer, e) {
					sum += shares[s.Index(layer, p.Rank, p.Slot)]
				}
				require.InDelta(t, 1, sum, 1e-9)
			}
		}
	})
}

func TestAnExpertWithoutAReplicaIsRefused(t *testing.T) {
	m, err := expertmap.New("g", expertmap.Shape{Ranks: 2, Experts: 2, Layers: 2, Slots: 1})
	require.NoError(t, err)
	_, err = m.WithPlacement([]int16{0, 1, 1, 1}, nil)
	require.ErrorContains(t, err, "layer 1 leaves expert 0")
	_, err = m.WithPlacement([]int16{0, 1, 0, 2}, nil)
	require.ErrorContains(t, err, "layer 1 names expert 2")
	_, err = m.WithPlacement([]int16{0, 1}, nil)
	require.ErrorContains(t, err, "2 slots given")
}

func FuzzDecode(f *testing.F) {
	m, _ := expertmap.New("g", expertmap.Shape{Ranks: 2, Experts: 3, Layers: 1, Slots: 2})
	f.Add(m.Encode())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if m, err := expertmap.Decode(encoded); err == nil {
			require.NoError(t, m.Shape().Validate())
		}
	})
}
