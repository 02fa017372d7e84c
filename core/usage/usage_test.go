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

func TestAReportCountsOnce(t *testing.T) {
	var l Ledger
	m := NewMeter("a", length, 0)
	m.Began(begin, "x", begin)
	m.Began(begin, "x", begin)
	r := m.Next(begin.Add(length), agreed)
	l.Take(*r)
	l.Take(*r) // its acknowledgement was lost
	if again := m.Next(begin.Add(length), agreed); again.Number != r.Number {
		t.Fatalf("report %d follows %d, which has no acknowledgement", again.Number, r.Number)
	}
	m.Acknowledged(l.Number("a"))
	w := WindowAt(begin, length)
	if v := l.View(); v.Missing([]string{"a"}, w) > 0 {
		t.Error("everything of the window was told, and it is not complete")
	}
	if rec, _ := l.Close(w); rec.Counts["x"] != 2 {
		t.Errorf("counts %v of two runs", rec.Counts)
	}
}

func TestAClosedWindowNeverChanges(t *testing.T) {
	var l Ledger
	w := WindowAt(begin, length)
	l.Take(Report{Teller: "a", Number: 1, Rows: []Row{{w, "x", 3}}})
	l.Close(w)
	l.Take(Report{Teller: "b", Number: 1, Rows: []Row{{w, "x", 2}}})
	rec, ok := l.Close(w)
	if !ok || rec.Counts["x"] != 3 || l.Late != 2 {
		t.Errorf("%v, %d late", rec, l.Late)
	}
	if _, ok := l.Close(w - 1); ok {
		t.Error("a window that was passed over has counts")
	}
}

func TestTakenWindowsAreForgottenFirst(t *testing.T) {
	var l Ledger
	w := WindowAt(begin, length)
	for i := range Window(3) {
		l.Take(Report{Teller: "a", Number: uint64(i + 1), Rows: []Row{{w + i, "x", 1}}})
		l.Close(w + i)
	}
	l.Taken(w + 1)
	l.Forget(w + 3)
	if len(l.Closed) != 2 || l.Closed[0].Window != w {
		t.Errorf("kept %v", l.Closed)
	}
	v := l.View()
	if r, ok := v.Untaken(); !ok || r.Window != w {
		t.Errorf("the first window that nobody has taken: %v", r)
	}
}

// TestWindowsFollowTheMiddleClock: some clocks jump by seconds, and the agreed time stays.
func TestWindowsFollowTheMiddleClock(t *testing.T) {
	var m Median
	for i := range 7 {
		off := 0 * time.Second
		if i < 3 {
			off = 20 * time.Second
		}
		m.Note(begin, fmt.Sprint(i), begin.Add(time.Hour+off))
		if _, ok := m.Offset(begin, 7); ok && i < 3 {
			t.Error("agreed on by less than half")
		}
	}
	if off, ok := m.Offset(begin, 7); !ok || off != time.Hour {
		t.Errorf("offset %v %v", off, ok)
	}
	var c Clock
	for i := range 20 {
		told := begin.Add(time.Duration(i) * time.Second)
		late := time.Duration(i%4) * 10 * time.Millisecond
		c.Set(told.Add(late), told)
	}
	if at, ok := c.At(begin); !ok || at.Sub(begin).Abs() > 20*time.Millisecond {
		t.Errorf("agreed time is off by %v", at.Sub(begin))
	}
}

// TestRandomSchedules plays reports that are lost, repeated, late and out of order, and
// tellers that start anew: what was acknowledged counts once, nothing counts twice, and a
// closed window keeps its counts.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(300) {
		if err := schedule(rand.New(rand.NewPCG(seed, 1))); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// waiting counts what a meter has that the ledger has not counted.
func waiting(m *Meter, l *Ledger) uint64 {
	n := uint64(len(m.runs))
	for _, runs := range m.rows {
		n += uint64(runs)
	}
	if m.sent != nil && l.Number(m.teller) < m.sent.Number {
		for _, row := range m.sent.Rows {
			n += uint64(row.Runs)
		}
	}
	return n
}

func schedule(random *rand.Rand) error {
	var l Ledger
	closed := map[Window]string{}
	var noted, lost uint64
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
		m.Began(now, string(rune('p'+random.IntN(3))), now)
		noted++
		report := *m.Next(now, agreed)
		switch random.IntN(6) {
		case 0: // lost
		case 1:
			late = append(late, report)
		case 2:
			l.Take(report) // its answer is lost
		default:
			l.Take(report)
			m.Acknowledged(l.Number(report.Teller))
		}
		if len(late) > 0 && random.IntN(4) == 0 {
			l.Take(late[0])
			late = late[1:]
		}
		if random.IntN(60) == 0 {
			lost += waiting(m, &l)
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
		lost += waiting(m, &l)
	}
	if all > noted || all+lost < noted {
		return fmt.Errorf("%d noted; %d counted or late, %d lost or waiting", noted, all, lost)
	}
	return nil
}

func sum(counts map[string]uint64) (n uint64) {
	for _, x := range counts {
		n += x
	}
	return n
}
