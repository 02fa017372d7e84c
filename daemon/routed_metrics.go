package daemon

import (
	"fmt"
	"net/http"
)

func (d *Routed) registerGauges() {
	gauge := d.metrics.Gauge
	gauge("cardamomwick_instances", func() float64 { return float64(len(d.gossip.Instances())) })
	gauge("cardamomwick_entries", func() float64 { return float64(len(d.gossip.Entries())) })
	gauge("cardamomwick_bad_frames_total", func() float64 { return float64(d.transport.BadFrames.Load()) })
	gauge("cardamomwick_handler_panics_total", func() float64 { return float64(d.transport.Panics.Load()) })
	gauge("cardamomwick_silent_connections_total", func() float64 { return float64(d.transport.Silent.Load()) })
	gauge("cardamomwick_frame_bytes_sent_total", func() float64 { return float64(d.transport.BytesSent.Load()) })
	gauge("cardamomwick_requests_held", func() float64 { return float64(d.keeper.Holding()) })
	if d.router != nil {
		gauge("cardamomwick_servers_ended_total", func() float64 { return float64(d.keeper.ServersEnded()) })
		gauge("cardamomwick_in_flight", func() float64 { return float64(d.router.InFlight()) })
		gauge("cardamomwick_counts_age_seconds", func() float64 { return d.router.CountsAge().Seconds() })
		gauge("cardamomwick_ready", func() float64 { return number(d.ready()) })
		gauge("cardamomwick_declaration_version", func() float64 {
			if t := d.watch.Table(); t != nil {
				return float64(t.Version())
			}
			return 0
		})
	}
	if d.replica != nil {
		gauge("cardamomwick_foreign_announcements_total", func() float64 { return float64(d.control.ForeignAnnouncements()) })
		gauge("cardamomwick_replica_term", func() float64 { v, _ := d.replica.View(); return float64(v.Term) })
		gauge("cardamomwick_replica_leading", func() float64 { v, _ := d.replica.View(); return number(v.Leading) })
		gauge("cardamomwick_replica_in_group", func() float64 { v, _ := d.replica.View(); return number(v.Ready) })
		gauge("cardamomwick_replica_members", func() float64 { v, _ := d.replica.View(); return float64(len(v.Members)) })
		gauge("cardamomwick_replica_declaration_version", func() float64 { v, _ := d.replica.View(); return float64(v.Routing.Held.Version) })
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// metricsPage serves counters and what is believed of each backend server.
func (d *Routed) metricsPage(w http.ResponseWriter, _ *http.Request) {
	d.metrics.Write(w)
	if d.router == nil {
		return
	}
	for pool, list := range d.router.Beliefs() {
		for _, b := range list {
			labels := fmt.Sprintf("{pool=%q,server=%q}", pool, b.ID)
			fmt.Fprintf(w, "cardamomwick_server_running%s %d\n", labels, b.Load.Running)
			fmt.Fprintf(w, "cardamomwick_server_unread_tokens%s %d\n", labels, b.Load.Unread)
			fmt.Fprintf(w, "cardamomwick_server_failure_share%s %g\n", labels, b.Failures)
			fmt.Fprintf(w, "cardamomwick_server_slowness%s %g\n", labels, b.Slowness)
			fmt.Fprintf(w, "cardamomwick_server_long_prompts%s %g\n", labels, number(b.Long))
		}
	}
}
