// Command capacity measures how the processor time, memory and network traffic of each role
// grow with the number of instances, backend servers, customers and changes. It runs a
// series of clusters of increasing size on one machine and prints the slopes that
// docs/CAPACITY.md uses.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/procstat"
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/caller"
	"cardamomwick.example/ctl/fake"
	"cardamomwick.example/ctl/harness"
)

const (
	stepTimeout = 150 * time.Second
	// settleTime and settleTimePerInstance make the measurement wait until the gossip
	// messages caused by the start have ended: each instance's state is sent about 24
	// times, eight states to a frame.
	settleTime            = 5 * time.Second
	settleTimePerInstance = 300 * time.Millisecond
)

// step is the cluster of one measurement of a series.
type step struct {
	instances, servers, customers int
	changesPerSecond              int
}

// roleUsage is the mean usage of the instances of one role.
type roleUsage struct {
	// cpuPercent is the processor time in percent of one core.
	cpuPercent  float64
	residentMiB float64
	// bytesPerSecond and framesPerSecond count what was sent.
	bytesPerSecond, framesPerSecond float64
}

// result holds the measurements of one step.
type result struct {
	step
	roles map[string]roleUsage
	// publishTime is the median time from publishing a bundle until it is in force
	// everywhere.
	publishTime time.Duration
}

func main() {
	logx.Disable()
	caller.ConfigureTransport()
	bin := flag.String("bin", "bin", "folder with the binaries")
	duration := flag.Duration("span", 8*time.Second, "how long each step is measured")
	series := flag.String("series", "instances,servers,customers,changes", "quantities to increase, separated by commas")
	flag.Parse()
	for _, name := range strings.Split(*series, ",") {
		if err := runSeries(*bin, name, *duration); err != nil {
			fmt.Fprintln(os.Stderr, "capacity: failed:", err)
			os.Exit(1)
		}
	}
}

var seriesSteps = map[string][]step{
	"instances": {{9, 12, 10, 0}, {18, 12, 10, 0}, {36, 12, 10, 0}, {72, 12, 10, 0}, {120, 12, 10, 0}},
	"servers":   {{9, 12, 10, 0}, {9, 120, 10, 0}, {9, 240, 10, 0}},
	"customers": {{9, 12, 10, 0}, {9, 12, 850, 0}, {9, 12, 1700, 0}},
	"changes":   {{9, 12, 10, 0}, {9, 12, 10, 5}, {9, 12, 10, 10}},
}

// seriesValue returns the quantity that a series increases.
func seriesValue(name string, s step) float64 {
	switch name {
	case "instances":
		return float64(s.instances)
	case "servers":
		return float64(s.servers)
	case "customers":
		return float64(s.customers)
	}
	return float64(s.changesPerSecond)
}

func runSeries(bin, name string, duration time.Duration) error {
	steps, ok := seriesSteps[name]
	if !ok {
		return eris.Errorf("unknown series %q", name)
	}
	var results []result
	for _, s := range steps {
		r, err := measure(bin, s, duration)
		if err != nil {
			return eris.Wrapf(err, "%s %+v", name, s)
		}
		results = append(results, *r)
	}
	printSeries(name, results)
	return nil
}

func printSeries(name string, results []result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\trole\tcore %%\tresident MiB\tsent KB/s\tframes/s\tin force ms\t\n", name)
	for _, r := range results {
		for _, role := range roleNames(r.roles) {
			x := r.roles[role]
			fmt.Fprintf(w, "%.0f\t%s\t%.2f\t%.1f\t%.2f\t%.1f\t%d\t\n", seriesValue(name, r.step), role, x.cpuPercent, x.residentMiB, x.bytesPerSecond/1000, x.framesPerSecond, r.publishTime.Milliseconds())
		}
	}
	w.Flush()
	for _, role := range roleNames(results[0].roles) {
		var xs, cpu, mem, sent []float64
		for _, r := range results {
			xs = append(xs, seriesValue(name, r.step))
			cpu = append(cpu, r.roles[role].cpuPercent)
			mem = append(mem, r.roles[role].residentMiB)
			sent = append(sent, r.roles[role].bytesPerSecond/1000)
		}
		fmt.Printf("  %-10s per one more of %s: %+.4f %% of a core, %+.4f MiB, %+.4f KB/s\n", role, name, slope(xs, cpu), slope(xs, mem), slope(xs, sent))
	}
	fmt.Println()
}

func roleNames(m map[string]roleUsage) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// slope returns the slope of the least-squares line.
func slope(xs, ys []float64) float64 {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

func measure(bin string, s step, duration time.Duration) (*result, error) {
	dir, err := os.MkdirTemp("", "cardamomwick-capacity-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout+duration)
	defer cancel()
	var names []string
	for n := range s.customers {
		names = append(names, fmt.Sprintf("customer-%04d", n))
	}
	c, err := harness.New(harness.Options{BinDir: bin, WorkDir: dir, InstanceCount: s.instances, ReplicaCount: 3, Zones: []string{"a", "b", "c"}, Customers: names, LogLevel: "warn"})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := startCluster(ctx, c, s); err != nil {
		return nil, err
	}
	r := &result{step: s}
	if r.publishTime, err = medianPublishTime(ctx, c); err != nil {
		return nil, err
	}
	time.Sleep(settleTime + time.Duration(s.instances)*settleTimePerInstance)
	before, err := readCounters(c)
	if err != nil {
		return nil, err
	}
	if err := applyChanges(ctx, c, s.changesPerSecond, duration); err != nil {
		return nil, err
	}
	after, err := readCounters(c)
	if err != nil {
		return nil, err
	}
	r.roles, err = averageByRole(ctx, c, before, after)
	return r, err
}

func newBundle(version uint64) *bundle.Bundle {
	second := bundle.Duration(time.Second)
	class := bundle.Class{Tier: 1, Idempotent: true, FirstTokenTarget: second, Deadline: 10 * second, Order: bundle.QueueFIFO,
		GiveUp: bundle.GiveUpDeadline, WhenIsolated: bundle.IsolatedRefuse}
	return &bundle.Bundle{Version: version, Classes: map[string]bundle.Class{"plain": class},
		Pools: map[string]bundle.Pool{"fixtures": {Kind: bundle.PoolService, DefaultClass: "plain"}}}
}

func startCluster(ctx context.Context, c *harness.Cluster, s step) error {
	c.Client.Addresses = c.Client.Addresses[:3]
	if err := c.StartWithBundle(ctx, newBundle(1)); err != nil {
		return err
	}
	var cfg fake.Config
	for n := range s.servers {
		cfg.Services = append(cfg.Services, fake.ServiceConfig{ID: fmt.Sprintf("s%d", n), Address: fmt.Sprintf("%s:%d", hostOf(c.ServerAddress(140)), 9000+n), Zone: "a", Pool: "fixtures", Slots: 16})
	}
	if err := c.StartFakeServers(cfg); err != nil {
		return err
	}
	return c.WaitServersReady(ctx, s.servers)
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// medianPublishTime publishes a few bundles and returns the median time until each was in
// force everywhere.
func medianPublishTime(ctx context.Context, c *harness.Cluster) (time.Duration, error) {
	var times []time.Duration
	for v := uint64(2); v <= 6; v++ {
		start := time.Now()
		res, err := c.Client.Publish(ctx, c.CompleteBundle(newBundle(v)))
		if err != nil || res.Code != state.CodeOK {
			return 0, eris.Errorf("publish: %v %s", err, res.Message)
		}
		if err := c.Client.WaitInForce(ctx, res.Order.Generation, nil); err != nil {
			return 0, err
		}
		times = append(times, time.Since(start))
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2], nil
}

// applyChanges orders a number of small changes per second. It returns after the duration,
// also if there are none.
func applyChanges(ctx context.Context, c *harness.Cluster, perSecond int, duration time.Duration) error {
	if perSecond == 0 {
		time.Sleep(duration)
		return nil
	}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end, n := time.Now().Add(duration), 0; time.Now().Before(end); n++ {
		<-ticker.C
		if _, err := c.Client.Retire(ctx, fmt.Sprintf("gone-%d", n)); err != nil {
			return err
		}
	}
	return nil
}

// processCounters holds the counters of one process at one time.
type processCounters struct {
	at            time.Time
	cpu           time.Duration
	residentMiB   float64
	bytes, frames float64
}

func readCounters(c *harness.Cluster) (map[string]processCounters, error) {
	out := map[string]processCounters{}
	for _, i := range c.Instances {
		used, err := procstat.Read(i.Process().PID())
		if err != nil {
			return nil, err
		}
		u := processCounters{at: time.Now(), cpu: used.CPUTime, residentMiB: float64(used.ResidentBytes) / (1 << 20)}
		page, err := c.Metrics(i)
		if err != nil {
			return nil, err
		}
		u.bytes, u.frames = page["cardamomwick_frame_bytes_sent_total"], page["cardamomwick_frames_sent_total"]
		out[i.Name] = u
	}
	return out, nil
}

// averageByRole returns the mean usage per role between two readings of the counters.
func averageByRole(ctx context.Context, c *harness.Cluster, before, after map[string]processCounters) (map[string]roleUsage, error) {
	leader, err := c.Leader(ctx)
	if err != nil {
		return nil, err
	}
	servers, err := c.Client.Servers(ctx)
	if err != nil {
		return nil, err
	}
	dispatcher := ""
	if len(servers) > 0 {
		dispatcher = servers[0].Dispatcher
	}
	sums, counts := map[string]roleUsage{}, map[string]float64{}
	for _, i := range c.Instances {
		role := "entry"
		switch {
		case i == leader:
			role = "leader"
		case i.DataFolder != "":
			role = "follower"
		case i.Name == dispatcher:
			role = "dispatcher"
		}
		a, b := before[i.Name], after[i.Name]
		seconds := b.at.Sub(a.at).Seconds()
		s := sums[role]
		s.cpuPercent += 100 * (b.cpu - a.cpu).Seconds() / seconds
		s.residentMiB += b.residentMiB
		s.bytesPerSecond += (b.bytes - a.bytes) / seconds
		s.framesPerSecond += (b.frames - a.frames) / seconds
		sums[role] = s
		counts[role]++
	}
	for role, n := range counts {
		s := sums[role]
		sums[role] = roleUsage{s.cpuPercent / n, s.residentMiB / n, s.bytesPerSecond / n, s.framesPerSecond / n}
	}
	return sums, nil
}
