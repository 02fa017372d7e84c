package usage

import (
	"testing"
	"time"

	"cardamomwick.example/core/capacity"
)

// TestDemandIsToldWhileItCounts: where windows are long, counts are told seldom, but what
// is told of the demand counts for 2.5 s only. Told with the counts alone, it was unknown
// for half of the time, and the servers that it asks for were not ordered.
func TestDemandIsToldWhileItCounts(t *testing.T) {
	teller := func(instances int, demands ...capacity.Demand) *Teller {
		x := NewTeller(TellerOptions{Process: "a", Window: time.Minute, Instances: func() int { return instances }})
		x.clock.Set(time.Now(), time.Now())
		x.OnDemands(func() []capacity.Demand { return demands })
		return x
	}
	for _, instances := range []int{3, 89, 376} {
		silent := teller(instances).period()
		told := teller(instances, capacity.Demand{Pool: "p"}).period()
		if told > 2*time.Second || silent < 4*time.Second {
			t.Errorf("%d instances: told each %v with a demand, each %v without", instances, told, silent)
		}
	}
}
