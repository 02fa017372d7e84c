package usage

import (
	"slices"
	"time"
)

// Limits of the agreed time.
const (
	// sampleTime is how long a clock's last word counts.
	sampleTime = 15 * time.Second
	// leastShare of the instances must have told their time of day: a clock that jumps
	// must stay among the few.
	leastShare = 0.5
	// patience is how long a new Median waits for that before it goes by what it has.
	patience = 5 * time.Second
)

// Median agrees on a time of day: the middle one of what the instances' clocks say. The
// load pattern it answers: the time of day of some machines jumps by seconds, forward or
// back, while a window lasts five. Not safe for concurrent use.
type Median struct {
	since   time.Time
	samples map[string]sample
}

type sample struct {
	// offset is the instance's time of day less this one's steady time.
	offset time.Duration
	at     time.Time
}

// Note takes an instance's time of day, as it was told at a time of this instance's
// steady clock.
func (m *Median) Note(now time.Time, instance string, timeOfDay time.Time) {
	if m.samples == nil {
		m.samples, m.since = map[string]sample{}, now
	}
	m.samples[instance] = sample{timeOfDay.Sub(now), now}
}

// Offset returns what to add to this instance's steady time; ok is false while too few of
// so many instances have told theirs.
func (m *Median) Offset(now time.Time, instances int) (offset time.Duration, ok bool) {
	var list []time.Duration
	for name, s := range m.samples {
		if now.Sub(s.at) > sampleTime {
			delete(m.samples, name)
			continue
		}
		list = append(list, s.offset)
	}
	enough := float64(len(list)) > leastShare*float64(instances) || now.Sub(m.since) >= patience
	if len(list) == 0 || !enough {
		return 0, false
	}
	slices.Sort(list)
	return list[len(list)/2], true
}

// Clock is the agreed time as one instance holds it: the middle one of the last few times
// it was told, since an answer may have been on its way for long. The zero value has none
// yet. Not safe for concurrent use.
type Clock struct {
	offsets []time.Duration
	next    int
}

// keptOffsets is how many answers a Clock looks back, some seconds: steady clocks do not
// drift by a millisecond meanwhile.
const keptOffsets = 5

// Set takes the agreed time as it was told at a time of the steady clock.
func (c *Clock) Set(now, agreed time.Time) {
	offset := agreed.Sub(now)
	if len(c.offsets) < keptOffsets {
		c.offsets = append(c.offsets, offset)
		return
	}
	c.offsets[c.next%keptOffsets] = offset
	c.next++
}

// At turns a steady time into the agreed time of day; ok is false before the first one
// was told.
func (c *Clock) At(steady time.Time) (t time.Time, ok bool) {
	if len(c.offsets) == 0 {
		return time.Time{}, false
	}
	sorted := slices.Clone(c.offsets)
	slices.Sort(sorted)
	return steady.Add(sorted[len(sorted)/2]), true
}
