package usage

import (
	"testing"
	"time"

	"cardamomwick.example/core/capacity"
)

// With long windows, counts are reported rarely, but a reported demand is only valid for
// 2.5 s. When it was sent with the counts only, the demand was unknown half of the time, and
// the servers it requires were not ordered.
func TestDemandIsReportedBeforeItExpires(t *testing.T) {
	reporter := func(instances int, demands ...capacity.Demand) *Reporter {
		x := NewReporter(ReporterOptions{Process: "a", Window: time.Minute, Instances: func() int { return instances }})
		x.clock.Set(time.Now(), time.Now())
		x.SetDemands(func() []capacity.Demand { return demands })
		return x
	}
	for _, instances := range []int{3, 89, 376} {
		without := reporter(instances).interval()
		with := reporter(instances, capacity.Demand{Pool: "p"}).interval()
		if with > 2*time.Second || without < 4*time.Second {
			t.Errorf("%d instances: reports every %v with a demand, every %v without", instances, with, without)
		}
	}
}
