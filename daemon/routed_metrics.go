package daemon

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"cardamomwick.example/core/membudget"
	"cardamomwick.example/daemon/inbound"
	"cardamomwick.example/daemon/telemetry"
)

func (d *Routed) registerGauges() {
	gauge := d.metrics.Gauge
	registerGuardGauges(d.metrics, d.guard)
	registerAnswerGauges(d.metrics, d.answers)
	gauge("cardamomwick_instances", func() float64 { return float64(len(d.gossip.Instances())) })
	gauge("cardamomwick_entries", func() float64 { return float64(len(d.gossip.Entries())) })
	gauge("cardamomwick_bad_frames_total", func() float64 { return float64(d.transport.BadFrames.Load()) })
	gauge("cardamomwick_handler_panics_total", func() float64 { return float64(d.transport.Panics.Load()) })
	gauge("cardamomwick_silent_connections_total", func() float64 { return float64(d.transport.Silent.Load()) })
	gauge("cardamomwick_frame_bytes_sent_total", func() float64 { return float64(d.transport.BytesSent.Load()) })
	gauge("cardamomwick_requests_held", func() float64 { return float64(d.quarantine.HeldRequests()) })
	gauge("cardamomwick_stream_records", func() float64 { return float64(d.records.Records()) })
	gauge("cardamomwick_stream_records_lost_total", func() float64 { return float64(d.records.Lost()) })
	if d.router != nil {
		gauge("cardamomwick_servers_ended_total", func() float64 { return float64(d.quarantine.Crashes()) })
		for finding := range d.quarantine.ProbeResults() {
			gauge(fmt.Sprintf("cardamomwick_server_checks_total{finding=%q}", finding), func() float64 { return float64(d.quarantine.ProbeResults()[finding]) })
		}
		for v := range d.quarantine.Verdicts() {
			gauge(fmt.Sprintf("cardamomwick_unreached_servers_total{verdict=%q}", v), func() float64 { return float64(d.quarantine.Verdicts()[v]) })
		}
		gauge("cardamomwick_in_flight", func() float64 { return float64(d.router.InFlight()) })
		gauge("cardamomwick_counts_age_seconds", func() float64 { return d.router.CountsAge().Seconds() })
		gauge("cardamomwick_waiting_for_limits", func() float64 { return float64(d.router.WaitingForLimits()) })
		gauge("cardamomwick_unreachable_pools", func() float64 { return float64(d.router.UnreachablePools()) })
		gauge("cardamomwick_path_probes_total", func() float64 { return float64(d.router.PathProbes()) })
		gauge("cardamomwick_calls_served_for_peers", func() float64 { return float64(d.relays.Calls()) })
		gauge("cardamomwick_ready", func() float64 { return boolValue(d.ready()) })
		gauge("cardamomwick_declaration_version", func() float64 {
			if t := d.watch.Table(); t != nil {
				return float64(t.Version())
			}
			return 0
		})
		gauge("cardamomwick_declaration_confirmed_age_seconds", func() float64 { return d.watch.SinceConfirmed().Seconds() })
	}
	if d.replica != nil {
		d.registerDutyGauges()
		gauge("cardamomwick_foreign_announcements_total", func() float64 { return float64(d.control.ForeignAnnouncements()) })
		gauge("cardamomwick_replica_term", func() float64 { v, _ := d.replica.View(); return float64(v.Term) })
		gauge("cardamomwick_replica_leading", func() float64 { v, _ := d.replica.View(); return boolValue(v.Leading) })
		gauge("cardamomwick_replica_in_group", func() float64 { v, _ := d.replica.View(); return boolValue(v.Ready) })
		gauge("cardamomwick_replica_available", func() float64 { return boolValue(d.replica.Available()) })
		gauge("cardamomwick_replica_members", func() float64 { v, _ := d.replica.View(); return float64(len(v.Members)) })
		gauge("cardamomwick_replica_declaration_version", func() float64 { v, _ := d.replica.View(); return float64(v.Routing.Declared.Version) })
	}
}

// registerAnswerGauges registers what the answers of servers hold.
func registerAnswerGauges(m *telemetry.Metrics, p *membudget.Pool) {
	m.Gauge("cardamomwick_answer_bytes", func() float64 { return float64(p.Held()) })
	m.Gauge("cardamomwick_answer_memory_denied_total", func() float64 { return float64(p.Denied()) })
}

// registerGuardGauges registers what clients make the process hold, and what was refused.
func registerGuardGauges(m *telemetry.Metrics, g *inbound.Guard) {
	for k := range membudget.Kinds {
		m.Gauge(fmt.Sprintf("cardamomwick_client_bytes{kind=%q}", k), func() float64 { return float64(g.Held(k)) })
	}
	m.Gauge("cardamomwick_client_bytes_limit", func() float64 { return float64(g.Limits().Bytes) })
	m.Gauge("cardamomwick_client_connections", func() float64 { return float64(g.Connections()) })
	m.Gauge("cardamomwick_client_connections_limit", func() float64 { return float64(g.Limits().Connections) })
	for r := range inbound.Reasons {
		m.Gauge(fmt.Sprintf("cardamomwick_client_refusals_total{reason=%q}", r), func() float64 { return float64(g.Refusals(r)) })
	}
}

// registerDutyGauges registers a replica's gauges of the duties it holds, their terms and
// the usage windows.
func (d *Routed) registerDutyGauges() {
	gauge := d.metrics.Gauge
	for _, r := range d.runners {
		gauge(fmt.Sprintf("cardamomwick_duty_holder{duty=%q}", r.Duty()), func() float64 { return boolValue(r.Holds()) })
		gauge(fmt.Sprintf("cardamomwick_duty_term{duty=%q}", r.Duty()), func() float64 { return float64(d.replica.Duties().Duties[r.Duty()].Lease.Term) })
	}
	gauge("cardamomwick_usage_windows_open", func() float64 { return float64(d.replica.Duties().Usage.Open) })
	gauge("cardamomwick_usage_windows_untaken", func() float64 { v := d.replica.Duties().Usage; return float64(unacknowledgedWindows(&v)) })
	gauge("cardamomwick_usage_runs_late_total", func() float64 { return float64(d.replica.Duties().Usage.Late) })
}

// writeCapacity writes the wanted and the present number of servers as the holder of the
// capacity duty counts them.
func (d *Routed) writeCapacity(w io.Writer) {
	if d.orderer == nil {
		return
	}
	for _, c := range d.orderer.Counts() {
		fmt.Fprintf(w, "cardamomwick_servers_wanted{pool=%q} %d\n", c.Pool, c.Want)
		zone := fmt.Sprintf("pool=%q,zone=%q", c.Pool, c.Zone)
		fmt.Fprintf(w, "cardamomwick_servers_seen{%s,reclaimable=\"false\"} %d\n", zone, c.Regular)
		fmt.Fprintf(w, "cardamomwick_servers_seen{%s,reclaimable=\"true\"} %d\n", zone, c.Reclaimable)
		fmt.Fprintf(w, "cardamomwick_servers_price{%s} %g\n", zone, c.Price)
	}
}

// writeSharedBounds writes an entry's use of the bounds that all instances share.
func (d *Routed) writeSharedBounds(w io.Writer) {
	for pool, u := range d.router.RetryBudgets() {
		fmt.Fprintf(w, "cardamomwick_retry_budget_retries{pool=%q} %g\n", pool, u.Retries)
		fmt.Fprintf(w, "cardamomwick_retry_budget_allowed{pool=%q} %g\n", pool, u.Allowed)
		fmt.Fprintf(w, "cardamomwick_retry_budget_instances{pool=%q} %d\n", pool, u.Instances)
	}
	for _, b := range d.router.BrittlePools() {
		fmt.Fprintf(w, "cardamomwick_brittle_rejections_per_second{pool=%q} %g\n", b.Pool, b.PerSecond)
		fmt.Fprintf(w, "cardamomwick_brittle_unconfirmed_seconds{pool=%q} %g\n", b.Pool, time.Since(b.Confirmed).Seconds())
		fmt.Fprintf(w, "cardamomwick_slot_owners{pool=%q} %d\n", b.Pool, b.Owners)
		fmt.Fprintf(w, "cardamomwick_unheard_slot_owners{pool=%q} %d\n", b.Pool, b.Unheard)
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// metricsPage serves the counters and the router's estimates about each backend server.
func (d *Routed) metricsPage(w http.ResponseWriter, _ *http.Request) {
	d.metrics.Write(w)
	d.writeCapacity(w)
	if d.router == nil {
		return
	}
	d.writeSharedBounds(w)
	for pool, list := range d.router.ServerStates() {
		for _, b := range list {
			labels := fmt.Sprintf("{pool=%q,server=%q}", pool, b.ID)
			fmt.Fprintf(w, "cardamomwick_server_running%s %d\n", labels, b.Load.Running)
			fmt.Fprintf(w, "cardamomwick_server_unread_tokens%s %d\n", labels, b.Load.PendingPromptTokens)
			fmt.Fprintf(w, "cardamomwick_server_failure_share%s %g\n", labels, b.Failures)
			fmt.Fprintf(w, "cardamomwick_server_slowness%s %g\n", labels, b.Slowness)
			fmt.Fprintf(w, "cardamomwick_server_long_prompts%s %g\n", labels, boolValue(b.Long))
			if b.Limit.Limited {
				fmt.Fprintf(w, "cardamomwick_server_limit_per_second%s %g\n", labels, b.Limit.PerSecond)
				fmt.Fprintf(w, "cardamomwick_server_limit_share_per_second%s %g\n", labels, b.LimitRate)
				fmt.Fprintf(w, "cardamomwick_server_limited_requests%s %d\n", labels, b.LimitSent)
			}
		}
	}
}
