// Command uploads lets the clients of a site send requests of the largest size that the limits allow.
// It ends a front process that uses more than the sheet's memory, as the platform does.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cardamomwick.example/review/lab"
)

const (
	// clients is the number of clients of the sheet (23 + 19 + 21 + 19); each sends one request.
	clients = 82
	// maxBody is max_body_bytes, usualBody the mean size of a client-digest request.
	maxBody, usualBody = 4194304, 24000
	// uploadTime is how long a client takes to send its body.
	uploadTime = 4 * time.Second
	// memoryBytes is memory_mb of a front.
	memoryBytes = 284 << 20
	// Streams in progress meanwhile.
	streams = 16
	events  = 100
	gap     = 50 * time.Millisecond
	limit   = 10 * time.Second
	// allowed is the number of requests that the rule lets a machine drop.
	allowed = 3
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
	for i := range 4 {
		address, err := s.FreeAddress()
		if err != nil {
			return 2, err
		}
		e := &lab.Streamer{ID: fmt.Sprint("e-", i+1), Service: "briefing-llm", Address: address, Events: events, Gap: gap, Record: rec}
		if err := e.Start(s.ControlAddresses(), 0); err != nil {
			return 2, err
		}
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(lab.InTouch)
	for _, f := range s.Fronts {
		go watchMemory(f, rec)
	}
	size := maxBody
	if os.Getenv("TROUBLE") == "0" {
		size = usualBody
	}
	results := make([]lab.Stream, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			results[i] = lab.FollowStream(s.Address(s.Fronts[i%2], "front"), "/pufi791/x", fmt.Sprintf("%016x", 100+i), events, limit)
		})
	}
	time.Sleep(500 * time.Millisecond)
	var answered atomic.Int64
	for i := range clients {
		all.Go(func() {
			result := upload(s.Address(s.Fronts[i%2], "front"), fmt.Sprintf("%016x", 500+i), size)
			rec.Print("upload %d of %d bytes: %s", i, size, result)
			if strings.HasPrefix(result, "200") {
				answered.Add(1)
			}
		})
	}
	all.Wait()
	broken := 0
	for _, r := range results {
		rec.Print("%s: %s", r.ID, r.Text)
		if r.Broken {
			broken++
		}
	}
	fmt.Println(broken, "of", streams, "streams were broken off;", answered.Load(), "of", clients, "uploads were answered with 200")
	if broken > allowed {
		return 1, nil
	}
	return 0, nil
}

// watchMemory ends a machine's process when it uses more memory than the machine gives it.
func watchMemory(m *lab.Machine, rec *lab.Record) {
	highest := 0
	for tick := range 2000 {
		used := resident(m.Pid())
		if highest = max(highest, used); tick%50 == 0 && used > 0 {
			rec.Print("%s uses %d MB", m.Name, used>>20)
		}
		if used > memoryBytes {
			rec.Print("%s uses %d MB, more than memory_mb: the platform kills it", m.Name, used>>20)
			_ = m.Signal(syscall.SIGKILL)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// resident returns the resident memory of a process in bytes, 0 if it has ended.
func resident(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb << 10
		}
	}
	return 0
}

// upload sends a request evenly over uploadTime and returns how it ended.
func upload(address, id string, size int) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	fmt.Fprintf(c, "POST /lohu930/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: key-1\r\nX-Model: m\r\nX-Token-Count: 400,480\r\nContent-Length: %d\r\n\r\n", id, limit.Milliseconds(), size)
	const parts = 80
	body := bytes.Repeat([]byte{'x'}, size)
	for i := range parts {
		if _, err := c.Write(body[size*i/parts : size*(i+1)/parts]); err != nil {
			return fmt.Sprintf("broken off after %d bytes: %v", size*i/parts, err)
		}
		time.Sleep(uploadTime / parts)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil {
		return fmt.Sprint(resp.StatusCode, ", broken off: ", err)
	}
	return fmt.Sprint(resp.StatusCode)
}
