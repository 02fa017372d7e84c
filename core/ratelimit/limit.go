package ratelimit

import (
	"math"
	"time"
)

// Limit is the request limit announced in a server's response.
type Limit struct {
	// Limited is set if the server accepts PerSecond requests per second from all
	// instances together. Otherwise the server has no limit.
	Limited   bool
	PerSecond float64
}

const (
	// maxPerSecond bounds announced rates; it is more than any server can process.
	maxPerSecond = 1e6
	// StepsPerUnit is the resolution of a limit: rates are rounded to multiples of
	// 1/StepsPerUnit. Thus a limit that instances exchange compares equal to the one
	// read from a response.
	StepsPerUnit = 1000
)

// NewLimit returns the limit of a server that accepts the given requests per second; ok
// is false if the number is not a rate.
func NewLimit(perSecond float64) (l Limit, ok bool) {
	if math.IsNaN(perSecond) || perSecond < 0 {
		return Limit{}, false
	}
	return Limit{Limited: true, PerSecond: math.Round(min(perSecond, maxPerSecond)*StepsPerUnit) / StepsPerUnit}, true
}

// Steps returns the limit as a number for messages: 0 for none, or one more than the rate in
// units of 1/StepsPerUnit.
func (l Limit) Steps() uint64 {
	if !l.Limited {
		return 0
	}
	return 1 + uint64(math.Round(l.PerSecond*StepsPerUnit))
}

// LimitOfSteps returns the limit that Steps describes.
func LimitOfSteps(steps uint64) Limit {
	if steps == 0 {
		return Limit{}
	}
	l, _ := NewLimit(float64(steps-1) / StepsPerUnit) // any non-negative rate is valid
	return l
}

// Announced is the latest known announcement of a server. The zero value is that of a
// server that has never announced a limit.
type Announced struct {
	Limit
	// Since is when the current announcement was first received.
	Since time.Time
	// confirmed is when the current announcement was last received.
	confirmed time.Time
}

// Observe records the limit in a response and reports whether it has changed.
func (s *Announced) Observe(now time.Time, l Limit) (changed bool) {
	changed = l != s.Limit
	if changed {
		s.Limit, s.Since = l, now
	}
	s.confirmed = now
	return changed
}

// confirmTime is how long a limit stays valid without a response that confirms it.
const confirmTime = time.Second

// Stale reports whether a limit has not been confirmed for so long that the server may
// have removed it.
func (s *Announced) Stale(now time.Time) bool {
	return s.Limited && now.Sub(s.confirmed) >= confirmTime
}

// transitMargin is subtracted from the time of an announcement that another instance
// reports, whose transit time is unknown. If announcements counted as newer than they
// are, two different ones that circulate among instances would replace each other
// forever.
const transitMargin = 50 * time.Millisecond

// Merge applies an announcement of the given age, received from another instance, and
// reports whether it replaces the known one. The later announcement wins.
func (s *Announced) Merge(now time.Time, l Limit, age time.Duration) (changed bool) {
	announced := now.Add(-age - transitMargin)
	if !announced.After(s.confirmed) {
		return false
	}
	s.confirmed = announced
	if l == s.Limit {
		return false
	}
	s.Limit, s.Since = l, announced
	return true
}
