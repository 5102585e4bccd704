// Package consensus is a replicated log: replicas agree on one order of commands and each applies them to
// its own copy of a state machine. Core is the pure protocol: it takes messages and a time and returns
// effects, without I/O. Storage keeps a replica's state in one folder. Node drives both with goroutines and
// is what a daemon or another program embeds.
package consensus
