package state

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomwick.example/core/usage"
)

// The size aimed at: entries, calls a second, and the length of a window.
const (
	sizeEntries = 376
	sizeCalls   = 1100
	sizeWindow  = 5 * time.Second
	// sizePeriod is the time between two reports of an entry at that size.
	sizePeriod = sizeEntries * 5 * time.Millisecond
	sizeGather = 100 * time.Millisecond
)

// usageLoad makes the commands by which the entries' reports come into the log.
type usageLoad struct {
	random    *rand.Rand
	customers int
	numbers   [sizeEntries]uint64
	now       time.Time
}

// next returns the command of one gathering.
func (u *usageLoad) next() *Command {
	c := &Command{Type: CommandUsage, NowMillis: u.now.UnixMilli()}
	const told = int(sizeEntries * sizeGather / sizePeriod)
	for i := range told {
		entry := (int(u.now.UnixMilli()/sizeGather.Milliseconds())*told + i) % sizeEntries
		u.numbers[entry]++
		w := usage.WindowAt(u.now, sizeWindow)
		r := usage.Report{Reporter: fmt.Sprintf("front-nasr-hall-%d/8e73c4f4", entry), Number: u.numbers[entry], Through: w - 1}
		calls := float64(sizeCalls) / sizeEntries * sizePeriod.Seconds()
		for range int(calls + u.random.Float64()) {
			r.Rows = append(r.Rows, usage.Row{Window: w, Customer: fmt.Sprintf("customer%d", u.random.IntN(u.customers)), Runs: 1})
		}
		c.Reports = append(c.Reports, r)
	}
	u.now = u.now.Add(sizeGather)
	return c
}

// Bounds of what usage costs the group at that size.
const (
	// mostLogBytes a second, to each follower.
	mostLogBytes = 96 << 10
	// mostApplyShare of a processor is spent on applying it.
	mostApplyShare = 0.02
	mostSnapshot   = 4 << 20
)

// TestUsageIsBoundedAtFullSize: bytes and processor time a second, and the size of a
// snapshot after so many windows that the oldest are dropped.
func TestUsageIsBoundedAtFullSize(t *testing.T) {
	for _, customers := range []int{24, 1000} {
		u := &usageLoad{random: rand.New(rand.NewPCG(1, 2)), customers: customers, now: time.Unix(1_800_000_000, 0)}
		m := New()
		term := holder(t, m, "a")
		bytes, steps := 0, 0
		var spent time.Duration
		const length = 20 * time.Minute
		for ; time.Duration(steps)*sizeGather < length; steps++ {
			data := u.next().Encode()
			bytes += len(data)
			began := time.Now()
			m.Apply(data)
			spent += time.Since(began)
			if w := usage.WindowAt(u.now, sizeWindow); w != usage.WindowAt(u.now.Add(-sizeGather), sizeWindow) {
				apply(t, m, &Command{Type: CommandAct, Act: &ActCommand{Duty: "usage", Holder: "a", Term: term, Close: w - 1}})
				apply(t, m, &Command{Type: CommandAct, Act: &ActCommand{Duty: "usage", Holder: "a", Term: term, Taken: w - 1}})
			}
		}
		perSecond := float64(bytes) / length.Seconds()
		share := spent.Seconds() / length.Seconds()
		snapshot := len(m.Snapshot())
		t.Logf("%d customers: %.1f KB/s into the log, %.2f%% of a core to apply, snapshot of %d KB with %d windows",
			customers, perSecond/1024, 100*share, snapshot/1024, len(m.Duties().Usage.Closed))
		if perSecond > mostLogBytes || share > mostApplyShare || snapshot > mostSnapshot {
			t.Error("beyond the bounds")
		}
	}
}
