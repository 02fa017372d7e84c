package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Text is a setting that is parsed leniently: it may be written as a string or as a
// number, and is parsed after the file was decoded.
type Text string

// UnmarshalText stores the unparsed text, for numbers too.
func (t *Text) UnmarshalText(text []byte) error {
	*t = Text(text)
	return nil
}

// Tuning holds the settings that only affect performance and timing. Platforms fill them in
// from their own numbers, with fractions or exponents, or leave them empty. An invalid
// value is replaced by a default or a bound: an instance that fails to start serves nobody.
type Tuning struct {
	// RetryRatio, RetrySlack and RetryWindow limit the retries; see Routing.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// MemoryBytes and MaxDescriptors are what the machine gives the process.
	MemoryBytes    int64
	MaxDescriptors int
	Provider       ProviderTuning
	Usage          UsageTuning
	Capacity       CapacityTuning
}

// Bounds of the tuning settings.
const (
	// maxRetryRatio: more than one retry per call would more than double the load of a
	// failing pool.
	maxRetryRatio = 1.0
	// maxRetrySlack keeps sums of slack exact; no pool has this many calls.
	maxRetrySlack = 1e9
	// minRetryWindow keeps the twenty parts of a sliding window longer than the resolution
	// of the clock.
	minRetryWindow = 100 * time.Millisecond
	// maxTime: longer times are equivalent to no limit.
	maxTime = 24 * time.Hour
)

// parseTuning parses the tuning settings and stores warnings about invalid ones.
func (s *Settings) parseTuning() {
	t := &s.tuning
	p := &tuningParser{}
	t.RetryRatio = p.number("routing.retry_ratio", s.Routing.RetryRatio, DefaultRetryRatio, maxRetryRatio)
	t.RetrySlack = p.number("routing.retry_slack", s.Routing.RetrySlack, DefaultRetrySlack, maxRetrySlack)
	t.RetryWindow = p.time("routing.retry_window", s.Routing.RetryWindow, DefaultRetryWindow, minRetryWindow)
	t.DrainTimeout = p.time("callers.drain_timeout", s.Callers.DrainTimeout, DefaultDrainTimeout, 0)
	s.parseMachine(p)
	s.parseDutyTuning(p)
	s.warnings = p.warnings
}

// Tuning returns the settings that only affect performance and timing, parsed, with a default
// or a bound in place of each invalid value.
func (s *Settings) Tuning() Tuning { return s.tuning }

// Warnings returns the settings whose values were replaced, for the log.
func (s *Settings) Warnings() []Problem { return s.warnings }

// tuningParser parses tuning settings and collects a warning for each replaced value.
type tuningParser struct{ warnings []Problem }

func (p *tuningParser) warn(key string, value Text, reason, used string) {
	p.warnings = append(p.warnings, Problem{key, fmt.Sprintf("%q %s; %s is used", string(value), reason, used)})
}

// number parses a number from 0 to highest.
func (p *tuningParser) number(key string, value Text, byDefault, highest float64) float64 {
	if value == "" {
		return byDefault
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(string(value)), 64)
	used := v
	switch {
	case err != nil && math.IsInf(v, 1), v > highest:
		used = highest
	case err != nil || math.IsNaN(v) || v < 0:
		used = byDefault
	default:
		return v
	}
	p.warn(key, value, fmt.Sprintf("is not a number from 0 to %g", highest), fmt.Sprintf("%g", used))
	return used
}

// time parses a duration from shortest to maxTime.
func (p *tuningParser) time(key string, value Text, byDefault, shortest time.Duration) time.Duration {
	if value == "" {
		return byDefault
	}
	seconds, ok := parseSeconds(strings.TrimSpace(string(value)))
	used := byDefault
	switch {
	case ok && seconds > maxTime.Seconds():
		used = maxTime
	case ok && seconds >= shortest.Seconds():
		return time.Duration(math.Round(seconds * float64(time.Second)))
	case ok && seconds > 0:
		used = shortest
	}
	p.warn(key, value, fmt.Sprintf("is not a time from %v to %v, as in \"400ms\" or \"10s\"", shortest, maxTime), used.String())
	return used
}

// parseSeconds parses a Go duration, or seconds in any notation of a number.
func parseSeconds(text string) (float64, bool) {
	if d, err := time.ParseDuration(text); err == nil {
		return d.Seconds(), true
	}
	digits, isSeconds := strings.CutSuffix(text, "s")
	v, err := strconv.ParseFloat(digits, 64)
	if math.IsInf(v, 1) {
		err = nil
	}
	return v, isSeconds && err == nil && !math.IsNaN(v)
}
