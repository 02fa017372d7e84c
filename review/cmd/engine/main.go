// Command engine is an engine that answers streams without length or chunks: the end of the
// connection ends them.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"cardamomwick.example/review/lab"
)

func main() {
	id := flag.String("id", "", "the engine's id, a new one with each start")
	address := flag.String("address", "", "where it listens")
	control := flag.String("control", "", "control addresses, joined by commas")
	events := flag.Int("events", 20, "events of a stream")
	gap := flag.Duration("gap", 50*time.Millisecond, "time between two events")
	flag.Parse()
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	go report(*id, *address, strings.Split(*control, ","))
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(1)
		}
		go serve(c, *id, *events, *gap)
	}
}

func report(id, address string, control []string) {
	for sequence := uint64(1); ; sequence++ {
		pause := 200 * time.Millisecond
		for _, c := range control {
			if lab.SendReport(context.Background(), c, id, "briefing-llm", address, "a", 64, "ready", sequence)/100 == 2 {
				pause = 1200 * time.Millisecond
				break
			}
		}
		time.Sleep(pause)
	}
}

func serve(c net.Conn, id string, events int, gap time.Duration) {
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
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s.%s\r\nConnection: close\r\n\r\n", call, id, call)
	for i := 1; i <= events; i++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %d\n\n", i, i, events); err != nil {
			return
		}
		time.Sleep(gap)
	}
}
