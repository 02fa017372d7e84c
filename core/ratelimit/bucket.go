package ratelimit

import (
	"math"
	"time"
)

// tokenTime is how long a token may be used. Tokens kept for longer would accumulate
// over hundreds of instances, and a burst could use all of them in one moment.
const tokenTime = time.Second

// Bucket is a token bucket of one instance for one server. Each token allows one
// request. Not safe for concurrent use.
type Bucket struct {
	credit float64
	at     time.Time
}

// NewBucket returns a bucket with the given fraction of its first token. A random
// fraction in [0, 1) spreads the tokens of many instances over time.
func NewBucket(now time.Time, fraction float64) Bucket { return Bucket{credit: fraction, at: now} }

// Take takes a token if one is available. Tokens are added at the given rate per second,
// which may be far below one.
func (b *Bucket) Take(now time.Time, rate float64) bool {
	b.advance(now, rate)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// Charge removes tokens for requests that were sent regardless of the limit. A negative
// balance delays the next requests.
func (b *Bucket) Charge(now time.Time, rate float64, requests int) {
	b.advance(now, rate)
	b.credit -= float64(requests)
}

// TimeUntil returns the time until a token is available; 0 if there is one.
func (b *Bucket) TimeUntil(now time.Time, rate float64) time.Duration {
	return RefillTime(1-b.Tokens(now, rate), rate)
}

// Tokens returns the available tokens, including a fraction of the next one.
func (b *Bucket) Tokens(now time.Time, rate float64) float64 {
	b.advance(now, rate)
	return b.credit
}

// RefillTime returns the time in which the given number of tokens is added, at most an
// hour.
func RefillTime(tokens, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if seconds := tokens / rate; seconds < maxRefillTime.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return maxRefillTime
}

// maxRefillTime bounds times computed from rates near zero.
const maxRefillTime = time.Hour

// advance adds the tokens earned since the last call and drops those that are too old.
func (b *Bucket) advance(now time.Time, rate float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.credit += rate * elapsed.Seconds()
		b.at = now
	}
	maxCredit := 1 + rate*tokenTime.Seconds()
	if b.credit > maxCredit {
		b.credit -= math.Ceil(b.credit - maxCredit)
	}
}
