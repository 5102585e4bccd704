package relocation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/relocation"
)

// BenchmarkChoose measures one choice for groups of several sizes, right after a change of the demand and for a map that is
// nearly even. Before the choices of one switch, the same was done by levelling each set for itself.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ ranks, sets, experts, slots int }{{12, 3, 96, 11}, {63, 16, 126, 3}, {129, 16, 258, 3}} {
		group := relocation.Group{
			Placements: dealt(size.ranks, size.sets, size.experts), Load: skewedLoad(size.sets, size.experts, rand.New(rand.NewPCG(1, 2))),
			Slots: size.slots, Staging: 2, ExpertShare: 0.85, Goal: 1.15, MinSaving: 0.05,
		}
		costs := relocation.Costs{Copy: 35 * time.Millisecond, Delay: 300 * time.Millisecond, Slowdown: 0.15}
		b.Run(fmt.Sprintf("ranks=%d/choose", size.ranks), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				relocation.Choose(group, costs, 5*time.Second)
			}
		})
		b.Run(fmt.Sprintf("ranks=%d/each-set", size.ranks), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for set := range group.Placements {
					balance.LevelLayer(group.Placements[set], group.Load[set], nil, group.Slots, group.Staging, group.Goal)
				}
			}
		})
		b.Run(fmt.Sprintf("ranks=%d/skew", size.ranks), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				relocation.MeanSkew(group.Placements, group.Load, nil)
			}
		})
	}
}
