// Command bench runs a load profile against the dispatcher and the baselines,
// one after another with the same arrivals, and writes tables, JSON lines and
// plots. Faults are added with -fault.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"

	"cardamomwick.example/ctl/caller"
	"cardamomwick.example/ctl/commands"
	"cardamomwick.example/ctl/fake"
	"cardamomwick.example/ctl/harness"
	"cardamomwick.example/ctl/load"
)

// options are the command line.
type options struct {
	bin, profile, policies, fault, out string
	seed                               int64
	only                               string
}

// fault disturbs a running experiment; it is called in the first third of the
// profile.
type fault func(ctx context.Context, c *harness.Cluster) error

var faults = map[string]fault{
	"none": func(context.Context, *harness.Cluster) error { return nil },
	"straggler": func(_ context.Context, c *harness.Cluster) error {
		return c.AdjustEngine(fake.EngineAdjustment{Engine: "engine-1", Slowdown: 4})
	},
	"engine-killed": func(_ context.Context, c *harness.Cluster) error {
		return c.AdjustEngine(fake.EngineAdjustment{Engine: "engine-1", Down: true})
	},
	"late-reports": func(_ context.Context, c *harness.Cluster) error {
		lag := 2000
		for n := range maxEngines {
			_ = c.AdjustEngine(fake.EngineAdjustment{Engine: engineID(n), ReportLagMillis: &lag})
		}
		return nil
	},
	"dispatcher-killed": killDispatcher,
	"entry-killed": func(_ context.Context, c *harness.Cluster) error {
		c.Instances[len(c.Instances)-1].Process().Kill()
		return nil
	},
}

const maxEngines = 64

func engineID(n int) string { return fmt.Sprintf("engine-%d", n+1) }

func killDispatcher(ctx context.Context, c *harness.Cluster) error {
	list, err := c.Client.Servers(ctx)
	if err != nil {
		return err
	}
	for _, s := range list {
		if strings.HasPrefix(s.ID, "engine-") {
			for _, i := range c.Instances {
				if i.Name == s.Dispatcher {
					i.Process().Kill()
					return nil
				}
			}
		}
	}
	return nil // a baseline has no dispatcher
}

func main() {
	logx.Disable()
	caller.ConfigureTransport()
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder with the binaries")
	flag.StringVar(&o.profile, "profile", "samples/nurlight-load.toml", "load profile")
	flag.StringVar(&o.policies, "policies", "round_robin,two_choices,dispatcher", "what to compare")
	flag.StringVar(&o.fault, "fault", "none", "fault to add")
	flag.StringVar(&o.out, "out", "out", "folder for reports")
	flag.StringVar(&o.only, "phases", "", "run these phases only, separated by commas")
	flag.Int64Var(&o.seed, "seed", 1, "draws the arrivals")
	flag.Parse()
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "bench: failed:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	p, err := load.LoadProfile(o.profile)
	if err != nil {
		return err
	}
	selectPhases(p, o.only)
	f, ok := faults[o.fault]
	if !ok {
		return eris.Errorf("unknown fault %q", o.fault)
	}
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return err
	}
	base := filepath.Join(o.out, p.Name+"-"+o.fault)
	lines, err := os.Create(base + ".jsonl")
	if err != nil {
		return err
	}
	defer lines.Close()
	arrivals := p.Arrivals(o.seed)
	var reports []*load.Report
	for _, policy := range strings.Split(o.policies, ",") {
		r, err := experiment(o, p, policy, arrivals, f)
		if err != nil {
			return eris.Wrap(err, policy)
		}
		r.WriteTable(os.Stdout)
		if err := r.WriteJSONLines(lines); err != nil {
			return err
		}
		reports = append(reports, r)
	}
	return load.Plot(base+".png", p.Name+", fault: "+o.fault, reports)
}

func selectPhases(p *load.Profile, only string) {
	if only == "" {
		return
	}
	var kept []load.Phase
	for _, ph := range p.Phases {
		if strings.Contains(","+only+",", ","+ph.Name+",") {
			kept = append(kept, ph)
		}
	}
	p.Phases = kept
}

const (
	setUpLimit = 30 * time.Second
	drainLimit = 3 * time.Minute
)

// experiment runs one policy on a fresh cluster.
func experiment(o *options, p *load.Profile, policy string, arrivals []load.Arrival, f fault) (*load.Report, error) {
	dir, err := os.MkdirTemp("", "cardamomwick-bench-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), setUpLimit+p.Duration()+drainLimit)
	defer cancel()
	opt := harness.Options{BinDir: o.bin, WorkDir: dir, InstanceCount: p.Fleet.Instances, ReplicaCount: 3, Zones: p.Fleet.Zones, Customers: p.CustomerNames(), LogLevel: "warn"}
	if policy != "dispatcher" {
		opt.Baseline = policy
	}
	c, err := harness.New(opt)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := setUp(ctx, c, p, policy == "dispatcher"); err != nil {
		return nil, err
	}
	before, err := generated(c)
	if err != nil {
		return nil, err
	}
	failed := make(chan error, 1)
	time.AfterFunc(p.Duration()/4, func() { failed <- f(ctx, c) })
	target := &load.Target{Instances: c.Client.Addresses, Keys: c.CustomerKeys, Zones: p.Fleet.Zones}
	samples := load.Run(ctx, p, target, arrivals, commands.ShowProgress)
	fmt.Fprintln(os.Stderr)
	if err := <-failed; err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // abandoned generations end
	after, err := generated(c)
	if err != nil {
		return nil, err
	}
	r := load.NewReport(p, policy, samples)
	r.SetGeneratedTokens(after - before)
	p.AddUpperBounds(arrivals, r)
	return r, nil
}

func setUp(ctx context.Context, c *harness.Cluster, p *load.Profile, views bool) error {
	ctx, cancel := context.WithTimeout(ctx, setUpLimit)
	defer cancel()
	b := p.Bundle
	if err := c.StartWithBundle(ctx, &b); err != nil {
		return err
	}
	cfg, n := standIns(c, p)
	if err := c.StartFakeServers(cfg); err != nil {
		return err
	}
	if views {
		return c.WaitServersReady(ctx, n)
	}
	time.Sleep(2 * time.Second) // baselines have no view of servers
	return nil
}

func standIns(c *harness.Cluster, p *load.Profile) (fake.Config, int) {
	var cfg fake.Config
	e, zones := p.Fleet.Engines, p.Fleet.Zones
	for n := range e.Count {
		cfg.Engines = append(cfg.Engines, fake.EngineConfig{ID: engineID(n), Address: c.ServerAddress(n), Zone: zones[n%len(zones)], Pool: e.Pool, Slots: e.Slots,
			StepBaseMicros: e.StepBaseMicros, StepPerCallMicros: e.StepPerCallMicros, PrefillTokensPerSecond: e.PrefillTokensPerSecond,
			CachePrefixes: e.CachePrefixes, ReportLagMillis: e.ReportLagMillis, CacheEventLossPercent: e.CacheEventLossPercent})
	}
	n := e.Count
	for pool, count := range p.Fleet.Services {
		for k := range count {
			cfg.Services = append(cfg.Services, fake.ServiceConfig{ID: fmt.Sprintf("%s-%d", pool, k+1), Address: c.ServerAddress(n), Zone: zones[k%len(zones)], Pool: pool,
				Slots: p.Fleet.ServiceSlots, DelayMillis: p.Fleet.ServiceDelayMillis})
			n++
		}
	}
	return cfg, n
}

func generated(c *harness.Cluster) (int64, error) {
	st, err := c.FakeServerState()
	n := int64(0)
	for _, e := range st.Engines {
		n += e.GeneratedTokens
	}
	return n, err
}
