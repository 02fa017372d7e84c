package counts

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/core/wire"
)

// table is a View of plain slices.
type table struct {
	ids      []string
	rows     []Row
	versions map[int]uint64
	limits   map[int]ratelimit.Announced
	changes  ChangeLog
	now      time.Time
}

func (t *table) Slots() int                      { return len(t.ids) }
func (t *table) Limit(i int) ratelimit.Announced { return t.limits[i] }
func (t *table) Row(i int) (string, Row)         { return t.ids[i], t.rows[i] }
func (t *table) set(i int, id string) {
	t.ids[i], t.rows[i] = id, Row{}
	delete(t.limits, i)
	t.touch(i)
}
func (t *table) put(i int, r Row)     { t.rows[i] = r; t.touch(i) }
func (t *table) Version(i int) uint64 { return t.versions[i] }
func (t *table) touch(i int)          { t.versions[i] = t.changes.Note(i, len(t.ids)) }
func (t *table) Changes() *ChangeLog  { return &t.changes }
func engine(i int) string             { return fmt.Sprintf("i-%010d", i) }
func busy(n int) Row {
	return Row{Load: Load{Running: n % 13, Unread: 320 * n, Memory: 6400 * (n % 50), Sensitive: n % 5, Long: n % 3}}
}
func (t *table) want() map[string]Load {
	out := map[string]Load{}
	for i, id := range t.ids {
		if r := t.rows[i].rounded(); id != "" && r.Load != (Load{}) {
			out[id] = r.Load
		}
	}
	return out
}

// say lets a slot's server say something of its request rate.
func (t *table) say(i int, l ratelimit.Limit) {
	t.now = t.now.Add(time.Second)
	said := t.limits[i]
	said.Observe(t.now, l)
	t.limits[i] = said
	t.touch(i)
}

// limits are what a receiver was told of each server's request rate.
type limits map[string]ratelimit.Limit

func (l limits) take(r *Receiver, m *Message) {
	if u, ok := r.Take(m); ok {
		for _, x := range u.Limits {
			l[x.Server] = x.Limit
		}
	}
}

func engines(n int) *table {
	t := &table{versions: map[int]uint64{}, limits: map[int]ratelimit.Announced{}, now: time.Unix(0, 0)}
	for i := range n {
		t.ids = append(t.ids, engine(i))
		t.rows = append(t.rows, busy(i+1))
		t.touch(i)
	}
	return t
}

func has(r *Receiver) map[string]Load {
	out := map[string]Load{}
	for n := range r.Servers() {
		if id, row := r.Server(n); row.Load != (Load{}) {
			out[id] = row.Load
		}
	}
	return out
}

// size is what a message takes on the wire.
func size(t testing.TB, m Message) int {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		t.Fatal(err)
	}
	var back Message
	if err := wire.Decode(data, &back); err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// A message must stay small at any number of engines: 4.3 KB for 117 engines came to
// 1 MB/s at one instance.
func TestMessagesAreBounded(t *testing.T) {
	for _, n := range []int{117, 2000} {
		view := engines(n)
		var s Sender
		first := size(t, s.Next(view, Content{}, 1))
		for range n/mostRows + 1 { // until all have been told once
			s.Heard(s.at)
			s.Next(view, Content{}, 1)
		}
		most := 0
		for round := range 20 {
			for i := range view.rows {
				view.put(i, busy(i+round*7+2))
			}
			s.Heard(s.at)
			most = max(most, size(t, s.Next(view, Content{Rates: []Rates{{Pool: "wick-pool", Long: 1e6, Short: 1e5}}}, 1)))
		}
		quiet := size(t, func() Message { s.Heard(s.at); s.cursor = 0; drainTold(&s, view); return s.Next(view, Content{}, 1) }())
		t.Logf("%d engines: first %d bytes, all changed %d, nothing changed %d", n, first, most, quiet)
		if most > 12*min(n, mostRows)+200 {
			t.Errorf("%d engines: a message takes %d bytes", n, most)
		}
		if quiet > 80 {
			t.Errorf("%d engines: %d bytes to say that nothing has changed", n, quiet)
		}
	}
}

// drainTold lets all rows be told.
func drainTold(s *Sender, v View) {
	for range v.Slots()/mostRows + 1 {
		s.Heard(s.at)
		s.Next(v, Content{}, 1)
	}
}

// Where more rows change all the time than a message holds, each has its turn.
func TestEveryRowHasItsTurn(t *testing.T) {
	view := engines(2000)
	var s Sender
	var r Receiver
	seen := map[int]int{}
	for round := range 40 {
		for i := range view.rows {
			view.put(i, busy(i+round*7+2))
		}
		m := s.Next(view, Content{}, 1)
		u, ok := r.Take(&m)
		if !ok {
			t.Fatalf("message %d was not taken", round)
		}
		s.Heard(r.Heard())
		for _, n := range u.Changed {
			seen[n]++
		}
	}
	if len(seen) != 2000 {
		t.Fatalf("only %d of 2000 engines were told", len(seen))
	}
	for n, times := range seen {
		if times < 4 || times > 7 {
			t.Errorf("engine %d was told %d times in 40 messages", n, times)
		}
	}
}

// Whatever is lost, comes twice or starts anew: once messages come through again, the
// receiver has what the sender has.
func TestReceiversCatchUp(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("the receiver has the sender's counts", prop.ForAll(func(seed int64) string {
		rnd := rand.New(rand.NewSource(seed))
		view := engines(30)
		starts := uint32(1)
		var s Sender
		var r Receiver
		next := 30
		heard := limits{}
		for range 60 {
			switch rnd.Intn(12) {
			case 0:
				view.set(rnd.Intn(30), "") // an engine goes
			case 1:
				view.set(rnd.Intn(30), engine(next)) // another comes in its slot
				next++
			case 2:
				starts += 1000
				s = Sender{} // the sender starts again
			case 3:
				r, heard = Receiver{}, limits{}
			}
			for range rnd.Intn(5) {
				if i := rnd.Intn(30); view.ids[i] != "" {
					view.put(i, busy(rnd.Intn(1000)))
				}
			}
			if i := rnd.Intn(30); view.ids[i] != "" && rnd.Intn(4) == 0 {
				var said ratelimit.Limit // none
				if rnd.Intn(3) > 0 {
					said, _ = ratelimit.NewLimit(9 * rnd.Float64())
				}
				view.say(i, said)
			}
			m := s.Next(view, Content{Now: view.now}, starts)
			times := rnd.Intn(3) // lost, once, twice
			for range times {
				heard.take(&r, &m)
			}
			if rnd.Intn(3) > 0 {
				s.Heard(r.Heard())
			}
		}
		for range 3 {
			m := s.Next(view, Content{Now: view.now}, starts)
			heard.take(&r, &m)
			s.Heard(r.Heard())
		}
		for i, id := range view.ids {
			if said := view.limits[i]; !said.Since.IsZero() && heard[id] != said.Limit {
				return fmt.Sprintf("has limit %+v of %s, want %+v", heard[id], id, said.Limit)
			}
		}
		if got, want := fmt.Sprint(has(&r)), fmt.Sprint(view.want()); got != want {
			return fmt.Sprintf("has %s, want %s", got, want)
		}
		return ""
	}, gen.Int64()))
	p.TestingRun(t)
}

// Boundaries are told when they have changed, and to whoever begins.
func TestBoundariesAreToldByVersion(t *testing.T) {
	view := engines(5)
	c := Content{Boundaries: []Boundary{{Pool: "p", Share: 0.4, Engines: []string{engine(1), engine(3)}}}, Version: 7}
	var s Sender
	var r Receiver
	for i := range 3 {
		m := s.Next(view, c, 1)
		u, ok := r.Take(&m)
		s.Heard(r.Heard())
		if !ok || (u.Boundaries != nil) != (i == 0) {
			t.Errorf("message %d: %+v, %v", i, u.Boundaries, ok)
		}
		if i == 0 && fmt.Sprint(u.Boundaries) != fmt.Sprint(c.Boundaries) {
			t.Errorf("came as %+v", u.Boundaries)
		}
	}
	c.Version = 8
	m := s.Next(view, c, 1)
	if u, _ := r.Take(&m); u.Boundaries == nil {
		t.Error("a new boundary is not told")
	}
}

// A limit is told once, with its age, and the sender's other counts go on as before.
func TestLimitsAreToldOnce(t *testing.T) {
	view := engines(5)
	l := ratelimit.Limit{Limited: true, PerSecond: 2.9}
	view.say(3, l)
	var s Sender
	var r Receiver
	for i := range 3 {
		view.put(3, busy(i+20))
		m := s.Next(view, Content{Now: view.now.Add(1500 * time.Millisecond)}, 1)
		u, ok := r.Take(&m)
		s.Heard(r.Heard())
		if !ok || (len(u.Limits) == 1) != (i == 0) {
			t.Fatalf("message %d tells %+v, %v", i, u.Limits, ok)
		}
		if i == 0 && u.Limits[0] != (Limit{engine(3), l, 1500 * time.Millisecond}) {
			t.Errorf("came as %+v", u.Limits[0])
		}
	}
	if got, want := fmt.Sprint(has(&r)), fmt.Sprint(view.want()); got != want {
		t.Errorf("has %s, want %s", got, want)
	}
}

func FuzzTake(f *testing.F) {
	var s Sender
	m := s.Next(engines(3), Content{Uses: []Use{{engine(1), 77}}}, 1)
	f.Add(m.Rows, m.Uses, appendLimit(nil, 1, ratelimit.Limit{Limited: true, PerSecond: 2.9}, time.Second), uint32(2), uint32(1))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, []byte{1}, []byte{1, 0xff}, uint32(2), uint32(1))
	f.Fuzz(func(t *testing.T, rows, uses, limits []byte, stream, sequence uint32) {
		var r Receiver
		u, _ := r.Take(&Message{At: Position{Stream: stream, Sequence: sequence}, Names: []string{"a", "b"}, Rows: rows, Uses: uses, Limits: limits})
		for _, l := range u.Limits {
			if l.PerSecond < 0 || l.Age < 0 || l.Limited && math.IsNaN(l.PerSecond) {
				t.Errorf("limit %+v", l)
			}
		}
		for n := range r.Servers() {
			if _, row := r.Server(n); row.Load.Running < 0 || row.Load.Memory < 0 || row.Load.Unread < 0 {
				t.Errorf("row %d is %+v", n, row)
			}
		}
	})
}

// counting counts the slots that a sender looks at.
type counting struct {
	*table
	looks int
}

func (c *counting) Version(i int) uint64 {
	c.looks++
	return c.table.Version(i)
}

// A collector makes some hundred messages a second: it must not look at thousands of servers
// for each, when a few have changed.
func TestSenderLooksAtWhatHasChanged(t *testing.T) {
	view := &counting{table: engines(3000)}
	var s Sender
	drainTold(&s, view)
	view.looks = 0
	for i := range 100 {
		view.put(i*29, busy(i+7))
		s.Heard(s.at)
		s.Next(view, Content{}, 1)
	}
	if view.looks > 200 {
		t.Errorf("looked at %d servers to tell of 100", view.looks)
	}
}
