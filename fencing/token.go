// Package fencing keeps outdated orders of control leaders from reaching a model engine. Each order carries a Token
// that compares orders of an older leader with orders of a newer one. A Gate runs in the engine's sidecar: it refuses
// orders with a lower token, sends one order at a time, and reads the engine's state back whenever that state is
// unknown. An Executor performs the gate's steps over a connection to the engine.
package fencing

import "fmt"

// Token is a fencing token. Tokens compare by term first and by count second, so every order of a later term is above
// all orders of earlier terms.
type Token struct {
	// Term is the leader's term in the replicated log.
	Term uint64
	// Count increases with each order of the term.
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

// String formats the token as "term.count".
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Term, t.Count) }
