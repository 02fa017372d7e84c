package balance

import (
	"math"
	"time"
)

// Health parameters.
const (
	// avoidBase is how long a server is avoided after it could not be reached. The
	// time doubles with each consecutive failure, up to avoidMax.
	avoidBase = 500 * time.Millisecond
	avoidMax  = 4 * time.Second
	// recentSuccessWindow is how long after a success a server cannot be treated as
	// unreachable: a server that loses some of its answers still serves the rest.
	recentSuccessWindow = 300 * time.Millisecond
	// failureLoss is the loss for a server on which every call fails.
	failureLoss = 2
	// failureWeight is the weight of the latest call in the failure share.
	failureWeight = 0.1
	// failureDecay is the time constant with which the failure share decays, so that a
	// recovered server gets calls again.
	failureDecay = 4 * time.Second
)

// health tracks the outcomes of calls to a server, independent of what the server
// reports.
type health struct {
	consecutiveFailures int
	avoidUntil          time.Time
	failures            float64
	at                  time.Time
	lastSuccess         time.Time
}

func (h *health) decay(now time.Time) {
	if !h.at.IsZero() {
		h.failures *= math.Exp(-now.Sub(h.at).Seconds() / failureDecay.Seconds())
	}
	h.at = now
}

func (h *health) recordSuccess(now time.Time) {
	h.decay(now)
	h.failures *= 1 - failureWeight
	h.consecutiveFailures = 0
	h.lastSuccess = now
	h.avoidUntil = time.Time{}
}

func (h *health) recordFailure(now time.Time, unreachable bool) {
	h.decay(now)
	h.failures += failureWeight * (1 - h.failures)
	if !unreachable || now.Sub(h.lastSuccess) < recentSuccessWindow {
		return
	}
	wait := avoidBase << min(h.consecutiveFailures, 3)
	h.consecutiveFailures++
	h.avoidUntil = now.Add(min(wait, avoidMax))
}

func (h *health) avoided(now time.Time) bool { return now.Before(h.avoidUntil) }

func (h *health) loss(now time.Time) float64 {
	h.decay(now)
	return failureLoss * h.failures
}
