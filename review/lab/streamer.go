package lab

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Heartbeat is the sheets' heartbeat_ms.
const Heartbeat = 1200 * time.Millisecond

// Streamer is a sound engine that keeps its id over its starts. It answers each request with a
// stream of Events events, Gap apart.
type Streamer struct {
	ID, Service, Address string
	// Version is the version of its software, "v1" if empty.
	Version string
	Events  int
	Gap     time.Duration
	Record  *Record

	mu    sync.Mutex
	start *start
	runs  map[string]*Run
}

// Run is one run of a request.
type Run struct {
	Born  int64
	Sent  int
	Whole bool
	// Closed is set if the connection was closed before the last event.
	Closed bool
}

// start is one start of an engine.
type start struct {
	born     int64
	version  string
	listener net.Listener
	cancel   context.CancelFunc
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// Start starts the engine. Its reports arrive late by the given time.
func (e *Streamer) Start(control []string, late time.Duration) error {
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &start{born: time.Now().UnixMilli(), version: cmp.Or(e.Version, "v1"), listener: l, cancel: cancel, conns: map[net.Conn]bool{}}
	e.mu.Lock()
	e.start = s
	if e.runs == nil {
		e.runs = map[string]*Run{}
	}
	e.mu.Unlock()
	e.Record.Print("%s starts as %s, born %d", e.ID, s.version, s.born)
	go e.report(ctx, s, control, late)
	go e.accept(s)
	return nil
}

// Born returns the time of the engine's latest start.
func (e *Streamer) Born() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.start.born
}

// Crash ends the engine's start with all its connections.
func (e *Streamer) Crash() {
	e.mu.Lock()
	s := e.start
	e.mu.Unlock()
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	e.Record.Print("%s, born %d, has crashed", e.ID, s.born)
}

// Runs returns the runs so far by the id of the client attempt.
func (e *Streamer) Runs() map[string]Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]Run{}
	for id, r := range e.runs {
		out[id] = *r
	}
	return out
}

// ReportBody returns the body of a liveness report.
func ReportBody(service, address, version string, born int64, sequence uint64) []byte {
	data, err := json.Marshal(map[string]any{"service": service, "address": address, "zone": "a", "version": version, "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": born, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}})
	if err != nil {
		panic(err) // plain data
	}
	return data
}

func (e *Streamer) report(ctx context.Context, s *start, control []string, late time.Duration) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		body := ReportBody(e.Service, e.Address, s.version, s.born, sequence)
		go func() {
			time.Sleep(late)
			for _, c := range control {
				if PutReport(ctx, c, e.ID, body)/100 == 2 {
					if sequence == 1 {
						e.Record.Print("the first report of %s, born %d, has arrived", e.ID, s.born)
					}
					return
				}
			}
		}()
		select {
		case <-ctx.Done():
		case <-time.After(Heartbeat):
		}
	}
}

func (e *Streamer) accept(s *start) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			e.serve(c, s)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

func (e *Streamer) serve(c net.Conn, s *start) {
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		if x := req.Header.Get("X-Expected-Instance"); x != "" && x != e.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		var last int
		_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &last) // 0 without one
		if !e.run(c, id, s, last) {
			return
		}
	}
}

// run answers a request, and reports whether the connection is still open.
func (e *Streamer) run(c net.Conn, id string, s *start, last int) bool {
	e.mu.Lock()
	r := &Run{Born: s.born}
	e.runs[id] = r
	e.mu.Unlock()
	e.Record.Print("%s, %s, born %d, runs %s from event %d", e.ID, s.version, s.born, id, last+1)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for i := last + 1; i <= e.Events; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d by %s\n\n", i, i, e.Events, s.version)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			e.mu.Lock()
			r.Closed = true
			e.mu.Unlock()
			e.Record.Print("%s, born %d: the connection of %s is closed before event %d of %d", e.ID, s.born, id, i, e.Events)
			return false
		}
		e.mu.Lock()
		r.Sent = i
		e.mu.Unlock()
		time.Sleep(e.Gap)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	e.mu.Lock()
	r.Whole = err == nil
	e.mu.Unlock()
	return err == nil
}

// Stream is what a client got of a stream.
type Stream struct {
	ID, Text string
	Status   int
	Events   int
	// Whole is set if all events came and the answer ended as complete.
	Whole bool
	// Broken is set if the machine closed the connection before the answer was complete.
	Broken bool
}

// FollowStream sends a request for a stream on a kept connection, one that has carried a request
// already, and reads its answer.
func FollowStream(address, path, id string, events int, limit time.Duration) (out Stream) {
	out.ID = id
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		out.Text = err.Error()
		return out
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	in := bufio.NewReader(c)
	fmt.Fprintf(c, "GET /none/ HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s-first\r\nX-Api-Key: key-1\r\n\r\n", id)
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		out.Text = "first request: " + err.Error()
		return out
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: key-1\r\nX-Model: m\r\nX-Token-Count: 400,480\r\nContent-Length: 2\r\n\r\n{}", path, id, limit.Milliseconds())
	resp, err = http.ReadResponse(in, nil)
	if err != nil {
		out.Text, out.Broken = "closed without an answer: "+err.Error(), !errors.Is(err, os.ErrDeadlineExceeded)
		return out
	}
	data, err := io.ReadAll(resp.Body)
	out.Status, out.Events = resp.StatusCode, strings.Count(string(data), "data: piece")
	switch {
	case resp.StatusCode != http.StatusOK:
		out.Text = fmt.Sprint("status ", resp.StatusCode, " ", strings.TrimSpace(string(data)))
	case errors.Is(err, os.ErrDeadlineExceeded):
		out.Text = fmt.Sprintf("the client's time is over after %d of %d events", out.Events, events)
	case err != nil:
		out.Text, out.Broken = fmt.Sprintf("closed after %d of %d events: %v", out.Events, events, err), true
	default:
		out.Whole = out.Events == events
		out.Text = fmt.Sprintf("200, complete, %d of %d events", out.Events, events)
	}
	return out
}
