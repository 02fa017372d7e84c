// Command shrink stops machines of the core for a while, their disks are kept, has a configuration
// acknowledged by those that are left, and then lets two of these lose their disks.
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
	cores = 9
	// startSpread is the time in which all machines start.
	startSpread = 250 * time.Millisecond
	// settle is the time until the group is complete, away how long the machines of each step are
	// away before the next.
	settle = 5 * time.Second
	away   = 14 * time.Second
	// down is how long the two machines are away.
	down = time.Second
	// recovery is the sheet's recovery_s, limit how long the operator reads back.
	recovery = 15 * time.Second
	limit    = 30 * time.Second
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
	s, err := lab.New(lab.Options{Root: root, Cores: cores, Fronts: 2, Zones: []string{"a", "b", "c", "d", "e"}, Record: rec})
	if err != nil {
		return 2, err
	}
	defer s.Stop()
	for _, m := range s.All() {
		if err := s.Start(m); err != nil {
			return 2, err
		}
		rec.Print("%s starts, bootstrap", m.Name)
		time.Sleep(startSpread / (cores + 2))
	}
	if err := s.ConfigureWithin(lab.Config(7), 20*time.Second); err != nil {
		return 2, err
	}
	rec.Print("version 7 is acknowledged")
	time.Sleep(settle)
	if trouble := os.Getenv("TROUBLE") != "0"; trouble {
		if err := lose(s, rec); err != nil {
			return 2, err
		}
	} else if err := s.ConfigureWithin(lab.Config(8), 10*time.Second); err != nil {
		return 2, err
	}
	back := time.Now()
	version := 0
	for version != 8 && time.Since(back) < limit {
		version = s.ReadBack()
		time.Sleep(100 * time.Millisecond)
	}
	took := time.Since(back)
	rec.Print("read back after %.1f s: version %d (0: no machine answered with a configuration)", took.Seconds(), version)
	for _, m := range s.Cores {
		status, body := s.Read(m)
		rec.Print("%s answers a read with %d %.80s", m.Name, status, body)
	}
	if version != 8 || took > recovery {
		fmt.Println("what was acknowledged is gone: version", version, "after", took)
		return 1, nil
	}
	return 0, nil
}

// lose stops four machines, and a fifth one later, and has version 8 acknowledged by the four that
// are left. Two of these lose their disks, and all are back a second later.
func lose(s *lab.System, rec *lab.Record) error {
	off := append([]*lab.Machine{}, s.Cores[4:]...)
	for i, step := range [][]*lab.Machine{off[:4], off[4:]} {
		for _, m := range step {
			if err := m.Signal(syscall.SIGKILL); err != nil {
				return err
			}
			rec.Print("step %d: %s loses power, its disk is kept", i+1, m.Name)
		}
		time.Sleep(away)
	}
	err := s.ConfigureWithin(lab.Config(8), 10*time.Second)
	rec.Print("version 8 is acknowledged: %v", err == nil)
	if err != nil {
		return err
	}
	lost := s.Cores[:2]
	for _, m := range lost {
		if err := m.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		s.ReplaceDisk(m)
		rec.Print("%s loses its disk", m.Name)
	}
	time.Sleep(down)
	for _, m := range append(off, lost...) {
		if err := s.Start(m); err != nil {
			return err
		}
		rec.Print("%s is back", m.Name)
	}
	return nil
}
