// Command latestart lets an engine go down and up and down again, the second time under its id with
// other software. Its reports arrive late. Streams go on at the other engine.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"cardamomwick.example/review/lab"
)

const (
	streams = 16
	events  = 60
	gap     = 50 * time.Millisecond
	// down is how long the engine is down, late by how much the reports of its new start are late.
	down = 100 * time.Millisecond
	late = 3 * time.Second
	// beginAfter is when the clients send their requests after the new start, downAgain how long after
	// that the engine is down again.
	beginAfter = 300 * time.Millisecond
	downAgain  = time.Second
	// limit is the client's time limit and the route's timeout, pause the client's before it asks again.
	limit = 10 * time.Second
	pause = 50 * time.Millisecond
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

func run(root, folder string) (int, error) {
	rec, err := lab.NewRecord(folder)
	if err != nil {
		return 2, err
	}
	s, err := lab.New(lab.Options{Root: root, Cores: 5, Fronts: 2, Zones: []string{"a", "b", "c", "d"}, Record: rec})
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
	engines := make([]*lab.Streamer, 2)
	for i := range engines {
		address, err := s.FreeAddress()
		if err != nil {
			return 2, err
		}
		engines[i] = &lab.Streamer{ID: fmt.Sprint("e-", i+1), Service: "briefing-llm", Address: address, Version: "v1.1", Events: events, Gap: gap, Record: rec}
		if err := engines[i].Start(s.ControlAddresses(), 0); err != nil {
			return 2, err
		}
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(lab.InTouch)
	const probe = "00000000000000ff"
	if first := lab.FollowStream(s.Address(s.Fronts[0], "front"), "/lohu930/x", probe, events, limit); !first.Whole {
		return 2, fmt.Errorf("no stream before the disruption: %s", first.Text)
	}
	used := engines[0] // the engine that gets the requests
	if _, ran := engines[1].Runs()[probe]; ran {
		used = engines[1]
	}
	used.Crash()
	time.Sleep(down)
	used.Version = "v1.2"
	delay := lab.FromEnv("LATE", late)
	if os.Getenv("TROUBLE") == "0" {
		delay = 0
	}
	if err := used.Start(s.ControlAddresses(), delay); err != nil {
		return 2, err
	}
	time.Sleep(beginAfter)
	results := make([]string, streams)
	mixed := make([]bool, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() { results[i], mixed[i] = follow(s, i) })
	}
	time.Sleep(lab.FromEnv("DOWN_AGAIN", downAgain))
	used.Crash()
	all.Wait()
	broken := 0
	for i, r := range results {
		rec.Print("stream %d: %s%s", i, r, map[bool]string{true: "  TWO VERSIONS"}[mixed[i]])
		if mixed[i] {
			broken++
		}
	}
	rec.Print("%d of %d streams hold events of two versions", broken, streams)
	fmt.Println(broken, "of", streams, "streams hold events of two versions")
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
	for try := 0; last < events && time.Now().Before(until); try++ {
		id := fmt.Sprintf("%08x%08x", n+1, try)
		status, next, parts := read(s.Address(s.Fronts[(n+try)%2], "front"), id, first, last, time.Until(until))
		if next > last {
			log = append(log, fmt.Sprintf("%s: events %d to %d, %s", id, last+1, next, strings.Join(parts, ", then ")))
			for _, part := range parts {
				version, _, _ := strings.Cut(part, " ")
				versions[version] = true
			}
			last = next
			if first == "" {
				first = id
			}
		} else if status > 0 && (len(log) == 0 || log[len(log)-1] != fmt.Sprint(status)) {
			log = append(log, fmt.Sprint(status))
		}
		time.Sleep(pause)
	}
	return strings.Join(log, "; "), len(versions) > 1
}

// read makes one client attempt and returns the status, the last event and the parts of the answer that
// were written by one version each.
func read(address, id, first string, last int, left time.Duration) (status, next int, parts []string) {
	next = last
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, next, nil
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(left))
	more := ""
	if first != "" {
		more = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, first)
	}
	fmt.Fprintf(c, "POST /lohu930/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\n%sX-Deadline-Ms: %d\r\nX-Api-Key: key-1\r\nX-Model: m\r\nX-Token-Count: 400,480\r\nContent-Length: 2\r\n\r\n{}", id, more, left.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, next, nil
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, next, nil
	}
	begun, current := 0, ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var version string
		var i, of int
		if n, _ := fmt.Sscanf(lines.Text(), "data: piece %d of %d by %s", &i, &of, &version); n != 3 {
			continue
		}
		if version != current {
			begun, current = i, version
			parts = append(parts, "")
		}
		next = i
		parts[len(parts)-1] = fmt.Sprintf("%s %d to %d", current, begun, i)
	}
	return resp.StatusCode, next, parts
}
