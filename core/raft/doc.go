// Package raft implements the Raft consensus algorithm (Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm", and
// Ongaro's dissertation for pre-vote, check quorum, read index and
// single-server membership changes) as a pure state machine.
//
// The package performs no I/O and reads no clock; time is measured in ticks. The
// caller provides input with Tick, Step, Propose and ReadIndex, then processes a Ready
// batch: it must first persist HardState, Snapshot and Entries, then send Messages,
// apply Committed, and finally call Advance.
package raft
