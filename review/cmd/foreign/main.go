// Command foreign lets another writer report once under the id of an engine that answers streams,
// with a service that no configuration names.
package main

import (
	"context"
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
	// reportAfter is when the other writer reports, after the clients have sent their requests.
	reportAfter = time.Second
	// later is how many requests are sent one after the other afterwards, laterAfter how long
	// after the first ones have ended: longer than all time bounds of the pages.
	later      = 12
	laterAfter = 15 * time.Second
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
	results := make([]lab.Stream, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() { results[i] = lab.FollowStream(front, "/pufi791/x", fmt.Sprintf("%016x", 100+i), events, limit) })
	}
	time.Sleep(reportAfter)
	if os.Getenv("TROUBLE") != "0" {
		body := lab.ReportBody("log-shipper", s.OtherAddress(), "v1", time.Now().UnixMilli(), 1)
		status := lab.PutReport(context.Background(), s.ControlAddresses()[0], e.ID, body)
		rec.Print("another writer: PUT /instances/%s %s -> %d", e.ID, body, status)
	}
	all.Wait()
	broken := 0
	for _, r := range results {
		rec.Print("%s: %s", r.ID, r.Text)
		if r.Broken {
			broken++
		}
	}
	time.Sleep(laterAfter)
	served := 0
	for i := range later {
		r := lab.FollowStream(front, "/pufi791/x", fmt.Sprintf("%016x", 200+i), events, limit)
		rec.Print("%.0f s and more later, %s: %s", laterAfter.Seconds(), r.ID, r.Text)
		if r.Whole {
			served++
		}
		if i == 1 && r.Whole {
			break // each takes three seconds
		}
	}
	fmt.Println(broken, "of", streams, "streams at the sound engine were broken off;", served, "of the later ones were served")
	if broken > allowed {
		return 1, nil
	}
	return 0, nil
}
