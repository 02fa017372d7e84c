package placement

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/bundle"
)

// A pool of five engines is updated one engine at a time. Retired and unusable engines are
// skipped, and an engine that never finishes delays the others only for OrderTimeout.
func TestUpdatesOneEngineAtATime(t *testing.T) {
	b := &bundle.Bundle{Pools: map[string]bundle.Pool{"m": {EngineVersion: "v2", Adapters: []string{"warm"}}, "free": {}}}
	var engines []Engine
	for n := range 5 {
		engines = append(engines, Engine{ID: fmt.Sprint("e", n), Pool: "m", Version: "v1", Usable: true})
	}
	engines = append(engines, Engine{ID: "f", Pool: "free", Version: "v1", Usable: true})
	engines[1].Retired = true
	engines[2].Usable = false
	p := NewPlanner()
	now := time.Unix(1_800_000_000, 0)
	var order []string
	for range 10 {
		now = now.Add(time.Second)
		list := p.Next(now, b, engines)
		if len(list) == 0 {
			break
		}
		if len(list) != 1 || list[0].Version != "v2" {
			t.Fatalf("orders are %+v, want one for version v2", list)
		}
		order = append(order, list[0].Server)
		p.OrderSent(now, &list[0])
		if again := p.Next(now.Add(time.Second), b, engines); len(again) != 0 {
			t.Fatalf("a second order while the first is pending: %+v", again)
		}
		for i := range engines {
			if engines[i].ID == list[0].Server {
				engines[i].Version, engines[i].Adapters = "v2", []string{"warm"}
			}
		}
	}
	if fmt.Sprint(order) != "[e0 e3 e4]" {
		t.Fatalf("engines were updated in order %v, want [e0 e3 e4]", order)
	}
	engines[2].Usable = true
	list := p.Next(now, b, engines)
	p.OrderSent(now, &list[0])
	if len(p.Next(now.Add(OrderTimeout/2), b, engines)) != 0 || len(p.Next(now.Add(OrderTimeout+time.Second), b, engines)) != 1 {
		t.Fatal("the order of an engine that never finishes did not expire after OrderTimeout")
	}
}
