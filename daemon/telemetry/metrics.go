// Package telemetry holds an instance's metrics, which it writes in the Prometheus text
// format.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
)

// Metrics holds the metrics of an instance. The summary, whose size does not depend on routes,
// customers and servers, is written first, so that it is complete where a page is cut off.
type Metrics struct{ summary, set *metrics.Set }

// New returns Metrics without any value.
func New() *Metrics { return &Metrics{summary: metrics.NewSet(), set: metrics.NewSet()} }

// Gauge registers a gauge of the summary whose value f returns whenever the metrics are
// written.
func (m *Metrics) Gauge(name string, f func() float64) { m.summary.NewGauge(name, f) }

// Call is a finished call of a class.
type Call struct {
	Class      string
	Policy     bundle.Class
	Outcome    state.Outcome
	Refused    bool
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

// classMetric returns the name of a metric with its class label.
func classMetric(metric, class string) string { return fmt.Sprintf("%s{class=%q}", metric, class) }

// Call records a finished call, and whether it met the targets of its class.
func (m *Metrics) Call(c Call) {
	if c.Class == "" {
		c.Class = "none"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomwick_calls_total{class=%q,outcome=%q}", c.Class, c.Outcome)).Inc()
	if c.Refused {
		return
	}
	m.set.GetOrCreateHistogram(classMetric("cardamomwick_first_token_seconds", c.Class)).Update(c.FirstToken.Seconds())
	m.set.GetOrCreateHistogram(classMetric("cardamomwick_total_seconds", c.Class)).Update(c.Total.Seconds())
	m.set.GetOrCreateCounter(classMetric("cardamomwick_output_tokens_total", c.Class)).Add(c.Tokens)
	if c.Policy.Attained(c.FirstToken, c.Total, c.Tokens) {
		m.set.GetOrCreateCounter(classMetric("cardamomwick_attained_total", c.Class)).Inc()
		m.set.GetOrCreateCounter(classMetric("cardamomwick_goodput_tokens_total", c.Class)).Add(c.Tokens)
	}
}

// Abandoned counts the output tokens of a call whose caller left before the end.
func (m *Metrics) Abandoned(class string, tokens int) {
	m.set.GetOrCreateCounter(classMetric("cardamomwick_abandoned_tokens_total", class)).Add(tokens)
}

// Write writes all metrics, including those of the process.
func (m *Metrics) Write(w io.Writer) {
	m.summary.WritePrometheus(w)
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// RoutedCall is a finished call on a declared route.
type RoutedCall struct {
	Route, Customer string
	// Status is the HTTP status that the caller received, zero if the caller left or the
	// stream broke.
	Status int
	// Reason is why the call has no answer from a server, empty if it has one.
	Reason   string
	Attempts int
	// First is the time to the answer or to the first event of a stream, zero if there was
	// none.
	First time.Duration
}

// Routed records a finished call on a declared route.
func (m *Metrics) Routed(c RoutedCall) {
	if c.Route == "" {
		c.Route = "none"
	}
	m.summary.GetOrCreateCounter(fmt.Sprintf("cardamomwick_final_answers_total{status=\"%d\",reason=%q}", c.Status, c.Reason)).Inc()
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

// RetryTaken counts a retry that was taken from a pool's budget, or for which none was left.
func (m *Metrics) RetryTaken(pool string, taken bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomwick_retry_budget_requests_total{pool=%q,taken=\"%t\"}", pool, taken)).Inc()
}

// BrittleRejection counts a call that a brittle server of a pool had no room for.
func (m *Metrics) BrittleRejection(pool string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomwick_brittle_rejections_total{pool=%q}", pool)).Inc()
}

// Relayed counts a call that was offered to a peer, by the outcome: answered, lost, or why
// the peer declined.
func (m *Metrics) Relayed(outcome string) {
	m.summary.GetOrCreateCounter(fmt.Sprintf("cardamomwick_calls_offered_to_peers_total{outcome=%q}", outcome)).Inc()
}

// AttemptFailed counts a failed attempt at a backend server by the step that failed and its
// cause. Both are from small fixed sets.
func (m *Metrics) AttemptFailed(step, cause string) {
	m.summary.GetOrCreateCounter(fmt.Sprintf("cardamomwick_attempt_failures_total{step=%q,cause=%q}", step, cause)).Inc()
}

// StreamResumed counts an interrupted stream: by says whether its caller resumes it, in another
// call, or this instance does, within the answer; outcome, whether it continues, or why not.
func (m *Metrics) StreamResumed(by, outcome string) {
	m.summary.GetOrCreateCounter(fmt.Sprintf("cardamomwick_stream_resumptions_total{by=%q,outcome=%q}", by, outcome)).Inc()
}
