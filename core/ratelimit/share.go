package ratelimit

import (
	"math"
	"time"
)

const (
	// minPerSecond is the lowest rate that all instances together maintain. Without
	// occasional requests, no instance would learn that a server has announced another
	// limit.
	minPerSecond = 0.25
	// othersTime is the time constant with which the last known call rate of the other
	// instances decays when no reports arrive. Instances that are cut off from each
	// other must not each use the whole limit immediately.
	othersTime = 3 * time.Second
	// maxCallRate bounds the calls per second accepted from reports of others, so that a
	// faulty instance can't reduce this one's share to nothing.
	maxCallRate = 1e6
)

// Share computes this instance's share of the limits of a group of servers. The zero
// value is ready. Not safe for concurrent use.
type Share struct {
	others float64
	at     time.Time
}

// CallRates holds the call rates for a group of servers as one instance knows them.
type CallRates struct {
	// Own and Others are the calls per second received by this instance and by all
	// others.
	Own, Others float64
	// OthersKnown is set once others have reported their calls. Until then the limit is
	// split evenly.
	OthersKnown bool
	// Instances is the number of all instances.
	Instances int
}

// Of returns the share, from 0 to 1.
func (s *Share) Of(now time.Time, k CallRates) float64 {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		s.others *= math.Exp(-elapsed.Seconds() / othersTime.Seconds())
		s.at = now
	}
	if k.Others >= 0 && k.Others <= maxCallRate {
		s.others = max(s.others, k.Others)
	}
	if !k.OthersKnown && k.Instances > 1 {
		return 1 / float64(k.Instances)
	}
	if k.Own <= 0 {
		return 0
	}
	return k.Own / (k.Own + s.others)
}

// Rate returns the requests per second that an instance with the given share may send to
// a server with this limit.
func (l Limit) Rate(share float64) float64 { return share * max(l.PerSecond, minPerSecond) }
