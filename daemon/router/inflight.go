package router

import "sync/atomic"

// inFlight counts calls.
type inFlight struct{ n atomic.Int64 }

func (f *inFlight) add(n int64) { f.n.Add(n) }

func (f *inFlight) count() int { return int(f.n.Load()) }
