package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Text is a setting that is read leniently: written as text or as a number, and
// looked at only once its neighbours are known.
type Text string

// UnmarshalText keeps what was written, numbers too.
func (t *Text) UnmarshalText(text []byte) error {
	*t = Text(text)
	return nil
}

// Tuned are the settings that only tune. Platforms fill them in from numbers of
// their own, with fractions, exponents or not at all. An instance that can't read
// one of them starts with the default: it serves nobody otherwise.
type Tuned struct {
	// RetryRatio, RetrySlack and RetryWindow are the limits of repeated attempts;
	// see Routing.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	Provider     TunedProvider
	Usage        TunedUsage
	Capacity     TunedCapacity
}

// Bounds of the tuned settings.
const (
	// mostRetryRatio: more than one repeat a call would double a failing pool's load.
	mostRetryRatio = 1.0
	// mostRetrySlack keeps sums of slack exact; no pool has so many calls.
	mostRetrySlack = 1e9
	// leastRetryWindow is what the twenty parts of a sliding window need to be longer
	// than a clock's grain.
	leastRetryWindow = 100 * time.Millisecond
	// mostTime is a day: longer ones are as good as none.
	mostTime = 24 * time.Hour
)

// tune resolves the settings that only tune, and notes those it could not take.
func (s *Settings) tune() {
	t := &s.tuned
	n := &notices{}
	t.RetryRatio = n.number("routing.retry_ratio", s.Routing.RetryRatio, DefaultRetryRatio, mostRetryRatio)
	t.RetrySlack = n.number("routing.retry_slack", s.Routing.RetrySlack, DefaultRetrySlack, mostRetrySlack)
	t.RetryWindow = n.time("routing.retry_window", s.Routing.RetryWindow, DefaultRetryWindow, leastRetryWindow)
	t.DrainTimeout = n.time("callers.drain_timeout", s.Callers.DrainTimeout, DefaultDrainTimeout, 0)
	s.tuneDuties(n)
	s.notices = n.list
}

// Tuned returns the settings that only tune.
func (s *Settings) Tuned() Tuned { return s.tuned }

// Notices lists the settings that were not taken as they stand, for the log.
func (s *Settings) Notices() []Problem { return s.notices }

// notices gathers what was not taken as it stands.
type notices struct{ list []Problem }

func (n *notices) add(key string, value Text, why, used string) {
	n.list = append(n.list, Problem{key, fmt.Sprintf("%q %s; %s is used", string(value), why, used)})
}

// number reads a number from 0 to most.
func (n *notices) number(key string, value Text, usual, most float64) float64 {
	if value == "" {
		return usual
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(string(value)), 64)
	used := v
	switch {
	case err != nil && math.IsInf(v, 1), v > most:
		used = most
	case err != nil || math.IsNaN(v) || v < 0:
		used = usual
	default:
		return v
	}
	n.add(key, value, fmt.Sprintf("is not a number from 0 to %g", most), fmt.Sprintf("%g", used))
	return used
}

// time reads a duration from least to a day.
func (n *notices) time(key string, value Text, usual, least time.Duration) time.Duration {
	if value == "" {
		return usual
	}
	seconds, ok := secondsOf(strings.TrimSpace(string(value)))
	used := usual
	switch {
	case ok && seconds > mostTime.Seconds():
		used = mostTime
	case ok && seconds >= least.Seconds():
		return time.Duration(math.Round(seconds * float64(time.Second)))
	case ok && seconds > 0:
		used = least
	}
	n.add(key, value, fmt.Sprintf("is not a time from %v to %v, as in \"400ms\" or \"10s\"", least, mostTime), used.String())
	return used
}

// secondsOf reads a Go duration, or seconds in any way of writing a number.
func secondsOf(text string) (float64, bool) {
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
