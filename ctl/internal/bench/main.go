// Command bench runs a load profile against the dispatcher and the baseline policies, one
// after another with the same arrivals, and writes tables, JSON lines and plots. The flag
// -fault injects a fault into each run.
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

// options holds the command-line flags.
type options struct {
	binDir, profile, policies, fault, outDir string
	seed                                     int64
	phases                                   string
}

// injectFault injects a fault into a running cluster. It is called after a quarter of the
// profile's duration.
type injectFault func(ctx context.Context, c *harness.Cluster) error

var faults = map[string]injectFault{
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
	"dispatcher-killed": killEngineDispatcher,
	"entry-killed": func(_ context.Context, c *harness.Cluster) error {
		c.Instances[len(c.Instances)-1].Process().Kill()
		return nil
	},
}

const maxEngines = 64

func engineID(n int) string { return fmt.Sprintf("engine-%d", n+1) }

func killEngineDispatcher(ctx context.Context, c *harness.Cluster) error {
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
	return nil // baseline policies have no dispatcher
}

func main() {
	logx.Disable()
	caller.ConfigureTransport()
	var o options
	flag.StringVar(&o.binDir, "bin", "bin", "folder with the binaries")
	flag.StringVar(&o.profile, "profile", "samples/nurlight-load.toml", "load profile")
	flag.StringVar(&o.policies, "policies", "round_robin,two_choices,dispatcher", "policies to compare, separated by commas")
	flag.StringVar(&o.fault, "fault", "none", "fault to inject")
	flag.StringVar(&o.outDir, "out", "out", "folder for reports")
	flag.StringVar(&o.phases, "phases", "", "run these phases only, separated by commas")
	flag.Int64Var(&o.seed, "seed", 1, "seed of the arrivals")
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
	selectPhases(p, o.phases)
	inject, ok := faults[o.fault]
	if !ok {
		return eris.Errorf("unknown fault %q", o.fault)
	}
	if err := os.MkdirAll(o.outDir, 0o755); err != nil {
		return err
	}
	base := filepath.Join(o.outDir, p.Name+"-"+o.fault)
	lines, err := os.Create(base + ".jsonl")
	if err != nil {
		return err
	}
	defer lines.Close()
	arrivals := p.Arrivals(o.seed)
	var reports []*load.Report
	for _, policy := range strings.Split(o.policies, ",") {
		r, err := runExperiment(o, p, policy, arrivals, inject)
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

func selectPhases(p *load.Profile, names string) {
	if names == "" {
		return
	}
	var selected []load.Phase
	for _, ph := range p.Phases {
		if strings.Contains(","+names+",", ","+ph.Name+",") {
			selected = append(selected, ph)
		}
	}
	p.Phases = selected
}

const (
	setupTimeout = 30 * time.Second
	drainTimeout = 3 * time.Minute
)

// runExperiment runs one policy on a new cluster.
func runExperiment(o *options, p *load.Profile, policy string, arrivals []load.Arrival, inject injectFault) (*load.Report, error) {
	dir, err := os.MkdirTemp("", "cardamomwick-bench-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout+p.Duration()+drainTimeout)
	defer cancel()
	harnessOptions := harness.Options{BinDir: o.binDir, WorkDir: dir, InstanceCount: p.Fleet.Instances, ReplicaCount: 3, Zones: p.Fleet.Zones, Customers: p.CustomerNames(), LogLevel: "warn"}
	if policy != "dispatcher" {
		harnessOptions.Baseline = policy
	}
	c, err := harness.New(harnessOptions)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := startCluster(ctx, c, p, policy == "dispatcher"); err != nil {
		return nil, err
	}
	before, err := generatedTokens(c)
	if err != nil {
		return nil, err
	}
	faultResult := make(chan error, 1)
	time.AfterFunc(p.Duration()/4, func() { faultResult <- inject(ctx, c) })
	target := &load.Target{Instances: c.Client.Addresses, Keys: c.CustomerKeys, Zones: p.Fleet.Zones}
	samples := load.Run(ctx, p, target, arrivals, commands.PrintProgress)
	fmt.Fprintln(os.Stderr)
	if err := <-faultResult; err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // longer than the fake engines continue abandoned streams
	after, err := generatedTokens(c)
	if err != nil {
		return nil, err
	}
	r := load.NewReport(p, policy, samples)
	r.SetGeneratedTokens(after - before)
	p.AddUpperBounds(arrivals, r)
	return r, nil
}

// startCluster starts the profile's instances and fake servers, and waits until the servers
// are usable.
func startCluster(ctx context.Context, c *harness.Cluster, p *load.Profile, waitForServers bool) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	b := p.Bundle
	if err := c.StartWithBundle(ctx, &b); err != nil {
		return err
	}
	cfg, servers := fakeServers(c, p)
	if err := c.StartFakeServers(cfg); err != nil {
		return err
	}
	if waitForServers {
		return c.WaitServersReady(ctx, servers)
	}
	time.Sleep(2 * time.Second) // baseline policies do not report usable servers
	return nil
}

// fakeServers returns the configuration of the profile's fake servers, and their number.
func fakeServers(c *harness.Cluster, p *load.Profile) (fake.Config, int) {
	var cfg fake.Config
	e, zones := p.Fleet.Engines, p.Fleet.Zones
	for n := range e.Count {
		cfg.Engines = append(cfg.Engines, fake.EngineConfig{ID: engineID(n), Address: c.ServerAddress(n), Zone: zones[n%len(zones)], Pool: e.Pool, Slots: e.Slots,
			StepBaseMicros: e.StepBaseMicros, StepPerCallMicros: e.StepPerCallMicros, PrefillTokensPerSecond: e.PrefillTokensPerSecond,
			CachePrefixes: e.CachePrefixes, ReportLagMillis: e.ReportLagMillis, CacheEventLossPercent: e.CacheEventLossPercent})
	}
	servers := e.Count
	for pool, count := range p.Fleet.Services {
		for k := range count {
			cfg.Services = append(cfg.Services, fake.ServiceConfig{ID: fmt.Sprintf("%s-%d", pool, k+1), Address: c.ServerAddress(servers), Zone: zones[k%len(zones)], Pool: pool,
				Slots: p.Fleet.ServiceSlots, DelayMillis: p.Fleet.ServiceDelayMillis})
			servers++
		}
	}
	return cfg, servers
}

func generatedTokens(c *harness.Cluster) (int64, error) {
	st, err := c.FakeServerState()
	tokens := int64(0)
	for _, e := range st.Engines {
		tokens += e.GeneratedTokens
	}
	return tokens, err
}
