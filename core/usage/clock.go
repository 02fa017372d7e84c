package usage

import (
	"slices"
	"time"
)

// Parameters of the agreed time.
const (
	// sampleTTL is how long the last report of a clock is valid.
	sampleTTL = 15 * time.Second
	// minShare is the share of instances that must have reported their time of day, so
	// that clocks that jump are a minority.
	minShare = 0.5
	// startTimeout is how long a new ClockMedian waits for that before it uses the
	// reports it has.
	startTimeout = 5 * time.Second
)

// ClockMedian determines the agreed time of day: the median of the instances' clocks.
// The time of day of some machines jumps by seconds in either direction, while a window
// may be as short as five seconds. Not safe for concurrent use.
type ClockMedian struct {
	since   time.Time
	samples map[string]sample
}

type sample struct {
	// offset is the instance's time of day minus this instance's monotonic time.
	offset time.Duration
	at     time.Time
}

// Record stores an instance's time of day, received at the given time of this instance's
// monotonic clock.
func (m *ClockMedian) Record(now time.Time, instance string, timeOfDay time.Time) {
	if m.samples == nil {
		m.samples, m.since = map[string]sample{}, now
	}
	m.samples[instance] = sample{timeOfDay.Sub(now), now}
}

// Offset returns the difference between the agreed time and this instance's monotonic
// time; ok is false while too few of the given number of instances have reported theirs.
func (m *ClockMedian) Offset(now time.Time, instances int) (offset time.Duration, ok bool) {
	var list []time.Duration
	for name, s := range m.samples {
		if now.Sub(s.at) > sampleTTL {
			delete(m.samples, name)
			continue
		}
		list = append(list, s.offset)
	}
	enough := float64(len(list)) > minShare*float64(instances) || now.Sub(m.since) >= startTimeout
	if len(list) == 0 || !enough {
		return 0, false
	}
	slices.Sort(list)
	return list[len(list)/2], true
}

// Clock is one instance's estimate of the agreed time: the median of the last few
// responses, of which some may have been delayed. The zero value has no time yet. Not
// safe for concurrent use.
type Clock struct {
	offsets []time.Duration
	next    int
}

// maxOffsets is the number of responses a Clock considers. They cover some seconds, in
// which monotonic clocks drift by less than a millisecond.
const maxOffsets = 5

// Set records the agreed time received at the given monotonic time.
func (c *Clock) Set(now, agreed time.Time) {
	offset := agreed.Sub(now)
	if len(c.offsets) < maxOffsets {
		c.offsets = append(c.offsets, offset)
		return
	}
	c.offsets[c.next%maxOffsets] = offset
	c.next++
}

// At converts a monotonic time to the agreed time of day; ok is false before the first
// call of Set.
func (c *Clock) At(monotonic time.Time) (t time.Time, ok bool) {
	if len(c.offsets) == 0 {
		return time.Time{}, false
	}
	sorted := slices.Clone(c.offsets)
	slices.Sort(sorted)
	return monotonic.Add(sorted[len(sorted)/2]), true
}
