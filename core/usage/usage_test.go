package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const length = 5 * time.Second

var begin = time.Unix(1_800_000_000, 0)

func agreed(t time.Time) time.Time { return t }

func TestReportCountsOnce(t *testing.T) {
	var l Ledger
	m := NewMeter("a", length, 0)
	m.RecordRun(begin, "x", begin)
	m.RecordRun(begin, "x", begin)
	r := m.NextReport(begin.Add(length), agreed)
	l.Apply(*r)
	l.Apply(*r) // sent again after a lost acknowledgement
	if again := m.NextReport(begin.Add(length), agreed); again.Number != r.Number {
		t.Fatalf("report %d was sent before the acknowledgement of %d", again.Number, r.Number)
	}
	m.Acknowledged(l.Number("a"))
	w := WindowAt(begin, length)
	if v := l.View(); v.Missing([]string{"a"}, w) > 0 {
		t.Error("the window is fully reported but not complete")
	}
	if rec, _ := l.Close(w); rec.Counts["x"] != 2 {
		t.Errorf("counts %v for two runs", rec.Counts)
	}
}

func TestClosedWindowNeverChanges(t *testing.T) {
	var l Ledger
	w := WindowAt(begin, length)
	l.Apply(Report{Reporter: "a", Number: 1, Rows: []Row{{w, "x", 3}}})
	l.Close(w)
	l.Apply(Report{Reporter: "b", Number: 1, Rows: []Row{{w, "x", 2}}})
	rec, ok := l.Close(w)
	if !ok || rec.Counts["x"] != 3 || l.Late != 2 {
		t.Errorf("%v, %d late", rec, l.Late)
	}
	if _, ok := l.Close(w - 1); ok {
		t.Error("a skipped window has counts")
	}
}

func TestAcknowledgedWindowsAreDroppedFirst(t *testing.T) {
	var l Ledger
	w := WindowAt(begin, length)
	for i := range Window(3) {
		l.Apply(Report{Reporter: "a", Number: uint64(i + 1), Rows: []Row{{w + i, "x", 1}}})
		l.Close(w + i)
	}
	l.Acknowledge(w + 1)
	l.DropBefore(w + 3)
	if len(l.Closed) != 2 || l.Closed[0].Window != w {
		t.Errorf("kept %v", l.Closed)
	}
	v := l.View()
	if r, ok := v.FirstUnacknowledged(); !ok || r.Window != w {
		t.Errorf("first unacknowledged window: %v", r)
	}
}

// Some clocks jump by seconds; the agreed time must not change.
func TestAgreedTimeIsMedianOfClocks(t *testing.T) {
	var m ClockMedian
	for i := range 7 {
		off := 0 * time.Second
		if i < 3 {
			off = 20 * time.Second
		}
		m.Record(begin, fmt.Sprint(i), begin.Add(time.Hour+off))
		if _, ok := m.Offset(begin, 7); ok && i < 3 {
			t.Error("the time was agreed on by fewer than half of the instances")
		}
	}
	if off, ok := m.Offset(begin, 7); !ok || off != time.Hour {
		t.Errorf("offset %v %v", off, ok)
	}
	var c Clock
	for i := range 20 {
		sent := begin.Add(time.Duration(i) * time.Second)
		late := time.Duration(i%4) * 10 * time.Millisecond
		c.Set(sent.Add(late), sent)
	}
	if at, ok := c.At(begin); !ok || at.Sub(begin).Abs() > 20*time.Millisecond {
		t.Errorf("agreed time is off by %v", at.Sub(begin))
	}
}

// Random schedules of reports that are lost, resent, late and out of order, from
// processes that restart. Acknowledged runs count once, nothing counts twice, and a
// closed window keeps its counts.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(300) {
		if err := schedule(rand.New(rand.NewPCG(seed, 1))); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// pending returns the number of runs of a meter that the ledger has not counted.
func pending(m *Meter, l *Ledger) uint64 {
	n := uint64(len(m.runs))
	for _, runs := range m.rows {
		n += uint64(runs)
	}
	if m.sent != nil && l.Number(m.reporter) < m.sent.Number {
		for _, row := range m.sent.Rows {
			n += uint64(row.Runs)
		}
	}
	return n
}

func schedule(random *rand.Rand) error {
	var l Ledger
	closed := map[Window]string{}
	var recorded, lost uint64
	starts := 0
	start := func() *Meter {
		starts++
		return NewMeter(fmt.Sprint(starts), length, 0)
	}
	meters := []*Meter{start(), start(), start(), start(), start()}
	var late []Report
	for now := begin; now.Sub(begin) < time.Minute; now = now.Add(100 * time.Millisecond) {
		i := random.IntN(len(meters))
		m := meters[i]
		m.RecordRun(now, string(rune('p'+random.IntN(3))), now)
		recorded++
		report := *m.NextReport(now, agreed)
		switch random.IntN(6) {
		case 0: // lost
		case 1:
			late = append(late, report)
		case 2:
			l.Apply(report) // the response is lost
		default:
			l.Apply(report)
			m.Acknowledged(l.Number(report.Reporter))
		}
		if len(late) > 0 && random.IntN(4) == 0 {
			l.Apply(late[0])
			late = late[1:]
		}
		if random.IntN(60) == 0 {
			lost += pending(m, &l)
			meters[i] = start()
		}
		w := WindowAt(now, length) - 1
		r, ok := l.Close(w)
		if before, again := closed[w]; ok && again && before != fmt.Sprint(r.Counts) {
			return fmt.Errorf("window %d had %s, now %v", w, before, r.Counts)
		}
		closed[w] = fmt.Sprint(r.Counts)
	}
	all := l.Late
	for _, r := range l.Closed {
		all += sum(r.Counts)
	}
	for _, open := range l.Open {
		all += sum(open)
	}
	for _, m := range meters {
		lost += pending(m, &l)
	}
	if all > recorded || all+lost < recorded {
		return fmt.Errorf("%d recorded; %d counted or late, %d lost or pending", recorded, all, lost)
	}
	return nil
}

func sum(counts map[string]uint64) (n uint64) {
	for _, x := range counts {
		n += x
	}
	return n
}
