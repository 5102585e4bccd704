package lockstep

import "sync/atomic"

// termBits is the number of low bits of a fencing token that count the orders of one term. Tokens of a term stay below
// those of the next one for 2^24 orders.
const termBits = 24

// Tokens issues the fencing tokens of one term of leadership, each above all earlier ones.
type Tokens struct {
	term  uint64
	count atomic.Uint64
}

// NewTokens returns the tokens of a term. They are above those of all earlier terms.
func NewTokens(term uint64) *Tokens { return &Tokens{term: term} }

func (t *Tokens) next() uint64 { return t.term<<termBits | t.count.Add(1) }
