// Command restarted crashes an engine, which starts again under its id; its reports arrive late.
package main

import (
	"flag"
	"fmt"
	"os"
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
	late = 1500 * time.Millisecond
	// beginAfter is when the clients send their requests, after the engine's new start.
	beginAfter = 500 * time.Millisecond
	// limit is the client's time limit and the route's timeout.
	limit = 10 * time.Second
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
	s, err := lab.New(lab.Options{Root: root, Cores: 5, Fronts: 1, Zones: []string{"a", "b", "c", "d"}, Record: rec})
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
	address, err := s.FreeAddress()
	if err != nil {
		return 2, err
	}
	e := &lab.Streamer{ID: "e-1", Service: "briefing-llm", Address: address, Events: events, Gap: gap, Record: rec}
	if err := e.Start(s.ControlAddresses(), 0); err != nil {
		return 2, err
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(lab.InTouch)
	front := s.Address(s.Fronts[0], "front")
	if first := lab.FollowStream(front, "/pufi791/x", "0000000000000001", events, limit); !first.Whole {
		return 2, fmt.Errorf("no stream before the disruption: %s", first.Text)
	}
	if os.Getenv("TROUBLE") != "0" {
		e.Crash()
		time.Sleep(down)
		if err := e.Start(s.ControlAddresses(), lab.FromEnv("LATE", late)); err != nil {
			return 2, err
		}
	}
	time.Sleep(lab.FromEnv("BEGIN", beginAfter))
	results := make([]lab.Stream, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() { results[i] = lab.FollowStream(front, "/pufi791/x", fmt.Sprintf("%016x", 100+i), events, limit) })
	}
	all.Wait()
	broken := 0
	for _, r := range results {
		rec.Print("%s: %s", r.ID, r.Text)
		if r.Broken {
			broken++
		}
	}
	fmt.Println(broken, "of", streams, "streams at the sound engine were broken off")
	if broken > allowed {
		return 1, nil
	}
	return 0, nil
}
