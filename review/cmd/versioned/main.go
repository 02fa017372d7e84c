// Command versioned is an engine that keeps its id over its starts and names the version of its
// software in each event.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"cardamomwick.example/review/lab"
)

func main() {
	id := flag.String("id", "", "the engine's id")
	address := flag.String("address", "", "where it listens")
	control := flag.String("control", "", "control addresses, joined by commas")
	version := flag.String("version", "v1.1", "version of its software")
	born := flag.Int64("born", 0, "start time in Unix milliseconds")
	events := flag.Int("events", 20, "events of a stream")
	gap := flag.Duration("gap", 50*time.Millisecond, "time between two events")
	flag.Parse()
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	go report(*id, *address, *version, *born, strings.Split(*control, ","))
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(1)
		}
		go serve(c, *id, *version, *events, *gap)
	}
}

func report(id, address, version string, born int64, control []string) {
	for sequence := uint64(1); ; sequence++ {
		for _, c := range control {
			data, err := json.Marshal(map[string]any{"service": "briefing-llm", "address": address, "zone": "a", "version": version, "slots": 64,
				"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born})
			if err != nil {
				panic(err) // plain data
			}
			if lab.PutReport(context.Background(), c, id, data)/100 == 2 {
				break
			}
		}
		time.Sleep(heartbeat)
	}
}

// heartbeat is heartbeat_ms.
const heartbeat = 1200 * time.Millisecond

func serve(c net.Conn, id, version string, events int, gap time.Duration) {
	defer c.Close()
	in := bufio.NewReader(c)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	call := req.Header.Get("X-Attempt-Id")
	if x := req.Header.Get("X-Expected-Instance"); x != "" && x != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", call)
		return
	}
	first := 0
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		if first, err = strconv.Atoi(last); err != nil {
			return
		}
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s.%s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", call, id, call)
	for i := first + 1; i <= events; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", i, version, i, events)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		time.Sleep(gap)
	}
	fmt.Fprint(c, "0\r\n\r\n")
}
