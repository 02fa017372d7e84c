// Command demo runs cardamomwick's main functions end to end, with real processes on
// loopback addresses, and prints what it measured. On success the last line is "demo: ok".
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

const runTimeout = 45 * time.Second

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

// demo holds the state that the steps share.
type demo struct {
	cluster *harness.Cluster
	rows    [][2]string
	started time.Time
}

type step struct {
	name string
	run  func(context.Context, *demo) (string, error)
}

var steps = []step{
	{"three instances up, replica group formed", startInstances},
	{"bundle signed, published, in force everywhere", publishFirstBundle},
	{"backend servers announced themselves", startServers},
	{"callers ask which addresses to use", fetchAddresses},
	{"streamed chat answer equals the engine's", streamChat},
	{"non-idempotent call twice with one key, by two entries", callTwiceWithOneKey},
	{"typed errors for bad input, nothing lost", rejectBadInput},
	{"backend server retired under load", retireUnderLoad},
	{"instance shut down while a stream runs", shutdownWhileStreaming},
	{"one of three replicas killed: publish and call go on", killReplica},
}

func run(bin string) error {
	dir, err := os.MkdirTemp("", "cardamomwick-demo-")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	c, err := harness.New(harness.Options{BinDir: bin, WorkDir: dir, InstanceCount: 3, ReplicaCount: 3, Zones: []string{"zone-a", "zone-b"}, Customers: []string{"hotel"}})
	if err != nil {
		return err
	}
	defer c.Close()
	d := &demo{cluster: c, started: time.Now()}
	failure := d.runSteps(ctx)
	d.printResults()
	if failure != nil {
		fmt.Fprintln(os.Stderr, "logs of the failed run are in", dir)
		return failure
	}
	return os.RemoveAll(dir)
}

func (d *demo) runSteps(ctx context.Context) error {
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

func (d *demo) printResults() {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, r := range d.rows {
		fmt.Fprintf(w, "%s\t%s\n", r[0], r[1])
	}
	fmt.Fprintf(w, "total\t%.1f s\n", time.Since(d.started).Seconds())
	w.Flush()
}

// newBundle returns the demo's bundle.
func newBundle(version uint64) *bundle.Bundle {
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
	if err := d.cluster.StartAll(); err != nil {
		return "", err
	}
	if err := d.cluster.WaitInstancesReady(ctx, 0); err != nil {
		return "", err
	}
	return fmt.Sprintf("all instances have leases after %d ms", time.Since(start).Milliseconds()), nil
}

func publishVersion(ctx context.Context, d *demo, version uint64) (string, error) {
	start := time.Now()
	res, err := d.cluster.Client.Publish(ctx, d.cluster.CompleteBundle(newBundle(version)))
	if err != nil {
		return "", err
	}
	if res.Code != state.CodeOK {
		return "", eris.New(res.Message)
	}
	accepted := time.Since(start)
	if err := d.cluster.Client.WaitInForce(ctx, res.Order.Generation, nil); err != nil {
		return "", err
	}
	return fmt.Sprintf("accepted in %d ms, in force in %d ms", accepted.Milliseconds(), time.Since(start).Milliseconds()), nil
}

func publishFirstBundle(ctx context.Context, d *demo) (string, error) {
	return publishVersion(ctx, d, 1)
}

func startServers(ctx context.Context, d *demo) (string, error) {
	engine := func(n int) fake.EngineConfig {
		return fake.EngineConfig{ID: fmt.Sprintf("engine-%d", n), Address: d.cluster.ServerAddress(n), Zone: "zone-a", Pool: "lumen", Slots: 8, StepBaseMicros: 15000,
			StepPerCallMicros: 500, PrefillTokensPerSecond: 20000, CachePrefixes: 256, ReportLagMillis: 1000, CacheEventLossPercent: 10}
	}
	cfg := fake.Config{Engines: []fake.EngineConfig{engine(1), engine(2)},
		Services: []fake.ServiceConfig{{ID: "fixture-1", Address: d.cluster.ServerAddress(3), Zone: "zone-b", Pool: "fixtures", Slots: 16, DelayMillis: 20}}}
	if err := d.cluster.StartFakeServers(cfg); err != nil {
		return "", err
	}
	return "2 engines, 1 service", d.cluster.WaitServersReady(ctx, 3)
}

func fetchAddresses(ctx context.Context, d *demo) (string, error) {
	var list *api.AddressList
	err := harness.WaitFor(ctx, "three addresses in the list", func() bool {
		var err error
		list, err = caller.FetchAddresses(ctx, d.cluster.Instances[1].CallerAddress, "zone-a")
		return err == nil && len(list.Addresses) == 3
	})
	if err != nil {
		return "", err
	}
	first := d.zoneOf(list.Addresses[0])
	if first != "zone-a" {
		return "", eris.Errorf("first address is in zone %q, want zone-a", first)
	}
	return fmt.Sprintf("%d addresses, own zone first, valid for %d ms", len(list.Addresses), list.TTLMillis), nil
}

func (d *demo) zoneOf(address string) string {
	for _, i := range d.cluster.Instances {
		if i.CallerAddress == address {
			return i.Zone
		}
	}
	return ""
}

func (d *demo) chatRequest(entry, output int, prompt string) *caller.Request {
	return &caller.Request{Address: d.cluster.Instances[entry].CallerAddress, CustomerKey: d.cluster.CustomerKeys["hotel"], Model: "lumen", Prompt: []string{prompt}, OutputTokens: output, Stream: true}
}

// checkAnswer returns an error unless the call completed with the full answer to its request.
func checkAnswer(res *caller.Result) error {
	switch {
	case res.Transport != nil:
		return res.Transport
	case res.Error != nil:
		return eris.Errorf("%s: %s (%s)", res.Error.Type, res.Error.Message, res.Error.Outcome)
	case !res.Correct || res.Outcome != state.OutcomeCompleted:
		return eris.Errorf("answer is incomplete or wrong: %d tokens, outcome %q", res.Tokens, res.Outcome)
	}
	return nil
}

func streamChat(ctx context.Context, d *demo) (string, error) {
	res := caller.Do(ctx, d.chatRequest(0, 60, "A warm evening light for the lobby"))
	return fmt.Sprintf("%d tokens, first after %d ms, outcome %s", res.Tokens, res.FirstToken.Milliseconds(), res.Outcome), checkAnswer(res)
}

func (d *demo) dimRequest(entry int, key string, body string) *caller.Request {
	return &caller.Request{Address: d.cluster.Instances[entry].CallerAddress, CustomerKey: d.cluster.CustomerKeys["hotel"], IdempotencyKey: key, Service: "fixtures", Path: "/dim", Body: []byte(body)}
}

// callTwiceWithOneKey sends a non-idempotent call through two entries and checks that it ran
// once and that both got the answer.
func callTwiceWithOneKey(ctx context.Context, d *demo) (string, error) {
	key := caller.NewIdempotencyKey()
	first := caller.Do(ctx, d.dimRequest(0, key, `{"lamp":7,"level":40}`))
	second := caller.Do(ctx, d.dimRequest(1, key, `{"lamp":7,"level":40}`))
	for _, r := range []*caller.Result{first, second} {
		if err := checkAnswer(r); err != nil {
			return "", err
		}
	}
	runs, err := d.cluster.Executions(key)
	if err != nil {
		return "", err
	}
	if len(runs) != 1 || !second.Repeat {
		return "", eris.Errorf("got %d executions, second answer marked as repeat: %t; want 1 and true", len(runs), second.Repeat)
	}
	return fmt.Sprintf("1 run; first answer in %d ms, the recorded one in %d ms", first.Total.Milliseconds(), second.Total.Milliseconds()), nil
}

// rejectBadInput checks that invalid calls are rejected with a typed error and without being
// run.
func rejectBadInput(ctx context.Context, d *demo) (string, error) {
	bad := []func(*caller.Request){
		func(r *caller.Request) { r.CustomerKey = "nobody" },
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

// retireUnderLoad retires a server while calls are made and reports when the server
// received its last new request.
func retireUnderLoad(ctx context.Context, d *demo) (string, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	failures := make(chan error, 1)
	loadEnded := make(chan struct{})
	go func() {
		defer close(loadEnded)
		for n := 0; loadCtx.Err() == nil; n++ {
			res := caller.Do(ctx, d.chatRequest(n%3, 3, fmt.Sprintf("light %d", n)))
			if err := checkAnswer(res); err != nil {
				failures <- err
				return
			}
		}
	}()
	time.Sleep(500 * time.Millisecond)
	orderedAt := time.Now()
	res, err := d.cluster.Client.Retire(ctx, "engine-1")
	if err == nil && res.Code != state.CodeOK {
		err = errors.New(res.Message)
	}
	time.Sleep(3 * time.Second)
	stopLoad()
	<-loadEnded
	select {
	case f := <-failures:
		return "", f
	default:
	}
	if err != nil {
		return "", err
	}
	st, err := d.cluster.FakeServerState()
	lastRequest := st.LastNewRequest["engine-1"].Sub(orderedAt)
	if lastRequest > 2*time.Second {
		return "", eris.Errorf("retired server received a new request %v after the order, want at most 2s", lastRequest)
	}
	return fmt.Sprintf("last new request %d ms after the order", max(0, lastRequest.Milliseconds())), err
}

// shutdownWhileStreaming stops the third instance while it streams an answer.
func shutdownWhileStreaming(ctx context.Context, d *demo) (string, error) {
	results := make(chan *caller.Result, 1)
	go func() { results <- caller.Do(ctx, d.chatRequest(2, 250, "a long scene for the whole villa")) }()
	time.Sleep(300 * time.Millisecond)
	if err := d.cluster.Instances[2].Process().Stop(30 * time.Second); err != nil {
		return "", err
	}
	res := <-results
	return fmt.Sprintf("complete answer of %d tokens, exit status 0", res.Tokens), checkAnswer(res)
}

// killReplica restarts the third instance, so that three replicas run, and kills the
// leader. Publishing and calls must still succeed through a surviving instance.
func killReplica(ctx context.Context, d *demo) (string, error) {
	if err := d.cluster.StartInstance(d.cluster.Instances[2]); err != nil {
		return "", err
	}
	if err := d.cluster.WaitInstancesReady(ctx, 2); err != nil {
		return "", err
	}
	leader, err := d.cluster.Leader(ctx)
	if err != nil {
		return "", err
	}
	leader.Process().Kill()
	survivor := d.survivor(leader)
	d.cluster.Client.Addresses = []string{d.cluster.Instances[survivor].CallerAddress}
	start := time.Now()
	res, err := d.cluster.Client.Publish(ctx, d.cluster.CompleteBundle(newBundle(2)))
	if err != nil || res.Code != state.CodeOK {
		return "", eris.Errorf("publish: %v %s", err, res.Message)
	}
	published := time.Since(start)
	if err := checkAnswer(caller.Do(ctx, d.chatRequest(survivor, 5, "still there?"))); err != nil {
		return "", err
	}
	err = checkAnswer(caller.Do(ctx, d.dimRequest(survivor, caller.NewIdempotencyKey(), `{"lamp":1}`)))
	return fmt.Sprintf("leader %s killed; next publish accepted after %d ms", leader.Name, published.Milliseconds()), err
}

// survivor returns the index of the first instance other than the given one.
func (d *demo) survivor(killed *harness.Instance) int {
	for k, i := range d.cluster.Instances {
		if i != killed {
			return k
		}
	}
	return 0
}
