// Command rejoined kills all processes of the system while an engine starts again with other
// software, and lets clients take their streams up.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"cardamomwick.example/review/lab"
)

const (
	streams = 16
	events  = 60
	gap     = 50 * time.Millisecond
	// Times after the processes of the core are killed.
	engineStartsAgain = 300 * time.Millisecond
	streamsBegin      = 350 * time.Millisecond
	frontsKilled      = 750 * time.Millisecond
	allBack           = 950 * time.Millisecond
	// limit is the time limit of a client, retries its pause before it asks again.
	limit   = 15 * time.Second
	retries = 100 * time.Millisecond
	// allowed is the number of streams of two versions that the rule allows.
	allowed = 2
)

func main() {
	root := flag.String("root", ".", "repository root")
	folder := flag.String("folder", ".", "folder for the record")
	flag.Parse()
	code, err := run(*root, *folder)
	if err != nil {
		fmt.Println("could not run:", err)
		code = 2
	}
	os.Exit(code)
}

// engine is an engine's process.
type engine struct {
	id, address string
	cmd         *exec.Cmd
}

func (e *engine) start(root, version string, control []string) error {
	e.cmd = exec.Command(root+"/target/review/versioned", "-id", e.id, "-address", e.address, "-control", strings.Join(control, ","),
		"-version", version, "-born", fmt.Sprint(time.Now().UnixMilli()), "-events", fmt.Sprint(events), "-gap", gap.String())
	e.cmd.Stderr = os.Stderr
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return e.cmd.Start()
}

func (e *engine) kill() {
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}

func run(root, folder string) (int, error) {
	rec, err := lab.NewRecord(folder)
	if err != nil {
		return 2, err
	}
	s, err := lab.New(lab.Options{Root: root, Cores: 3, Fronts: 2, Zones: []string{"a", "b"}, Record: rec})
	if err != nil {
		return 2, err
	}
	defer s.Stop()
	if err := s.StartAll(); err != nil {
		return 2, err
	}
	if err := s.Configure(lab.Config(1)); err != nil {
		return 2, err
	}
	var control []string
	for _, c := range s.Cores {
		control = append(control, s.Address(c, "control"))
	}
	engines := make([]*engine, 2)
	for i := range engines {
		address, err := s.FreeAddress()
		if err != nil {
			return 2, err
		}
		engines[i] = &engine{id: fmt.Sprint("e-", i+1), address: address}
		if err := engines[i].start(root, "v1.1", control); err != nil {
			return 2, err
		}
		defer func() { engines[i].kill() }()
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	trouble := os.Getenv("TROUBLE") != "0"
	began := time.Now()
	if trouble {
		for _, c := range s.Cores {
			if err := c.Signal(syscall.SIGKILL); err != nil {
				return 2, err
			}
		}
		rec.Print("all processes of the core are killed")
	}
	time.Sleep(time.Until(began.Add(engineStartsAgain)))
	engines[0].kill()
	if err := engines[0].start(root, "v1.2", control); err != nil {
		return 2, err
	}
	rec.Print("engine e-1 has crashed and starts again as v1.2")
	time.Sleep(time.Until(began.Add(streamsBegin)))
	results := make([]string, streams)
	mixed := make([]bool, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() { results[i], mixed[i] = follow(s, i) })
	}
	if trouble {
		time.Sleep(time.Until(began.Add(frontsKilled)))
		for _, f := range s.Fronts {
			if err := f.Signal(syscall.SIGKILL); err != nil {
				return 2, err
			}
		}
		rec.Print("all fronts are killed")
		time.Sleep(time.Until(began.Add(allBack)))
		for _, m := range s.All() {
			m.Wait(time.Second)
			if err := s.Start(m); err != nil {
				return 2, err
			}
		}
		rec.Print("all processes start again")
	}
	all.Wait()
	broken := 0
	for i, r := range results {
		rec.Print("stream %d: %s%s", i, r, map[bool]string{true: "  TWO VERSIONS"}[mixed[i]])
		if mixed[i] {
			broken++
		}
	}
	rec.Print("%d of %d streams hold events of two versions", broken, streams)
	fmt.Println(broken, "streams hold events of two versions")
	if broken > allowed {
		return 1, nil
	}
	return 0, nil
}

// follow reads a stream, and takes it up after interruptions until it is whole or time is over.
func follow(s *lab.System, n int) (result string, mixed bool) {
	var log []string
	last, first := 0, ""
	versions := map[string]bool{}
	until := time.Now().Add(limit)
	for try := 0; time.Now().Before(until); try++ {
		id := fmt.Sprintf("%08x%08x", n+1, try)
		status, next, version := read(s.Address(s.Fronts[(n+try)%len(s.Fronts)], "front"), id, first, last, time.Until(until))
		if next > last {
			log = append(log, fmt.Sprintf("%s: events %d to %d of %s", id, last+1, next, version))
			versions[version] = true
			last = next
			if first == "" {
				first = id
			}
		} else if status > 0 && (len(log) == 0 || log[len(log)-1] != fmt.Sprint(status)) {
			log = append(log, fmt.Sprint(status))
		}
		if last == events {
			break
		}
		time.Sleep(retries)
	}
	return strings.Join(log, "; "), len(versions) > 1
}

// read makes one client attempt and returns the status, the last event and the version of its events.
func read(address, id, first string, last int, left time.Duration) (status, next int, version string) {
	next = last
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, next, ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(left))
	more := ""
	if first != "" {
		more = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, first)
	}
	fmt.Fprintf(c, "POST /lohu930/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\n%sX-Deadline-Ms: %d\r\nX-Api-Key: key-1\r\nContent-Length: 2\r\n\r\n{}", id, more, left.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, next, ""
	}
	if resp.StatusCode != 200 {
		return resp.StatusCode, next, ""
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var v string
		var i, of int
		if n, _ := fmt.Sscanf(lines.Text(), "data: %s piece %d of %d", &v, &i, &of); n == 3 {
			next, version = i, v
		}
	}
	return resp.StatusCode, next, version
}
