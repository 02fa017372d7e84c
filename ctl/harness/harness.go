// Package harness runs real processes of cardamomwick and of the stand-ins on
// loopback addresses, for the demo, the proofs and the experiments. It is no
// part of the product: no cardamomwick process starts another.
package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/state"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/ctl/client"
	"cardamomwick.example/ctl/commands"
	"cardamomwick.example/ctl/fake"
)

const (
	callerPort = 7001
	peerPort   = 7101
	// Operator is the name of the harness's operator.
	Operator = "ana"
)

// Options describe a cluster.
type Options struct {
	// Bin is the folder with cardamomwickd and cardamomctl.
	Bin string
	// Dir gets settings, data folders and logs.
	Dir string
	// Instances is the number of daemons, Replicas of them with a data folder.
	Instances, Replicas int
	// Zones are spread over the instances in turn.
	Zones []string
	// Customers are the customers' names.
	Customers []string
	LogLevel  string
	// Baseline replaces the dispatcher, as settings.Experiment describes.
	Baseline string
	// AddressTTL is how long callers may keep addresses.
	AddressTTL time.Duration
}

// Instance is one daemon process.
type Instance struct {
	Name, Zone   string
	Caller, Peer string
	Folder       string
	settings     string
	process      *Process
}

// Cluster is a set of processes.
type Cluster struct {
	Options
	Instances []*Instance
	Fake      *Process
	// Control is the stand-ins' control address.
	Control string
	Client  *client.Client
	// CustomerKeys maps customers to bearer keys, Tokens pools to tokens.
	CustomerKeys map[string]string
	token        string
	network      string
	frameKey     string
}

// New prepares a cluster; nothing runs yet.
func New(o Options) (*Cluster, error) {
	key, err := client.NewKey(Operator)
	if err != nil {
		return nil, err
	}
	frameKey, err := commands.Secret()
	if err != nil {
		return nil, err
	}
	token, err := commands.Secret()
	if err != nil {
		return nil, err
	}
	if o.AddressTTL == 0 {
		o.AddressTTL = time.Second
	}
	c := &Cluster{Options: o, CustomerKeys: map[string]string{}, token: token, frameKey: frameKey, network: freeNetwork()}
	c.Control = c.network + ".250:7300"
	for _, name := range o.Customers {
		if c.CustomerKeys[name], err = commands.Secret(); err != nil {
			return nil, err
		}
	}
	for i := range o.Instances {
		c.addInstance(i)
	}
	c.Client = &client.Client{Key: key}
	for _, i := range c.Instances {
		c.Client.Addresses = append(c.Client.Addresses, i.Caller)
	}
	for _, i := range c.Instances {
		if err := c.writeSettings(i); err != nil {
			return nil, err
		}
	}
	return c, key.Save(filepath.Join(o.Dir, "operator.key"))
}

// freeNetwork finds loopback addresses that no other run uses.
func freeNetwork() string {
	for k := 0; ; k++ {
		n := (os.Getpid() + k) % (200 * 250)
		network := fmt.Sprintf("127.%d.%d", 20+n/250, 1+n%250)
		l, err := net.Listen("tcp", network+".250:7300")
		if err == nil {
			l.Close()
			return network
		}
	}
}

func (c *Cluster) addInstance(i int) {
	name := fmt.Sprintf("i%d", i+1)
	in := &Instance{Name: name, Zone: c.Zones[i%len(c.Zones)],
		Caller: fmt.Sprintf("%s.%d:%d", c.network, i+1, callerPort), Peer: fmt.Sprintf("%s.%d:%d", c.network, i+1, peerPort),
		settings: filepath.Join(c.Dir, name+".toml")}
	if i < c.Replicas {
		in.Folder = filepath.Join(c.Dir, name+".data")
	}
	c.Instances = append(c.Instances, in)
}

// Address returns a loopback address for a backend server.
func (c *Cluster) Address(n int) string { return fmt.Sprintf("%s.%d:8001", c.network, 100+n) }

func (c *Cluster) cutFile(i *Instance) string { return filepath.Join(c.Dir, i.Name+".cut") }

func (c *Cluster) writeSettings(i *Instance) error {
	var peers []string
	for _, x := range c.Instances {
		peers = append(peers, x.Peer)
	}
	level := c.LogLevel
	if level == "" {
		level = "info"
	}
	text, err := toml.Marshal(map[string]any{
		"instance": map[string]any{"name": i.Name, "availability_zone": i.Zone, "data_folder": i.Folder},
		"callers":  map[string]any{"address": i.Caller, "address_ttl": c.AddressTTL.String()},
		"peers": map[string]any{"address": i.Peer, "seeds": peers[:min(3, len(peers))],
			"keys": []map[string]any{{"id": "k1", "secret": c.frameKey}}},
		"replicas":   map[string]any{"addresses": peers[:c.Replicas]},
		"trust":      map[string]any{"operators": map[string]any{Operator: c.Client.Key.Public}},
		"log":        map[string]any{"level": level},
		"metrics":    map[string]any{"token": c.token},
		"faults":     map[string]any{"cut_file": c.cutFile(i)},
		"experiment": map[string]any{"baseline": c.Baseline},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, text, 0o600)
}

// Bundle completes a bundle with the cluster's customers, keys and tokens.
func (c *Cluster) Bundle(b *bundle.Bundle) *bundle.Bundle {
	for name, p := range b.Pools {
		p.AnnounceTokens = []string{commands.Digest(c.token)}
		b.Pools[name] = p
	}
	if b.Customers == nil {
		b.Customers = map[string]bundle.Customer{}
	}
	for name, key := range c.CustomerKeys {
		x := b.Customers[name]
		x.Keys = []string{commands.Digest(key)}
		if x.Weight == 0 {
			x.Weight = 1
		}
		b.Customers[name] = x
	}
	b.Operators = map[string]bundle.Operator{Operator: {PublicKey: c.Client.Key.Public}}
	return b
}

// Start starts one instance.
func (c *Cluster) Start(i *Instance) error {
	p, err := start(filepath.Join(c.Dir, i.Name+".log"), filepath.Join(c.Bin, "cardamomwickd"), "--settings", i.settings)
	i.process = p
	return err
}

// StartAll starts all instances.
func (c *Cluster) StartAll() error {
	for _, i := range c.Instances {
		if err := c.Start(i); err != nil {
			return err
		}
	}
	return nil
}

// Up starts all instances and puts a first bundle in force.
func (c *Cluster) Up(ctx context.Context, b *bundle.Bundle) error {
	if err := c.StartAll(); err != nil {
		return err
	}
	if err := c.Ready(ctx, 0); err != nil {
		return err
	}
	res, err := c.Client.Publish(ctx, c.Bundle(b))
	if err != nil {
		return err
	}
	if res.Code != state.CodeOK {
		return eris.Errorf("publish: %s", res.Message)
	}
	return c.Client.WaitInForce(ctx, res.Order.Generation, nil)
}

// StartFake starts the stand-ins.
func (c *Cluster) StartFake(cfg fake.Config) error {
	cfg.ControlAddress = c.Control
	cfg.Instances = c.Client.Addresses
	for k := range cfg.Engines {
		cfg.Engines[k].Token = c.token
	}
	for k := range cfg.Services {
		cfg.Services[k].Token = c.token
	}
	text, err := toml.Marshal(cfg)
	if err != nil {
		return err
	}
	file := filepath.Join(c.Dir, "fake.toml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	c.Fake, err = start(filepath.Join(c.Dir, "fake.log"), filepath.Join(c.Bin, "cardamomctl"), "fake", "--file", file)
	return err
}

// Process returns the instance's process.
func (i *Instance) Process() *Process { return i.process }

// Cut drops frames at an instance, as settings.Faults describes; no rules heal.
func (c *Cluster) Cut(i *Instance, rules ...string) error {
	if len(rules) == 0 {
		err := os.Remove(c.cutFile(i))
		if errors.Is(err, os.ErrNotExist) {
			return nil
		}
		return err
	}
	return os.WriteFile(c.cutFile(i), []byte(strings.Join(rules, "\n")), 0o600)
}

// Isolate cuts an instance off from all others, both ways.
func (c *Cluster) Isolate(i *Instance) error { return c.Cut(i, "in *", "out *") }

// Close ends all processes.
func (c *Cluster) Close() {
	for _, i := range c.Instances {
		i.process.Kill()
	}
	c.Fake.Kill()
}

// Leader returns the instance that leads the replica group.
func (c *Cluster) Leader(ctx context.Context) (*Instance, error) {
	st, err := c.Client.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range st.Members {
		for _, i := range c.Instances {
			if m.Leader && m.Address == i.Peer {
				return i, nil
			}
		}
	}
	return nil, eris.New("no leader")
}

// Ready waits until every instance holds a fresh lease.
func (c *Cluster) Ready(ctx context.Context, generation uint64) error {
	return WaitFor(ctx, "all instances ready", func() bool {
		list, err := c.Client.Instances(ctx)
		if err != nil || len(list) < len(c.Instances) {
			return false
		}
		for _, i := range list {
			if !i.Fresh || i.Generation < generation {
				return false
			}
		}
		return true
	})
}

// ServersReady waits until n backend servers are usable.
func (c *Cluster) ServersReady(ctx context.Context, n int) error {
	return WaitFor(ctx, fmt.Sprintf("%d backend servers usable", n), func() bool {
		list, err := c.Client.Servers(ctx)
		usable := 0
		for _, s := range list {
			if s.Usable {
				usable++
			}
		}
		return err == nil && usable >= n
	})
}

// WaitFor polls a condition until the context ends.
func WaitFor(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return eris.Errorf("not reached: %s", what)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// fakeGet reads the stand-ins' control page.
func (c *Cluster) fakeGet(path string, out any) error {
	resp, err := http.Get("http://" + c.Control + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// Runs returns a key's executions at the plain services.
func (c *Cluster) Runs(key string) ([]fake.Execution, error) {
	var out []fake.Execution
	return out, c.fakeGet("/runs?key="+key, &out)
}

// FakeState returns the stand-ins' counters.
func (c *Cluster) FakeState() (fake.State, error) {
	var s fake.State
	return s, c.fakeGet("/state", &s)
}

// Steer changes a stand-in engine.
func (c *Cluster) Steer(s fake.EngineAdjustment) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+c.Control+"/steer", "application/json", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("steer: status %d", resp.StatusCode)
	}
	return nil
}

// Logged reports whether an instance's log holds a text.
func (c *Cluster) Logged(i *Instance, text string) bool {
	data, err := os.ReadFile(filepath.Join(c.Dir, i.Name+".log"))
	return err == nil && strings.Contains(string(data), text)
}

// Metrics reads an instance's metrics page: names, labels included, to values.
func (c *Cluster) Metrics(i *Instance) (map[string]float64, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+i.Caller+api.PathMetrics, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	for in := bufio.NewScanner(resp.Body); in.Scan(); {
		if name, value, ok := strings.Cut(in.Text(), " "); ok {
			out[name], _ = strconv.ParseFloat(value, 64)
		}
	}
	return out, nil
}

// Process is a child process of the harness.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func start(logFile, name string, args ...string) (*Process, error) {
	f, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := &Process{cmd: exec.Command(name, args...), done: make(chan struct{})}
	p.cmd.Stderr = f
	p.cmd.Stdout = f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to a running process.
func (p *Process) Signal(s syscall.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the process to end and waits for its exit error.
func (p *Process) Stop(limit time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return eris.Errorf("process %d did not end within %v", p.PID(), limit)
	}
}
