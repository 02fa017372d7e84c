package balance

import (
	"math"
	"time"
)

// Limits of health.
const (
	// avoidBase is how long a server that could not be reached is passed over;
	// it doubles with each further failure in a row.
	avoidBase = 500 * time.Millisecond
	avoidMax  = 4 * time.Second
	// aliveTime is how long after an answer a server can't be taken for gone: one
	// that loses some of its answers still serves the rest.
	aliveTime = 300 * time.Millisecond
	// failureLoss is the loss of a server that fails every call.
	failureLoss = 2
	// failureWeight is the weight of the newest call in the failure share.
	failureWeight = 0.1
	// failureTime lets a failure share fade, so that a mended server is found.
	failureTime = 4 * time.Second
)

// health is what calls have shown of a server, whatever it says of itself.
type health struct {
	inARow     int
	avoidUntil time.Time
	failures   float64
	at         time.Time
	lastGood   time.Time
}

func (h *health) fade(now time.Time) {
	if !h.at.IsZero() {
		h.failures *= math.Exp(-now.Sub(h.at).Seconds() / failureTime.Seconds())
	}
	h.at = now
}

func (h *health) good(now time.Time) {
	h.fade(now)
	h.failures *= 1 - failureWeight
	h.inARow = 0
	h.lastGood = now
	h.avoidUntil = time.Time{}
}

func (h *health) bad(now time.Time, unreachable bool) {
	h.fade(now)
	h.failures += failureWeight * (1 - h.failures)
	if !unreachable || now.Sub(h.lastGood) < aliveTime {
		return
	}
	wait := avoidBase << min(h.inARow, 3)
	h.inARow++
	h.avoidUntil = now.Add(min(wait, avoidMax))
}

func (h *health) avoided(now time.Time) bool { return now.Before(h.avoidUntil) }

func (h *health) loss(now time.Time) float64 {
	h.fade(now)
	return failureLoss * h.failures
}
