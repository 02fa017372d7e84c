package balance

import (
	"math"
	"time"
)

// rateTime is the time constant of the arriving work: bursts last seconds.
const rateTime = 1500 * time.Millisecond

// meter is an exponentially decaying rate per second.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) decay(now time.Time) {
	if !m.at.IsZero() {
		m.value *= math.Exp(-now.Sub(m.at).Seconds() / rateTime.Seconds())
	}
	m.at = now
}

func (m *meter) add(now time.Time, amount float64) {
	m.decay(now)
	m.value += amount / rateTime.Seconds()
}

func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.value
}
