// Package raft implements the Raft consensus algorithm (Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm", and
// Ongaro's dissertation for pre-vote, check quorum, read index and
// single-server membership changes) as a pure state machine.
//
// The package performs no I/O and reads no clock. The caller feeds it Tick,
// Step, Propose and ReadIndex, then takes a Ready batch: it must persist
// HardState, Snapshot and Entries first, send Messages afterwards, apply
// Committed, and finally call Advance. Ticks are the only unit of time.
package raft
