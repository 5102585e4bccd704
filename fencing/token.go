// Package fencing orders the orders that reach a model engine. A Token tells the orders of an older leader
// from those of a newer one. A Gate stands in the sidecar before the engine: it refuses lower tokens, sends
// one order at a time and reads the engine's state back whenever it cannot know that state.
package fencing

import "fmt"

// Token is a fencing token: orders of a later term come after all orders of earlier terms.
type Token struct {
	// Term is the leader's term in the replicated log.
	Term uint64
	// Count grows with each order of the term.
	Count uint64
}

// Before reports whether the token is lower than the other.
func (t Token) Before(other Token) bool {
	if t.Term != other.Term {
		return t.Term < other.Term
	}
	return t.Count < other.Count
}

// IsZero reports whether the token is unset.
func (t Token) IsZero() bool { return t == Token{} }

// String returns term and count as "term.count".
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Term, t.Count) }
