// Command invalid sends two configurations that the users' pages call invalid: a route with a traffic
// split names an unknown service besides, and two tenants of one name share a key.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"cardamomwick.example/review/lab"
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
	s, err := lab.New(lab.Options{Root: root, Cores: 3, Fronts: 1, Zones: []string{"a", "b"}, Record: rec})
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
	if os.Getenv("TROUBLE") == "0" {
		return 0, nil
	}
	acknowledged := 0
	for i, change := range []func(m map[string]any){unknownService, sharedKey} {
		version := i + 2
		err := s.ConfigureWithin(lab.Config(version, change), 3*time.Second)
		rec.Print("invalid version %d: acknowledged %v (%v), version %d is read back", version, err == nil, err, s.ReadBack())
		if err == nil {
			acknowledged++
		}
	}
	fmt.Println(acknowledged, "of 2 invalid configurations were acknowledged")
	if acknowledged > 0 {
		return 1, nil
	}
	return 0, nil
}

func unknownService(m map[string]any) {
	route, ok := m["routes"].([]any)[1].(map[string]any)
	if !ok {
		panic("the configuration has no routes")
	}
	route["service"] = "nosuch"
	route["traffic_split"] = []any{map[string]any{"service": "briefing-llm", "weight": 1}}
}

func sharedKey(m map[string]any) {
	tenant := map[string]any{"name": "hule930", "api_keys": []string{"key-1"}, "priority": 1}
	m["tenants"] = []any{tenant, tenant}
}
