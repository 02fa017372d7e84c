package balance

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of arrival rates; bursts last seconds.
const rateTimeConstant = 1500 * time.Millisecond

// meter is an exponentially decaying rate per second.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) decay(now time.Time) {
	if !m.at.IsZero() {
		m.value *= math.Exp(-now.Sub(m.at).Seconds() / rateTimeConstant.Seconds())
	}
	m.at = now
}

func (m *meter) add(now time.Time, amount float64) {
	m.decay(now)
	m.value += amount / rateTimeConstant.Seconds()
}

func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.value
}
