// Command firststart loses one machine of the core, a seed, for good while the system starts
// for the first time, and replaces it by an empty one at another address.
package main

import (
	"flag"
	"fmt"
	"os"
	"syscall"
	"time"

	"cardamomwick.example/review/lab"
)

const (
	// startSpread is the time in which all machines start.
	startSpread = 250 * time.Millisecond
	// lostAfter is how long the last seed runs.
	lostAfter = 100 * time.Millisecond
	// replacedAfter is the time until the empty machine starts.
	replacedAfter = 2 * time.Second
	// limit is how long the operator sends the configuration. The sheet allows ack_ms, 4 s, from
	// settle_window_ms, 3 s, after the loss, and catch_up_s, 4 s, for the new machine.
	limit = 40 * time.Second
	// settleWindow is how long the operator asks for the configuration at the end.
	settleWindow = 3 * time.Second
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
	s, err := lab.New(lab.Options{Root: root, Cores: 6, Fronts: 2, Zones: []string{"a", "b", "c", "d"}, Record: rec})
	if err != nil {
		return 2, err
	}
	defer s.Stop()
	lost, spare := s.Cores[2], s.Cores[5]
	s.Cores = append(s.Cores[:5:5], s.Fronts[:0]...)
	order := append(append([]*lab.Machine{}, s.Cores[0], s.Cores[1], s.Cores[3], s.Cores[4]), s.Fronts...)
	for _, m := range order {
		if err := s.Start(m); err != nil {
			return 2, err
		}
		rec.Print("%s starts, bootstrap", m.Name)
		time.Sleep(startSpread / time.Duration(len(order)))
	}
	if err := s.Start(lost); err != nil {
		return 2, err
	}
	rec.Print("%s starts, bootstrap; it is a seed", lost.Name)
	trouble := os.Getenv("TROUBLE") != "0"
	after := lostAfter
	if v, err := time.ParseDuration(os.Getenv("LOST_AFTER")); err == nil {
		after = v
	}
	if trouble {
		time.Sleep(after)
		if err := lost.Signal(syscall.SIGKILL); err != nil {
			return 2, err
		}
		rec.Print("%s is lost for good", lost.Name)
		time.Sleep(replacedAfter)
		spare.Set("bootstrap", false)
		s.Cores[2] = spare
		if err := s.Start(spare); err != nil {
			return 2, err
		}
		rec.Print("%s starts empty at another address", spare.Name)
	}
	began := time.Now()
	ackErr := s.ConfigureWithin(lab.Config(7), limit)
	if ackErr != nil {
		rec.Print("version 7 was sent for %.1f s to all %d machines that serve control: %v", time.Since(began).Seconds(), len(s.Cores), ackErr)
	} else {
		rec.Print("version 7 was acknowledged after %.3f s", time.Since(began).Seconds())
	}
	version := 0
	for until := time.Now().Add(settleWindow); version == 0 && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		version = s.ReadBack()
	}
	rec.Print("read back: version %d (0: no configuration came)", version)
	if ackErr != nil || version != 7 {
		fmt.Println("no configuration comes:", ackErr)
		return 1, nil
	}
	return 0, nil
}
