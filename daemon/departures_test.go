package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
)

// During a release, two hundred servers may depart within a second, at any replica. They
// must not wait for each other: concurrent departures share a commit of the log. The
// benchmark reports the median and the maximum time until a departure is acknowledged.
func BenchmarkTwoHundredDeparturesInASecond(b *testing.B) {
	const servers = 200
	c := newCluster(b)
	group := c.startReplicas()
	c.declare(group[0], 1)
	var took []time.Duration
	var mu sync.Mutex
	for round := 0; b.Loop(); round++ {
		name := func(i int) string { return fmt.Sprintf("r%d-%d", round, i) }
		for i := range servers {
			c.announce(group[i%3], fleet.Server{ID: name(i), Pool: "p", Address: name(i), Sequence: 1})
		}
		var leaving sync.WaitGroup
		for i := range servers {
			time.Sleep(time.Second / servers)
			leaving.Go(func() {
				began := time.Now()
				if err := group[i%3].control.Depart(context.Background(), fleet.Start{Name: name(i)}); err != nil {
					b.Errorf("%s: %v", name(i), err)
				}
				mu.Lock()
				defer mu.Unlock()
				took = append(took, time.Since(began))
			})
		}
		leaving.Wait()
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "ms/middle")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "ms/longest")
}
