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

// addTeller counts runs, and keeps the agreed time of day.
func (d *Routed) addTeller(client *replica.Client) {
	s := d.settings
	d.teller = usage.NewReporter(usage.ReporterOptions{Client: client, Instance: s.Instance.Name, Process: d.gossip.Self().Owner(),
		Window: s.Tuning().Usage.Window, Instances: d.instances, ObservesRuns: s.Callers.Address != ""})
	d.services = append(d.services, d.teller)
}

func (d *Routed) instances() int { return len(d.gossip.Instances()) }

// usage is what the router counts runs with, nil for nothing.
func (d *Routed) usage() router.Usage {
	if d.teller == nil {
		return nil
	}
	return d.teller
}

// addDuties adds the duties that one replica at a time does.
func (d *Routed) addDuties(a Adapter, client *replica.Client) {
	s := d.settings
	if d.teller == nil {
		return
	}
	collector := usage.NewCollector(d.transport, func() replica.View { v, _ := d.replica.View(); return v }, client, d.instances)
	d.services = append(d.services, collector)
	given := a.Duties(s.Provider.DutyNames())
	to := provider.Client{Address: s.Provider.Address, Protocol: a}
	var reports provider.Client
	if given.Usage && settings.Enabled(s.Usage.Report) {
		reports = to
	}
	tuned := s.Tuning()
	d.addRunner(usage.DutyName, client, usage.NewExporter(usage.ExporterOptions{Window: tuned.Usage.Window, Within: tuned.Usage.Within,
		Keep: tuned.Usage.Keep, MinInterval: callPause(tuned.Provider.CallsPerSecond), Reporters: d.tellers, Now: d.teller.Now, State: d.replica.Duties, Provider: reports}))
	if given.Servers && settings.Enabled(s.Capacity.Order) {
		d.addOrderer(to, client)
	}
}

func (d *Routed) addOrderer(to provider.Client, client *replica.Client) {
	t := d.settings.Tuning().Capacity
	d.orderer = capacity.New(capacity.Options{Policy: core.Policy{Reserve: t.Reserve, RegularShare: t.RegularShare, MaxPrice: t.MaxPrice},
		Provider: to, Declaration: d.control.Declaration, Servers: d.control.Servers, State: d.replica.Duties,
		Demands: func(ctx context.Context) ([]core.Demand, error) { return usage.Demands(ctx, client) }})
	d.addRunner(capacity.DutyName, client, d.orderer)
}

func (d *Routed) addRunner(name string, client *replica.Client, w duties.Work) {
	r := duties.New(duties.Options{Duty: name, Holder: d.gossip.Self().Owner(), Instance: d.settings.Instance.Name,
		Timing: duty.TimingFor(d.settings.Tuning().Provider.Exclusive), Log: client, State: d.replica.Duties, Work: w})
	d.runners = append(d.runners, r)
	d.services = append(d.services, r)
}

// callPause leaves most of the calls that a provider takes to the other duties, and to
// calls that have no answer.
func callPause(perSecond float64) time.Duration {
	const share = 0.2
	return time.Duration(float64(time.Second) / (share * perSecond))
}

// tellers lists the processes that see runs, for as long as they live.
func (d *Routed) tellers() []string {
	var out []string
	for _, i := range d.gossip.Instances() {
		if i.CallerAddress != "" {
			out = append(out, i.Owner())
		}
	}
	return out
}
