// Command departed lets an engine start again under its id and leave before a report of its new start
// has arrived.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"cardamomwick.example/review/lab"
)

const (
	events = 4
	gap    = 10 * time.Millisecond
	down   = 100 * time.Millisecond
	// late is how much the reports of the new start are late: the engine leaves before.
	late = 3 * time.Second
	// drain is drain_ms, watched the time after the acknowledgement in which requests are sent.
	drain   = 2 * time.Second
	watched = 2800 * time.Millisecond
	limit   = 2 * time.Second
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
	if os.Getenv("TROUBLE") != "0" {
		e.Crash()
		time.Sleep(down)
		if err := e.Start(s.ControlAddresses(), late); err != nil {
			return 2, err
		}
	}
	status, err := depart(s.ControlAddresses()[0], e)
	if err != nil {
		return 2, err
	}
	acknowledged := time.Now()
	rec.Print("DELETE /instances/%s, born %d -> %d", e.ID, e.Born(), status)
	front := s.Address(s.Fronts[0], "front")
	afterwards := 0
	for i := 0; time.Since(acknowledged) < watched; i++ {
		sent := time.Now()
		r := lab.FollowStream(front, "/pufi791/x", fmt.Sprintf("%016x", 100+i), events, limit)
		_, ran := e.Runs()[r.ID]
		rec.Print("%s, sent %.2f s after the ack: %s, ran %v", r.ID, sent.Sub(acknowledged).Seconds(), r.Text, ran)
		if ran && sent.Sub(acknowledged) > drain {
			afterwards++
		}
		time.Sleep(20 * time.Millisecond)
	}
	fmt.Println(afterwards, "requests sent later than drain_ms after the acknowledgement reached the engine")
	if status/100 == 2 && afterwards > 0 {
		return 1, nil
	}
	return 0, nil
}

func depart(control string, e *lab.Streamer) (int, error) {
	req, err := http.NewRequest(http.MethodDelete, "http://"+control+"/instances/"+e.ID, bytes.NewBufferString(fmt.Sprintf(`{"born":%d}`, e.Born())))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
