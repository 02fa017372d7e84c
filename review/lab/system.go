package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds are those of the small deployments' sheets.
var Bounds = map[string]any{"seed_lag_s": 3, "grace_s": 8, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 52}

// Machine is one machine with one process of the system.
type Machine struct {
	Name, Class, IP, Zone string
	settings, log         string
	fields                map[string]any
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	done                  chan struct{}
}

// System is a deployment on loopback addresses.
type System struct {
	Folder         string
	Fronts, Cores  []*Machine
	net            string
	ports          map[string]int
	program, templ string
	Record         *Record
}

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{f: f, start: time.Now()}, err
}

// Print writes a line with the time since the start.
func (r *Record) Print(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.4f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Options describes a deployment.
type Options struct {
	// Root is the repository's root.
	Root          string
	Fronts, Cores int
	Zones         []string
	Record        *Record
}

// New prepares a deployment; Start starts its processes.
func New(o Options) (*System, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	templ, err := os.ReadFile(filepath.Join(o.Root, "deploy/settings.toml"))
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &System{Folder: folder, net: fmt.Sprintf("127.%d.%d", 20+pid/250%80, 1+pid%250), templ: string(templ), Record: o.Record,
		program: filepath.Join(o.Root, "target/cardamomwickd"),
		ports:   map[string]int{"front": 8227, "ready": 8220, "control": 8229, "directory": 8231, "inner": 7340}}
	host := 10
	add := func(class string, i int) *Machine {
		host++
		m := &Machine{Name: fmt.Sprintf("%s-%d", class, i+1), Class: class, IP: fmt.Sprintf("%s.%d", s.net, host), Zone: o.Zones[i%len(o.Zones)]}
		m.settings, m.log = filepath.Join(folder, m.Name+".toml"), filepath.Join(folder, m.Name+".log")
		return m
	}
	for i := range o.Cores {
		s.Cores = append(s.Cores, add("core", i))
	}
	for i := range o.Fronts {
		s.Fronts = append(s.Fronts, add("front", i))
	}
	for _, m := range s.All() {
		if l, err := net.Listen("tcp", s.Address(m, "inner")); err != nil {
			return nil, err
		} else {
			l.Close()
		}
		s.setFields(m, true)
	}
	return s, nil
}

// All returns all machines.
func (s *System) All() []*Machine { return append(append([]*Machine{}, s.Cores...), s.Fronts...) }

// Address returns an address of a machine: front, ready, control, directory or inner.
func (s *System) Address(m *Machine, name string) string {
	return fmt.Sprintf("%s:%d", m.IP, s.ports[name])
}

func (s *System) setFields(m *Machine, bootstrap bool) {
	var seeds []string
	for _, c := range s.Cores[:min(3, len(s.Cores))] {
		seeds = append(seeds, s.Address(c, "control"))
	}
	listen := map[string]any{"directory": s.Address(m, "directory")}
	if m.Class == "front" {
		listen["front"], listen["ready"] = s.Address(m, "front"), s.Address(m, "ready")
	} else {
		listen["control"] = s.Address(m, "control")
	}
	m.fields = map[string]any{"node_name": m.Name, "zone": m.Zone, "ip": m.IP, "seeds": seeds, "bootstrap": bootstrap, "listen": listen,
		"internal_ports": []string{fmt.Sprint(s.ports["inner"]), fmt.Sprint(s.ports["inner"] + 15)}, "bounds": Bounds}
	if m.Class == "core" {
		m.fields["data_dir"] = filepath.Join(s.Folder, m.Name+"-data")
	}
}

// Set sets a field of a machine's settings for its next start.
func (m *Machine) Set(name string, v any) { m.fields[name] = v }

// WriteSettings renders a machine's settings file.
func (s *System) WriteSettings(m *Machine) error {
	return os.WriteFile(m.settings, []byte(render(s.templ, m.fields)), 0o600)
}

// Start starts a machine's process with the command of the deploy file.
func (s *System) Start(m *Machine) error {
	if err := s.WriteSettings(m); err != nil {
		return err
	}
	f, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	cmd := exec.Command(s.program, "--settings", m.settings)
	cmd.Stdout, cmd.Stderr = f, f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	m.fields["bootstrap"] = false
	go func() {
		err := cmd.Wait()
		s.Record.Print("%s: process %d ended: %v", m.Name, cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

// StartAll starts all processes.
func (s *System) StartAll() error {
	for _, m := range s.All() {
		if err := s.Start(m); err != nil {
			return err
		}
	}
	return nil
}

// Signal sends a signal to a machine's process.
func (m *Machine) Signal(sig syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Signal(sig)
}

// Wait waits until a machine's process has ended.
func (m *Machine) Wait(limit time.Duration) bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Stop ends all processes and removes the folder unless keep is set.
func (s *System) Stop() {
	for _, m := range s.All() {
		if m.cmd != nil {
			_ = m.Signal(syscall.SIGKILL)
			m.Wait(5 * time.Second)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.Folder)
	}
}

var control = &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// Configure sends a configuration until it is acknowledged.
func (s *System) Configure(config any) error { return s.ConfigureWithin(config, 15*time.Second) }

// ConfigureWithin sends a configuration to one control address after the other until one
// acknowledges it, for the given time.
func (s *System) ConfigureWithin(config any, limit time.Duration) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	var last string
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, c := range s.Cores {
			status, body := Do(context.Background(), control, "PUT", "http://"+s.Address(c, "control")+"/config", data)
			if status == 200 {
				return nil
			}
			last = fmt.Sprint(status, " ", body)
		}
	}
	return fmt.Errorf("no acknowledgement: %s", last)
}

// ConfigureAnywhere sends a configuration to several machines of the core at once, again and again,
// until one acknowledges it.
func (s *System) ConfigureAnywhere(config any, machines []*Machine, limit time.Duration) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	acks := make(chan struct{}, len(machines))
	for _, m := range machines {
		go func() {
			for ctx.Err() == nil {
				if status, _ := Do(ctx, control, "PUT", "http://"+s.Address(m, "control")+"/config", data); status == 200 {
					acks <- struct{}{}
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	select {
	case <-acks:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// FreeAddress returns a free address for a stand-in.
func (s *System) FreeAddress() (string, error) {
	l, err := net.Listen("tcp", s.net+".200:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// ReplaceDisk gives a machine an empty disk for its next start.
func (s *System) ReplaceDisk(m *Machine) {
	m.fields["data_dir"] = filepath.Join(s.Folder, fmt.Sprintf("%s-data-%d", m.Name, time.Now().UnixNano()))
}

// Read reads the configuration from a machine of the core.
func (s *System) Read(m *Machine) (int, string) {
	return Do(context.Background(), control, "GET", "http://"+s.Address(m, "control")+"/config", nil)
}

// ReadBack returns the version that a machine of the core answers, 0 if none does.
func (s *System) ReadBack() int {
	for _, c := range s.Cores {
		status, body := s.Read(c)
		var config struct {
			Version int `json:"version"`
		}
		if status == 200 && json.Unmarshal([]byte(body), &config) == nil {
			return config.Version
		}
	}
	return 0
}

// Do sends a request and returns status and body; status is 0 without a complete answer.
func Do(ctx context.Context, c *http.Client, method, url string, body []byte, headers ...string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i] == "Host" {
			req.Host = headers[i+1]
			continue
		}
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// AwaitReady waits until all fronts are ready and the directory lists them.
func (s *System) AwaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, f := range s.Fronts {
		for {
			status, _ := Do(context.Background(), control, "GET", "http://"+s.Address(f, "ready")+"/ready", nil)
			listed := strings.Join(s.Resolve(s.Fronts[0]), " ")
			if status == 200 && strings.Contains(listed, s.Address(f, "front")) {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", f.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Resolve asks a machine's directory for the fronts.
func (s *System) Resolve(m *Machine) []string {
	status, body := Do(context.Background(), control, "GET", "http://"+s.Address(m, "directory")+"/resolve?name=ficu95.example&region=r&zone="+m.Zone, nil)
	var out struct {
		Addresses []string `json:"addresses"`
	}
	if status != 200 || json.Unmarshal([]byte(body), &out) != nil {
		return nil
	}
	return out.Addresses
}

// Pid returns the process id of a machine's process.
func (m *Machine) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// InTouch is longer than settle_window_ms and catch_up_s of the small deployments: after it, calm
// machines are in touch.
const InTouch = 5 * time.Second

// ControlAddresses returns the control addresses of all machines of the core.
func (s *System) ControlAddresses() []string {
	var out []string
	for _, c := range s.Cores {
		out = append(out, s.Address(c, "control"))
	}
	return out
}

// OtherAddress returns an address where nothing listens.
func (s *System) OtherAddress() string { return s.net + ".201:9" }

// FromEnv returns a duration of the environment, for trials other than a case's.
func FromEnv(name string, byDefault time.Duration) time.Duration {
	if d, err := time.ParseDuration(os.Getenv(name)); err == nil {
		return d
	}
	return byDefault
}
