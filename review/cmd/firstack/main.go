// Command firstack lets two machines of the core lose their disks right after the first
// configuration was acknowledged, and reads the configuration back.
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
	if err := s.ConfigureAnywhere(lab.Config(7), s.Cores[:3], 20*time.Second); err != nil {
		return 2, err
	}
	rec.Print("version 7 is acknowledged")
	if wait, err := time.ParseDuration(os.Getenv("LOST_AFTER")); err == nil {
		time.Sleep(wait)
	}
	lost := s.Cores[:2]
	if os.Getenv("TROUBLE") != "0" {
		for _, m := range lost {
			if err := m.Signal(syscall.SIGKILL); err != nil {
				return 2, err
			}
		}
		rec.Print("%s and %s lose their disks", lost[0].Name, lost[1].Name)
		time.Sleep(down)
		for _, m := range lost {
			s.ReplaceDisk(m)
			if err := s.Start(m); err != nil {
				return 2, err
			}
			rec.Print("%s starts with an empty disk", m.Name)
		}
	}
	back := time.Now()
	version := 0
	for version == 0 && time.Since(back) < limit {
		version = s.ReadBack()
		time.Sleep(100 * time.Millisecond)
	}
	took := time.Since(back)
	rec.Print("read back after %.1f s: version %d (0: no machine answered with a configuration)", took.Seconds(), version)
	for _, m := range s.Cores {
		status, body := s.Read(m)
		rec.Print("%s answers a read with %d %.80s", m.Name, status, body)
	}
	if version != 7 || took > recovery {
		fmt.Println("what was acknowledged is gone: version", version, "after", took)
		return 1, nil
	}
	return 0, nil
}
