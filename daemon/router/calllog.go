package router

import (
	"math"
	"net/http"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/telemetry"
	"cardamomwick.example/daemon/upstream"
)

func (c *call) logFailure(status int, reason string) {
	entry := c.logEntry().WithFields(log.Fields{"status": status, "reason": reason})
	if c.last != nil {
		entry = entry.WithFields(log.Fields{"last_step": c.last.Step, "last_server": c.last.Server, "last_error": c.last.Err.Error()})
	}
	if c.identity != nil || c.last != nil {
		entry = entry.WithFields(log.Fields{"request": c.digest().String(), "prompt_parts": c.sharedParts()})
	}
	if c.heldPart != "" {
		entry = entry.WithField("held_part", c.heldPart)
	}
	if c.stream != nil {
		entry = entry.WithField("events", c.stream.events)
	}
	if u := c.overBudget.Load(); u != nil {
		entry = entry.WithFields(log.Fields{"budget_retries": u.Retries, "budget_allowed": rounded(u.Allowed), "budget_calls": u.Calls, "budget_instances": u.Instances})
	}
	entry.Info("call failed")
	if c.servedFor != nil {
		c.servedFor.end.Reason = reason
	}
	c.count(status, reason, 0)
}

// countFailure counts a failed attempt, and logs a malformed answer.
func (c *call) countFailure(e *upstream.Error) {
	c.router.opt.Metrics.AttemptFailed(e.Step, e.Cause())
	if e.Malformed() {
		c.logEntry().WithError(e.Err).WithFields(log.Fields{"step": e.Step, "server": e.Server}).Warn("server sent a malformed answer")
	}
}

// logAnswer logs and counts a call that a server has answered.
func (c *call) logAnswer(s fleet.Server, status int) {
	first := time.Since(c.arrived)
	f := log.Fields{"status": status, "server": s.ID, "ahead_tokens": int(c.ticket.Ahead()), "tokens": c.info.Prompt.Tokens,
		"rank": c.choice.Rank, "loss": rounded(c.choice.Loss)}
	if c.stream != nil && c.stream.events > 0 {
		first = c.stream.first.Sub(c.arrived)
		f["first_ms"] = first.Milliseconds()
		f["gap_ms"] = c.stream.longestGap.Milliseconds()
		f["events"] = c.stream.events
	}
	if c.unframed {
		f["ends_with_connection"] = true
	}
	if status < http.StatusInternalServerError {
		f[answeredField] = true
	}
	c.logEntry().WithFields(f).Info("call answered")
	if c.servedFor != nil {
		c.servedFor.end.Server = s.ID
	}
	c.count(status, "", first)
}

// maxLoggedParts bounds the prompt parts in a log line, maxLoggedPartBytes the length of each.
const (
	maxLoggedParts     = 8
	maxLoggedPartBytes = 32
)

// sharedParts returns the IDs of the prompt parts that other calls may share, for the log.
func (c *call) sharedParts() []string {
	var out []string
	parts := c.info.Prompt.SharedParts()
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		out = append(out, p.ID[:min(len(p.ID), maxLoggedPartBytes)])
	}
	return out
}

// rounded rounds a logged value to two decimals.
func rounded(x float64) float64 { return math.Round(x*100) / 100 }

// answeredField marks the log lines that may be dropped first under load.
const answeredField = "answered"

// count adds the call to the metrics.
func (c *call) count(status int, reason string, first time.Duration) {
	m := telemetry.RoutedCall{Status: status, Reason: reason, Attempts: c.runs, First: first}
	if c.route != nil {
		m.Route = c.route.Name
	}
	if c.customer != nil {
		m.Customer = c.customer.Name
	}
	c.router.opt.Metrics.Routed(m)
}

func (c *call) logCallerLeft(s fleet.Server) {
	f := log.Fields{"server": s.ID, "ahead_tokens": int(c.ticket.Ahead()), "tokens": c.info.Prompt.Tokens}
	if c.stream != nil {
		f["events"] = c.stream.events
	}
	c.logEntry().WithFields(f).Info("caller left")
	c.count(0, "caller left", 0)
}

func (c *call) logInfo(message string) { c.logEntry().Info(message) }

func (c *call) logEntry() *log.Entry {
	f := log.Fields{"call": c.info.ID, "runs": c.runs, "refusals": c.refusals, "after_ms": time.Since(c.arrived).Milliseconds(), "tried": c.tried}
	if c.servedFor != nil {
		f["served_for"] = c.servedFor.peer
	}
	if c.servedBy != "" {
		f["served_by"] = c.servedBy
	}
	if c.route != nil {
		f["route"] = c.route.Name
		f["declaration"] = c.declarationVersion()
	}
	if c.customer != nil {
		f["customer"] = c.customer.Name
	}
	if len(c.software) > 0 && c.route.Semantics == routing.Stream {
		f["software"] = c.software
	}
	if c.resumes {
		f["resumes"] = c.info.FirstCallID
		f["after_event"] = c.info.LastEventID
	}
	if c.waited > 0 {
		f["pool"] = c.pool.Name
		f["waited_for_limits_ms"] = c.waited.Milliseconds()
	}
	if x := c.forecast; x.Admission != balance.InTime {
		f["expected"] = x.Admission.String()
		f["expected_first_ms"] = x.First.Milliseconds()
		f["expected_stream_ms"] = x.Stream.Milliseconds()
		f["room_in_ms"] = x.RetryAfter.Milliseconds()
	}
	return log.WithFields(f)
}
