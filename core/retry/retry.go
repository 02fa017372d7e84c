// Package retry decides whether a failed attempt may be retried and when. A budget per
// pool limits retries to a small part of the traffic, so that retries don't add to the
// overload of a failing pool.
package retry

import (
	"math"
	"time"
)

// Defaults of Budget and Backoff.
const (
	DefaultRatio   = 0.1
	DefaultReserve = 10
	BackoffBase    = 20 * time.Millisecond
	BackoffMax     = 2 * time.Second
	MaxAttempts    = 4
)

// Budget allows one retry per 1/Ratio first attempts, plus a reserve for times of low
// traffic. Not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries earned by one first attempt.
	Ratio float64
	// Reserve is the largest number of unused retries that is kept.
	Reserve float64
	tokens  float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{Ratio: ratio, Reserve: reserve, tokens: reserve}
}

// RecordAttempt records a first attempt.
func (b *Budget) RecordAttempt() { b.tokens = math.Min(b.Reserve, b.tokens+b.Ratio) }

// Take spends one retry and reports whether one was available.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before the given attempt (2 is the first retry), with full
// jitter; random is uniform in [0, 1).
func Backoff(attempt int, random float64) time.Duration {
	d := float64(BackoffBase) * math.Pow(2, float64(max(0, attempt-2)))
	return time.Duration(random * math.Min(d, float64(BackoffMax)))
}

// Failure classifies a failed attempt by whether the call may have run.
type Failure uint8

// Kinds of failures.
const (
	// FailureNotSent: no byte reached the server, or the server reported that it did not
	// start the call.
	FailureNotSent Failure = iota + 1
	// FailureUncertain: the call may have run.
	FailureUncertain
)

// Allowed reports whether a call may be attempted again after a failure. A call that is
// not idempotent is retried only if it certainly did not run.
func Allowed(f Failure, idempotent bool, attempt int) bool {
	if attempt >= MaxAttempts {
		return false
	}
	return f == FailureNotSent || idempotent
}
