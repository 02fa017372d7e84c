// Package harness runs a cluster of cardamomwick processes and fake backend servers on
// loopback addresses, for demos, tests and experiments. It is not part of the product: no
// cardamomwick process starts another.
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
	"cardamomwick.example/core/procstat"
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
	// Operator is the name of the operator who signs the harness's orders.
	Operator = "ana"
)

// Options describes a cluster.
type Options struct {
	// BinDir is the folder with cardamomwickd and cardamomctl.
	BinDir string
	// WorkDir receives settings, data folders and logs.
	WorkDir string
	// InstanceCount is the number of instances. The first ReplicaCount of them have a
	// data folder and form the replica group.
	InstanceCount, ReplicaCount int
	// Zones are assigned to the instances in round-robin order.
	Zones []string
	// Customers are the customers' names.
	Customers []string
	LogLevel  string
	// Baseline is the setting experiment.baseline: the policy that replaces the
	// dispatcher, empty for none.
	Baseline string
	// MaxDescriptors limits the open files of each instance; 0 for the limit of this process.
	MaxDescriptors int
	// AddressTTL is how long callers may cache addresses; 0 means one second.
	AddressTTL time.Duration
}

// Instance is one daemon process.
type Instance struct {
	Name, Zone                 string
	CallerAddress, PeerAddress string
	DataFolder                 string
	settingsFile               string
	process                    *Process
}

// Cluster holds the instances and fake servers of one test cluster, which run on a loopback
// network of their own.
type Cluster struct {
	Options
	Instances   []*Instance
	FakeServers *Process
	// ControlAddress is the address of the fake servers' control API.
	ControlAddress string
	Client         *client.Client
	// CustomerKeys maps customers to bearer keys.
	CustomerKeys map[string]string
	// sharedToken authorises both reading metrics and the announcements of fake servers.
	sharedToken string
	// networkPrefix holds the first three bytes of the cluster's addresses, as text.
	networkPrefix string
	frameSecret   string
}

// New creates keys, secrets and settings for a cluster. It starts no process.
func New(o Options) (*Cluster, error) {
	key, err := client.NewKey(Operator)
	if err != nil {
		return nil, err
	}
	frameSecret, err := commands.NewSecret()
	if err != nil {
		return nil, err
	}
	sharedToken, err := commands.NewSecret()
	if err != nil {
		return nil, err
	}
	if o.AddressTTL == 0 {
		o.AddressTTL = time.Second
	}
	c := &Cluster{Options: o, CustomerKeys: map[string]string{}, sharedToken: sharedToken, frameSecret: frameSecret, networkPrefix: findFreeNetworkPrefix()}
	c.ControlAddress = c.networkPrefix + ".250:7300"
	for _, name := range o.Customers {
		if c.CustomerKeys[name], err = commands.NewSecret(); err != nil {
			return nil, err
		}
	}
	for i := range o.InstanceCount {
		c.addInstance(i)
	}
	c.Client = &client.Client{Key: key}
	for _, i := range c.Instances {
		c.Client.Addresses = append(c.Client.Addresses, i.CallerAddress)
	}
	for _, i := range c.Instances {
		if err := c.writeSettings(i); err != nil {
			return nil, err
		}
	}
	return c, key.Save(filepath.Join(o.WorkDir, "operator.key"))
}

// findFreeNetworkPrefix returns the prefix of a loopback network that no other harness
// uses. It recognises a network in use by the address of its control API.
func findFreeNetworkPrefix() string {
	for attempt := 0; ; attempt++ {
		n := (os.Getpid() + attempt) % (200 * 250)
		prefix := fmt.Sprintf("127.%d.%d", 20+n/250, 1+n%250)
		l, err := net.Listen("tcp", prefix+".250:7300")
		if err == nil {
			l.Close()
			return prefix
		}
	}
}

func (c *Cluster) addInstance(i int) {
	name := fmt.Sprintf("i%d", i+1)
	instance := &Instance{Name: name, Zone: c.Zones[i%len(c.Zones)],
		CallerAddress: fmt.Sprintf("%s.%d:%d", c.networkPrefix, i+1, callerPort), PeerAddress: fmt.Sprintf("%s.%d:%d", c.networkPrefix, i+1, peerPort),
		settingsFile: filepath.Join(c.WorkDir, name+".toml")}
	if i < c.ReplicaCount {
		instance.DataFolder = filepath.Join(c.WorkDir, name+".data")
	}
	c.Instances = append(c.Instances, instance)
}

// ServerAddress returns the loopback address for the n-th backend server.
func (c *Cluster) ServerAddress(n int) string {
	return fmt.Sprintf("%s.%d:8001", c.networkPrefix, 100+n)
}

func (c *Cluster) dropRulesFile(i *Instance) string { return filepath.Join(c.WorkDir, i.Name+".cut") }

func (c *Cluster) writeSettings(i *Instance) error {
	var peers []string
	for _, other := range c.Instances {
		peers = append(peers, other.PeerAddress)
	}
	level := c.LogLevel
	if level == "" {
		level = "info"
	}
	text, err := toml.Marshal(map[string]any{
		"instance": map[string]any{"name": i.Name, "availability_zone": i.Zone, "data_folder": i.DataFolder},
		"callers":  map[string]any{"address": i.CallerAddress, "address_ttl": c.AddressTTL.String()},
		"peers": map[string]any{"address": i.PeerAddress, "seeds": peers[:min(3, len(peers))],
			"keys": []map[string]any{{"id": "k1", "secret": c.frameSecret}}},
		"replicas":   map[string]any{"addresses": peers[:c.ReplicaCount]},
		"trust":      map[string]any{"operators": map[string]any{Operator: c.Client.Key.Public}},
		"log":        map[string]any{"level": level},
		"metrics":    map[string]any{"token": c.sharedToken},
		"faults":     map[string]any{"cut_file": c.dropRulesFile(i)},
		"experiment": map[string]any{"baseline": c.Baseline},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(i.settingsFile, text, 0o600)
}

// CompleteBundle adds the cluster's operator, customers, keys and announce tokens to a
// bundle and returns it.
func (c *Cluster) CompleteBundle(b *bundle.Bundle) *bundle.Bundle {
	for name, pool := range b.Pools {
		pool.AnnounceTokens = []string{commands.SecretDigest(c.sharedToken)}
		b.Pools[name] = pool
	}
	if b.Customers == nil {
		b.Customers = map[string]bundle.Customer{}
	}
	for name, key := range c.CustomerKeys {
		customer := b.Customers[name]
		customer.Keys = []string{commands.SecretDigest(key)}
		if customer.Weight == 0 {
			customer.Weight = 1
		}
		b.Customers[name] = customer
	}
	b.Operators = map[string]bundle.Operator{Operator: {PublicKey: c.Client.Key.Public}}
	return b
}

// StartInstance starts one instance.
func (c *Cluster) StartInstance(i *Instance) error {
	p, err := startProcess(filepath.Join(c.WorkDir, i.Name+".log"), procstat.Command(c.MaxDescriptors, filepath.Join(c.BinDir, "cardamomwickd"), "--settings", i.settingsFile))
	i.process = p
	return err
}

// StartAll starts all instances.
func (c *Cluster) StartAll() error {
	for _, i := range c.Instances {
		if err := c.StartInstance(i); err != nil {
			return err
		}
	}
	return nil
}

// StartWithBundle starts all instances, publishes a bundle and waits until it is in force
// everywhere.
func (c *Cluster) StartWithBundle(ctx context.Context, b *bundle.Bundle) error {
	if err := c.StartAll(); err != nil {
		return err
	}
	if err := c.WaitInstancesReady(ctx, 0); err != nil {
		return err
	}
	res, err := c.Client.Publish(ctx, c.CompleteBundle(b))
	if err != nil {
		return err
	}
	if res.Code != state.CodeOK {
		return eris.Errorf("publish: %s", res.Message)
	}
	return c.Client.WaitInForce(ctx, res.Order.Generation, nil)
}

// StartFakeServers starts one process that runs all fake servers.
func (c *Cluster) StartFakeServers(cfg fake.Config) error {
	cfg.ControlAddress = c.ControlAddress
	cfg.Instances = c.Client.Addresses
	for k := range cfg.Engines {
		cfg.Engines[k].Token = c.sharedToken
	}
	for k := range cfg.Services {
		cfg.Services[k].Token = c.sharedToken
	}
	text, err := toml.Marshal(cfg)
	if err != nil {
		return err
	}
	file := filepath.Join(c.WorkDir, "fake.toml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	c.FakeServers, err = startProcess(filepath.Join(c.WorkDir, "fake.log"), exec.Command(filepath.Join(c.BinDir, "cardamomctl"), "fake", "--file", file))
	return err
}

// Process returns the instance's latest process, nil before the first start.
func (i *Instance) Process() *Process { return i.process }

// SetDropRules sets which frames an instance drops. The rules are the lines of the file
// named by the setting faults.cut_file; without rules, nothing is dropped.
func (c *Cluster) SetDropRules(i *Instance, rules ...string) error {
	if len(rules) == 0 {
		err := os.Remove(c.dropRulesFile(i))
		if errors.Is(err, os.ErrNotExist) {
			return nil
		}
		return err
	}
	return os.WriteFile(c.dropRulesFile(i), []byte(strings.Join(rules, "\n")), 0o600)
}

// Isolate drops all frames between an instance and the others, in both directions.
func (c *Cluster) Isolate(i *Instance) error { return c.SetDropRules(i, "in *", "out *") }

// Close kills all processes.
func (c *Cluster) Close() {
	for _, i := range c.Instances {
		i.process.Kill()
	}
	c.FakeServers.Kill()
}

// Leader returns the leader of the replica group.
func (c *Cluster) Leader(ctx context.Context) (*Instance, error) {
	st, err := c.Client.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range st.Members {
		for _, i := range c.Instances {
			if m.Leader && m.Address == i.PeerAddress {
				return i, nil
			}
		}
	}
	return nil, eris.New("no leader")
}

// WaitInstancesReady waits until every instance has a valid configuration lease and has
// reached a generation.
func (c *Cluster) WaitInstancesReady(ctx context.Context, generation uint64) error {
	return WaitFor(ctx, "all instances ready", func() bool {
		list, err := c.Client.Instances(ctx)
		if err != nil || len(list) < len(c.Instances) {
			return false
		}
		for _, i := range list {
			if !i.LeaseFresh || i.Generation < generation {
				return false
			}
		}
		return true
	})
}

// WaitServersReady waits until at least n backend servers are usable.
func (c *Cluster) WaitServersReady(ctx context.Context, n int) error {
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

// WaitFor polls a condition until it holds or the context ends.
func WaitFor(ctx context.Context, condition string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return eris.Errorf("timed out waiting for: %s", condition)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// getControl decodes the answer to a GET request to the fake servers' control API.
func (c *Cluster) getControl(path string, out any) error {
	resp, err := http.Get("http://" + c.ControlAddress + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// Executions returns the executions of a key at the plain services.
func (c *Cluster) Executions(key string) ([]fake.Execution, error) {
	var out []fake.Execution
	return out, c.getControl("/runs?key="+key, &out)
}

// FakeServerState returns the counters of the fake servers.
func (c *Cluster) FakeServerState() (fake.State, error) {
	var s fake.State
	return s, c.getControl("/state", &s)
}

// AdjustEngine changes how a fake engine behaves.
func (c *Cluster) AdjustEngine(adjustment fake.EngineAdjustment) error {
	body, err := json.Marshal(adjustment)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+c.ControlAddress+"/steer", "application/json", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("adjust engine %s: status %d", adjustment.Engine, resp.StatusCode)
	}
	return nil
}

// LogContains reports whether an instance's log contains a text.
func (c *Cluster) LogContains(i *Instance, text string) bool {
	data, err := os.ReadFile(filepath.Join(c.WorkDir, i.Name+".log"))
	return err == nil && strings.Contains(string(data), text)
}

// Metrics reads an instance's metrics. The keys of the result include the labels.
func (c *Cluster) Metrics(i *Instance) (map[string]float64, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+i.CallerAddress+api.PathMetrics, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.sharedToken)
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		if name, value, ok := strings.Cut(scanner.Text(), " "); ok {
			out[name], _ = strconv.ParseFloat(value, 64)
		}
	}
	return out, nil
}

// Process is a child process. It is killed when the harness ends.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func startProcess(logFile string, cmd *exec.Cmd) (*Process, error) {
	f, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := &Process{cmd: cmd, done: make(chan struct{})}
	p.cmd.Stderr = f
	p.cmd.Stdout = f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", cmd.Path)
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

// Running reports whether the process is running.
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

// PID returns the process ID of the instance's process.
func (i *Instance) PID() int { return i.process.PID() }

// PID returns the process ID of a started process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits for the process to end. A stopped process is continued
// first.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM, waits for the process to end and returns its exit error.
func (p *Process) Stop(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return eris.Errorf("process %d did not end within %v", p.PID(), timeout)
	}
}
