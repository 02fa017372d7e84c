// Package telemetry counts what an instance does, per class, for the metrics
// page. Names follow the text format that VictoriaMetrics/metrics writes.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
)

// Metrics holds an instance's own metric set.
type Metrics struct{ set *metrics.Set }

// New returns an empty set.
func New() *Metrics { return &Metrics{metrics.NewSet()} }

// Gauge registers a value that is read when the page is asked for.
func (m *Metrics) Gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// Call is one finished call.
type Call struct {
	Class      string
	Policy     bundle.Class
	Outcome    state.Outcome
	Refused    bool
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

func name(metric, class string) string { return fmt.Sprintf("%s{class=%q}", metric, class) }

// Call counts a finished call, and whether it met its targets.
func (m *Metrics) Call(c Call) {
	if c.Class == "" {
		c.Class = "none"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomwick_calls_total{class=%q,outcome=%q}", c.Class, c.Outcome)).Inc()
	if c.Refused {
		return
	}
	m.set.GetOrCreateHistogram(name("cardamomwick_first_token_seconds", c.Class)).Update(c.FirstToken.Seconds())
	m.set.GetOrCreateHistogram(name("cardamomwick_total_seconds", c.Class)).Update(c.Total.Seconds())
	m.set.GetOrCreateCounter(name("cardamomwick_output_tokens_total", c.Class)).Add(c.Tokens)
	if c.Policy.Attained(c.FirstToken, c.Total, c.Tokens) {
		m.set.GetOrCreateCounter(name("cardamomwick_attained_total", c.Class)).Inc()
		m.set.GetOrCreateCounter(name("cardamomwick_goodput_tokens_total", c.Class)).Add(c.Tokens)
	}
}

// Abandoned counts tokens whose caller was gone before the end.
func (m *Metrics) Abandoned(class string, tokens int) {
	m.set.GetOrCreateCounter(name("cardamomwick_abandoned_tokens_total", class)).Add(tokens)
}

// Write writes the page.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// RoutedCall is one finished call on a declared route.
type RoutedCall struct {
	Route, Customer string
	// Status is what the caller got; zero when it left or the stream broke.
	Status int
	// Reason is empty for a server's answer.
	Reason   string
	Attempts int
	// First is the time to the answer, or to a stream's first event; zero without
	// one.
	First time.Duration
}

// Routed counts a finished call on a declared route.
func (m *Metrics) Routed(c RoutedCall) {
	if c.Route == "" {
		c.Route = "none"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomwick_routed_calls_total{route=%q,status=\"%d\",reason=%q}", c.Route, c.Status, c.Reason)).Inc()
	if c.Customer != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf("cardamomwick_customer_calls_total{customer=%q,status=\"%d\"}", c.Customer, c.Status)).Inc()
	}
	if c.Attempts > 1 {
		m.set.GetOrCreateCounter(fmt.Sprintf("cardamomwick_repeated_attempts_total{route=%q}", c.Route)).Add(c.Attempts - 1)
	}
	if c.First > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("cardamomwick_routed_first_seconds{route=%q}", c.Route)).Update(c.First.Seconds())
	}
}
