// Command demo runs cardamomwick's main job end to end with real processes on
// loopback addresses and prints what it measured. The last line is "demo: ok".
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/caller"
	"cardamomwick.example/ctl/fake"
	"cardamomwick.example/ctl/harness"
)

const limit = 45 * time.Second

func main() {
	logx.Disable()
	caller.ConfigureTransport()
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: demo BIN-FOLDER")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "demo: failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo: ok")
}

// demo is the state that the steps share.
type demo struct {
	c     *harness.Cluster
	rows  [][2]string
	begun time.Time
}

type step struct {
	name string
	run  func(context.Context, *demo) (string, error)
}

var steps = []step{
	{"three instances up, replica group formed", startInstances},
	{"bundle signed, published, in force everywhere", publish},
	{"backend servers announced themselves", announceServers},
	{"callers ask which addresses to use", addresses},
	{"streamed chat answer equals the engine's", chat},
	{"non-idempotent call twice with one key, by two entries", once},
	{"typed errors for bad input, nothing lost", badInput},
	{"backend server retired under load", retire},
	{"instance shut down while a stream runs", shutdown},
	{"one of three replicas killed: publish and call go on", killReplica},
}

func run(bin string) error {
	dir, err := os.MkdirTemp("", "cardamomwick-demo-")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c, err := harness.New(harness.Options{BinDir: bin, WorkDir: dir, InstanceCount: 3, ReplicaCount: 3, Zones: []string{"zone-a", "zone-b"}, Customers: []string{"hotel"}})
	if err != nil {
		return err
	}
	defer c.Close()
	d := &demo{c: c, begun: time.Now()}
	failure := d.steps(ctx)
	d.print()
	if failure != nil {
		fmt.Fprintln(os.Stderr, "logs are kept in", dir)
		return failure
	}
	return os.RemoveAll(dir)
}

func (d *demo) steps(ctx context.Context) error {
	for _, s := range steps {
		start := time.Now()
		figure, err := s.run(ctx, d)
		if err != nil {
			return eris.Wrap(err, s.name)
		}
		d.rows = append(d.rows, [2]string{s.name, fmt.Sprintf("%s (step took %d ms)", figure, time.Since(start).Milliseconds())})
	}
	return nil
}

func (d *demo) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, r := range d.rows {
		fmt.Fprintf(w, "%s\t%s\n", r[0], r[1])
	}
	fmt.Fprintf(w, "whole run\t%.1f s\n", time.Since(d.begun).Seconds())
	w.Flush()
}

// declarations is the demo's bundle.
func declarations(version uint64) *bundle.Bundle {
	ms := func(n int) bundle.Duration { return bundle.Duration(time.Duration(n) * time.Millisecond) }
	return &bundle.Bundle{
		Version: version, Description: "demo",
		Classes: map[string]bundle.Class{
			"chat": {Tier: 1, Idempotent: true, FirstTokenTarget: ms(400), PerTokenTarget: ms(60), Deadline: ms(20000), Share: 0.05,
				Order: bundle.QueueFIFO, GiveUp: bundle.GiveUpDeadline, WhenIsolated: bundle.IsolatedRefuse},
			"dimming": {Tier: 2, FirstTokenTarget: ms(1000), Deadline: ms(10000), Share: 0.05,
				Order: bundle.QueueFIFO, GiveUp: bundle.GiveUpDeadline, WhenIsolated: bundle.IsolatedRefuse},
			"sync": {Tier: 2, Idempotent: true, Durable: true, FirstTokenTarget: ms(2000), Deadline: ms(10000), Share: 0.05,
				Order: bundle.QueueFIFO, GiveUp: bundle.GiveUpDeadline, WhenIsolated: bundle.IsolatedRefuse},
		},
		Pools: map[string]bundle.Pool{
			"lumen":    {Kind: bundle.PoolModel, DefaultClass: "chat"},
			"fixtures": {Kind: bundle.PoolService, DefaultClass: "dimming"},
		},
	}
}

func startInstances(ctx context.Context, d *demo) (string, error) {
	start := time.Now()
	if err := d.c.StartAll(); err != nil {
		return "", err
	}
	if err := d.c.WaitInstancesReady(ctx, 0); err != nil {
		return "", err
	}
	return fmt.Sprintf("leases everywhere after %d ms", time.Since(start).Milliseconds()), nil
}

func publishVersion(ctx context.Context, d *demo, version uint64) (string, error) {
	start := time.Now()
	res, err := d.c.Client.Publish(ctx, d.c.CompleteBundle(declarations(version)))
	if err != nil {
		return "", err
	}
	if res.Code != state.CodeOK {
		return "", eris.New(res.Message)
	}
	accepted := time.Since(start)
	if err := d.c.Client.WaitInForce(ctx, res.Order.Generation, nil); err != nil {
		return "", err
	}
	return fmt.Sprintf("accepted in %d ms, in force in %d ms", accepted.Milliseconds(), time.Since(start).Milliseconds()), nil
}

func publish(ctx context.Context, d *demo) (string, error) { return publishVersion(ctx, d, 1) }

func announceServers(ctx context.Context, d *demo) (string, error) {
	engine := func(n int) fake.EngineConfig {
		return fake.EngineConfig{ID: fmt.Sprintf("engine-%d", n), Address: d.c.ServerAddress(n), Zone: "zone-a", Pool: "lumen", Slots: 8, StepBaseMicros: 15000,
			StepPerCallMicros: 500, PrefillTokensPerSecond: 20000, CachePrefixes: 256, ReportLagMillis: 1000, CacheEventLossPercent: 10}
	}
	cfg := fake.Config{Engines: []fake.EngineConfig{engine(1), engine(2)},
		Services: []fake.ServiceConfig{{ID: "fixture-1", Address: d.c.ServerAddress(3), Zone: "zone-b", Pool: "fixtures", Slots: 16, DelayMillis: 20}}}
	if err := d.c.StartFakeServers(cfg); err != nil {
		return "", err
	}
	return "2 engines, 1 service", d.c.WaitServersReady(ctx, 3)
}

func addresses(ctx context.Context, d *demo) (string, error) {
	var list *api.AddressList
	err := harness.WaitFor(ctx, "three addresses in the list", func() bool {
		var err error
		list, err = caller.FetchAddresses(ctx, d.c.Instances[1].CallerAddress, "zone-a")
		return err == nil && len(list.Addresses) == 3
	})
	if err != nil {
		return "", err
	}
	first := d.zoneOf(list.Addresses[0])
	if first != "zone-a" {
		return "", eris.Errorf("the first address is in %s", first)
	}
	return fmt.Sprintf("%d addresses, own zone first, kept for %d ms", len(list.Addresses), list.TTLMillis), nil
}

func (d *demo) zoneOf(address string) string {
	for _, i := range d.c.Instances {
		if i.CallerAddress == address {
			return i.Zone
		}
	}
	return ""
}

func (d *demo) chatRequest(entry, output int, prompt string) *caller.Request {
	return &caller.Request{Address: d.c.Instances[entry].CallerAddress, Customer: d.c.CustomerKeys["hotel"], Model: "lumen", Prompt: []string{prompt}, OutputTokens: output, Stream: true}
}

func whole(res *caller.Result) error {
	switch {
	case res.Transport != nil:
		return res.Transport
	case res.Error != nil:
		return eris.Errorf("%s: %s (%s)", res.Error.Type, res.Error.Message, res.Error.Outcome)
	case !res.Correct || res.Outcome != state.OutcomeCompleted:
		return eris.Errorf("answer not whole: %d tokens, outcome %q", res.Tokens, res.Outcome)
	}
	return nil
}

func chat(ctx context.Context, d *demo) (string, error) {
	res := caller.Do(ctx, d.chatRequest(0, 60, "A warm evening light for the lobby"))
	return fmt.Sprintf("%d tokens, first after %d ms, outcome %s", res.Tokens, res.FirstToken.Milliseconds(), res.Outcome), whole(res)
}

func (d *demo) dimming(entry int, key string, body string) *caller.Request {
	return &caller.Request{Address: d.c.Instances[entry].CallerAddress, Customer: d.c.CustomerKeys["hotel"], IdempotencyKey: key, Service: "fixtures", Path: "/dim", Body: []byte(body)}
}

func once(ctx context.Context, d *demo) (string, error) {
	key := caller.NewIdempotencyKey()
	first := caller.Do(ctx, d.dimming(0, key, `{"lamp":7,"level":40}`))
	second := caller.Do(ctx, d.dimming(1, key, `{"lamp":7,"level":40}`))
	for _, r := range []*caller.Result{first, second} {
		if err := whole(r); err != nil {
			return "", err
		}
	}
	runs, err := d.c.Executions(key)
	if err != nil {
		return "", err
	}
	if len(runs) != 1 || !second.Repeat {
		return "", eris.Errorf("%d runs, repeat %t", len(runs), second.Repeat)
	}
	return fmt.Sprintf("1 run; first answer in %d ms, the recorded one in %d ms", first.Total.Milliseconds(), second.Total.Milliseconds()), nil
}

func badInput(ctx context.Context, d *demo) (string, error) {
	bad := []func(*caller.Request){
		func(r *caller.Request) { r.Customer = "nobody" },
		func(r *caller.Request) { r.Class = "no-such-class" },
		func(r *caller.Request) { r.Model = "no-such-model" },
		func(r *caller.Request) { r.Prompt = []string{string(make([]byte, 2<<20))} },
	}
	for _, change := range bad {
		r := d.chatRequest(0, 5, "x")
		change(r)
		res := caller.Do(ctx, r)
		if res.Error == nil || res.Outcome != state.OutcomeNotRun {
			return "", eris.Errorf("bad input got outcome %q, status %d, %v", res.Outcome, res.Status, res.Transport)
		}
	}
	return fmt.Sprintf("%d kinds, all not_run", len(bad)), nil
}

// retire keeps calls flowing while a server is retired and reports when its
// last new work came.
func retire(ctx context.Context, d *demo) (string, error) {
	flow, stop := context.WithCancel(ctx)
	failures := make(chan error, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; flow.Err() == nil; n++ {
			res := caller.Do(ctx, d.chatRequest(n%3, 3, fmt.Sprintf("light %d", n)))
			if err := whole(res); err != nil {
				failures <- err
				return
			}
		}
	}()
	time.Sleep(500 * time.Millisecond)
	at := time.Now()
	res, err := d.c.Client.Retire(ctx, "engine-1")
	if err == nil && res.Code != state.CodeOK {
		err = errors.New(res.Message)
	}
	time.Sleep(3 * time.Second)
	stop()
	<-ended
	select {
	case f := <-failures:
		return "", f
	default:
	}
	if err != nil {
		return "", err
	}
	st, err := d.c.FakeServerState()
	last := st.LastNewRequest["engine-1"].Sub(at)
	if last > 2*time.Second {
		return "", eris.Errorf("new work %v after the order", last)
	}
	return fmt.Sprintf("last new work %d ms after the order", max(0, last.Milliseconds())), err
}

// shutdown stops the third instance while it streams.
func shutdown(ctx context.Context, d *demo) (string, error) {
	results := make(chan *caller.Result, 1)
	go func() { results <- caller.Do(ctx, d.chatRequest(2, 250, "a long scene for the whole villa")) }()
	time.Sleep(300 * time.Millisecond)
	if err := d.c.Instances[2].Process().Stop(30 * time.Second); err != nil {
		return "", err
	}
	res := <-results
	return fmt.Sprintf("%d tokens whole, exit 0", res.Tokens), whole(res)
}

// killReplica goes on with the second instance alone to lose one of three: the
// third one comes back first.
func killReplica(ctx context.Context, d *demo) (string, error) {
	if err := d.c.StartInstance(d.c.Instances[2]); err != nil {
		return "", err
	}
	if err := d.c.WaitInstancesReady(ctx, 2); err != nil {
		return "", err
	}
	leader, err := d.c.Leader(ctx)
	if err != nil {
		return "", err
	}
	leader.Process().Kill()
	live := d.living(leader)
	d.c.Client.Addresses = []string{d.c.Instances[live].CallerAddress}
	start := time.Now()
	res, err := d.c.Client.Publish(ctx, d.c.CompleteBundle(declarations(2)))
	if err != nil || res.Code != state.CodeOK {
		return "", eris.Errorf("publish: %v %s", err, res.Message)
	}
	published := time.Since(start)
	if err := whole(caller.Do(ctx, d.chatRequest(live, 5, "still there?"))); err != nil {
		return "", err
	}
	err = whole(caller.Do(ctx, d.dimming(live, caller.NewIdempotencyKey(), `{"lamp":1}`)))
	return fmt.Sprintf("leader %s killed; next publish accepted after %d ms", leader.Name, published.Milliseconds()), err
}

func (d *demo) living(dead *harness.Instance) int {
	for k, i := range d.c.Instances {
		if i != dead {
			return k
		}
	}
	return 0
}
