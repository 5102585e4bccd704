// Package consensus implements a replicated log with the Raft protocol: replicas agree on one order of
// commands, and each replica applies them to its own copy of a state machine. Core is the protocol without
// I/O: it takes messages and the current time, and returns effects. Storage keeps a replica's state in one
// folder. Node drives both with goroutines and is the type that a daemon or another program embeds.
package consensus
