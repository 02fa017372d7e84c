package daemon

import (
	"context"
	"time"

	core "cardamomwick.example/core/capacity"
	"cardamomwick.example/core/duty"
	"cardamomwick.example/daemon/capacity"
	"cardamomwick.example/daemon/duties"
	"cardamomwick.example/daemon/provider"
	"cardamomwick.example/daemon/replica"
	"cardamomwick.example/daemon/router"
	"cardamomwick.example/daemon/settings"
	"cardamomwick.example/daemon/usage"
)

// addReporter adds the service that counts runs for the usage records and keeps the time of
// day that the instances agree on.
func (d *Routed) addReporter(client *replica.Client) {
	s := d.settings
	d.reporter = usage.NewReporter(usage.ReporterOptions{Client: client, Instance: s.Instance.Name, Process: d.gossip.Self().Owner(),
		Window: s.Tuning().Usage.Window, Instances: d.instances, ObservesRuns: s.Callers.Address != ""})
	d.services = append(d.services, d.reporter)
}

func (d *Routed) instances() int { return len(d.gossip.Instances()) }

// usage returns the counter of runs for the router, nil if usage is not recorded.
func (d *Routed) usage() router.Usage {
	if d.reporter == nil {
		return nil
	}
	return d.reporter
}

// addDuties adds the duties, each of which one replica at a time performs: reporting usage
// and ordering servers.
func (d *Routed) addDuties(a Adapter, client *replica.Client) {
	s := d.settings
	if d.reporter == nil {
		return
	}
	collector := usage.NewCollector(d.transport, func() replica.View { v, _ := d.replica.View(); return v }, client, d.instances)
	d.services = append(d.services, collector)
	enabled := a.Duties(s.Provider.DutyNames())
	providerClient := provider.Client{Address: s.Provider.Address, Protocol: a}
	var reports provider.Client
	if enabled.Usage && settings.Enabled(s.Usage.Report) {
		reports = providerClient
	}
	tuned := s.Tuning()
	d.addRunner(usage.DutyName, client, usage.NewExporter(usage.ExporterOptions{Window: tuned.Usage.Window, Within: tuned.Usage.Within,
		Keep: tuned.Usage.Keep, MinInterval: reportInterval(tuned.Provider.CallsPerSecond), Reporters: d.reporters, Now: d.reporter.Now, State: d.replica.Duties, Provider: reports}))
	if enabled.Servers && settings.Enabled(s.Capacity.Order) {
		d.addOrderer(providerClient, client)
	}
}

func (d *Routed) addOrderer(providerClient provider.Client, client *replica.Client) {
	t := d.settings.Tuning().Capacity
	d.orderer = capacity.New(capacity.Options{Policy: core.Policy{Reserve: t.Reserve, RegularShare: t.RegularShare, MaxPrice: t.MaxPrice},
		Provider: providerClient, Declaration: d.control.Declaration, Servers: d.control.Servers, State: d.replica.Duties,
		Demands: func(ctx context.Context) ([]core.Demand, error) { return usage.Demands(ctx, client) }})
	d.addRunner(capacity.DutyName, client, d.orderer)
}

func (d *Routed) addRunner(name string, client *replica.Client, w duties.Work) {
	r := duties.New(duties.Options{Duty: name, Holder: d.gossip.Self().Owner(), Instance: d.settings.Instance.Name,
		Timing: duty.TimingFor(d.settings.Tuning().Provider.Exclusive), Log: client, State: d.replica.Duties, Work: w})
	d.runners = append(d.runners, r)
	d.services = append(d.services, r)
}

// reportInterval returns the pause between usage reports for a provider that accepts so many
// calls per second. Most of the rate is left for the other duties and for retries of calls
// without an answer.
func reportInterval(callsPerSecond float64) time.Duration {
	const reportShare = 0.2
	return time.Duration(float64(time.Second) / (reportShare * callsPerSecond))
}

// reporters lists the owner names of the live instances that accept calls, and therefore
// count runs.
func (d *Routed) reporters() []string {
	var out []string
	for _, i := range d.gossip.Instances() {
		if i.CallerAddress != "" {
			out = append(out, i.Owner())
		}
	}
	return out
}
