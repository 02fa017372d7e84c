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

// table is a View backed by slices.
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
func (t *table) touch(i int)          { t.versions[i] = t.changes.Record(i, len(t.ids)) }
func (t *table) Changes() *ChangeLog  { return &t.changes }
func engine(i int) string             { return fmt.Sprintf("i-%010d", i) }
func sampleRow(n int) Row {
	return Row{Load: Load{Running: n % 13, PendingPromptTokens: 320 * n, KVTokens: 6400 * (n % 50), LatencySensitive: n % 5, LongPrompts: n % 3}}
}
func (t *table) wantLoads() map[string]Load {
	out := map[string]Load{}
	for i, id := range t.ids {
		if r := t.rows[i].rounded(); id != "" && r.Load != (Load{}) {
			out[id] = r.Load
		}
	}
	return out
}

// announceLimit records an announcement of a slot's server on its request rate.
func (t *table) announceLimit(i int, l ratelimit.Limit) {
	t.now = t.now.Add(time.Second)
	announced := t.limits[i]
	announced.Observe(t.now, l)
	t.limits[i] = announced
	t.touch(i)
}

// limits are the limits that a receiver was sent, by server.
type limits map[string]ratelimit.Limit

func (l limits) apply(r *Receiver, m *Message) {
	if u, ok := r.Apply(m); ok {
		for _, x := range u.Limits {
			l[x.Server] = x.Limit
		}
	}
}

func tableOfEngines(n int) *table {
	t := &table{versions: map[int]uint64{}, limits: map[int]ratelimit.Announced{}, now: time.Unix(0, 0)}
	for i := range n {
		t.ids = append(t.ids, engine(i))
		t.rows = append(t.rows, sampleRow(i+1))
		t.touch(i)
	}
	return t
}

func receivedLoads(r *Receiver) map[string]Load {
	out := map[string]Load{}
	for n := range r.Servers() {
		if id, row := r.Server(n); row.Load != (Load{}) {
			out[id] = row.Load
		}
	}
	return out
}

// encodedSize returns the size of a message on the wire.
func encodedSize(t testing.TB, m Message) int {
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

// The size of a message is bounded for any number of engines: unbounded, 4.3 KB for 117
// engines added up to 1 MB/s at one instance.
func TestMessagesAreBounded(t *testing.T) {
	for _, n := range []int{117, 2000} {
		view := tableOfEngines(n)
		var s Sender
		first := encodedSize(t, s.Next(view, Content{}, 1))
		for range n/maxRows + 1 { // until all rows have been sent once
			s.Acknowledge(s.position)
			s.Next(view, Content{}, 1)
		}
		most := 0
		for round := range 20 {
			for i := range view.rows {
				view.put(i, sampleRow(i+round*7+2))
			}
			s.Acknowledge(s.position)
			most = max(most, encodedSize(t, s.Next(view, Content{Rates: []ArrivalRates{{Pool: "wick-pool", LongTokens: 1e6, ShortTokens: 1e5}}}, 1)))
		}
		quiet := encodedSize(t, func() Message {
			s.Acknowledge(s.position)
			s.cursor = 0
			sendAllRows(&s, view)
			return s.Next(view, Content{}, 1)
		}())
		t.Logf("%d engines: first %d bytes, all changed %d, nothing changed %d", n, first, most, quiet)
		if most > 12*min(n, maxRows)+200 {
			t.Errorf("%d engines: a message takes %d bytes", n, most)
		}
		if quiet > 80 {
			t.Errorf("%d engines: %d bytes without any change", n, quiet)
		}
	}
}

// sendAllRows sends all rows.
func sendAllRows(s *Sender, v View) {
	for range v.Slots()/maxRows + 1 {
		s.Acknowledge(s.position)
		s.Next(v, Content{}, 1)
	}
}

// If more rows keep changing than fit a message, each is sent in turn.
func TestEveryRowIsSentInTurn(t *testing.T) {
	view := tableOfEngines(2000)
	var s Sender
	var r Receiver
	seen := map[int]int{}
	for round := range 40 {
		for i := range view.rows {
			view.put(i, sampleRow(i+round*7+2))
		}
		m := s.Next(view, Content{}, 1)
		u, ok := r.Apply(&m)
		if !ok {
			t.Fatalf("message %d was not applied", round)
		}
		s.Acknowledge(r.Position())
		for _, n := range u.ChangedRows {
			seen[n]++
		}
	}
	if len(seen) != 2000 {
		t.Fatalf("only %d of 2000 engines were sent", len(seen))
	}
	for n, times := range seen {
		if times < 4 || times > 7 {
			t.Errorf("engine %d was sent %d times in 40 messages", n, times)
		}
	}
}

// After lost and duplicate messages and restarts of either side, the receiver converges to
// the sender's counts once messages come through again.
func TestReceiversConverge(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("the receiver has the sender's counts", prop.ForAll(func(seed int64) string {
		rnd := rand.New(rand.NewSource(seed))
		view := tableOfEngines(30)
		starts := uint32(1)
		var s Sender
		var r Receiver
		next := 30
		received := limits{}
		for range 60 {
			switch rnd.Intn(12) {
			case 0:
				view.set(rnd.Intn(30), "") // an engine is removed
			case 1:
				view.set(rnd.Intn(30), engine(next)) // another engine takes the slot
				next++
			case 2:
				starts += 1000
				s = Sender{} // the sender restarts
			case 3:
				r, received = Receiver{}, limits{}
			}
			for range rnd.Intn(5) {
				if i := rnd.Intn(30); view.ids[i] != "" {
					view.put(i, sampleRow(rnd.Intn(1000)))
				}
			}
			if i := rnd.Intn(30); view.ids[i] != "" && rnd.Intn(4) == 0 {
				var limit ratelimit.Limit // none
				if rnd.Intn(3) > 0 {
					limit, _ = ratelimit.NewLimit(9 * rnd.Float64())
				}
				view.announceLimit(i, limit)
			}
			m := s.Next(view, Content{Now: view.now}, starts)
			times := rnd.Intn(3) // lost, once, twice
			for range times {
				received.apply(&r, &m)
			}
			if rnd.Intn(3) > 0 {
				s.Acknowledge(r.Position())
			}
		}
		for range 3 {
			m := s.Next(view, Content{Now: view.now}, starts)
			received.apply(&r, &m)
			s.Acknowledge(r.Position())
		}
		for i, id := range view.ids {
			if announced := view.limits[i]; !announced.Since.IsZero() && received[id] != announced.Limit {
				return fmt.Sprintf("limit %+v of %s, want %+v", received[id], id, announced.Limit)
			}
		}
		if got, want := fmt.Sprint(receivedLoads(&r)), fmt.Sprint(view.wantLoads()); got != want {
			return fmt.Sprintf("received %s, want %s", got, want)
		}
		return ""
	}, gen.Int64()))
	p.TestingRun(t)
}

// Boundaries are sent when they have changed, and at the start of a stream.
func TestBoundariesAreSentByVersion(t *testing.T) {
	view := tableOfEngines(5)
	c := Content{Boundaries: []Boundary{{Pool: "p", Share: 0.4, Engines: []string{engine(1), engine(3)}}}, BoundariesVersion: 7}
	var s Sender
	var r Receiver
	for i := range 3 {
		m := s.Next(view, c, 1)
		u, ok := r.Apply(&m)
		s.Acknowledge(r.Position())
		if !ok || (u.Boundaries != nil) != (i == 0) {
			t.Errorf("message %d: %+v, %v", i, u.Boundaries, ok)
		}
		if i == 0 && fmt.Sprint(u.Boundaries) != fmt.Sprint(c.Boundaries) {
			t.Errorf("received %+v", u.Boundaries)
		}
	}
	c.BoundariesVersion = 8
	m := s.Next(view, c, 1)
	if u, _ := r.Apply(&m); u.Boundaries == nil {
		t.Error("a new boundary is not sent")
	}
}

// A limit is sent once, with its age, and the other counts go on unaffected.
func TestLimitsAreSentOnce(t *testing.T) {
	view := tableOfEngines(5)
	l := ratelimit.Limit{Limited: true, PerSecond: 2.9}
	view.announceLimit(3, l)
	var s Sender
	var r Receiver
	for i := range 3 {
		view.put(3, sampleRow(i+20))
		m := s.Next(view, Content{Now: view.now.Add(1500 * time.Millisecond)}, 1)
		u, ok := r.Apply(&m)
		s.Acknowledge(r.Position())
		if !ok || (len(u.Limits) == 1) != (i == 0) {
			t.Fatalf("message %d holds limits %+v, %v", i, u.Limits, ok)
		}
		if i == 0 && u.Limits[0] != (Limit{engine(3), l, 1500 * time.Millisecond}) {
			t.Errorf("received %+v", u.Limits[0])
		}
	}
	if got, want := fmt.Sprint(receivedLoads(&r)), fmt.Sprint(view.wantLoads()); got != want {
		t.Errorf("received %s, want %s", got, want)
	}
}

func FuzzTake(f *testing.F) {
	var s Sender
	m := s.Next(tableOfEngines(3), Content{Uses: []Use{{engine(1), 77}}}, 1)
	f.Add(m.Rows, m.Uses, appendLimit(nil, 1, ratelimit.Limit{Limited: true, PerSecond: 2.9}, time.Second), uint32(2), uint32(1))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, []byte{1}, []byte{1, 0xff}, uint32(2), uint32(1))
	f.Fuzz(func(t *testing.T, rows, uses, limits []byte, stream, sequence uint32) {
		var r Receiver
		u, _ := r.Apply(&Message{Position: Position{Stream: stream, Sequence: sequence}, NewServers: []string{"a", "b"}, Rows: rows, Uses: uses, Limits: limits})
		for _, l := range u.Limits {
			if l.PerSecond < 0 || l.Age < 0 || l.Limited && math.IsNaN(l.PerSecond) {
				t.Errorf("limit %+v", l)
			}
		}
		for n := range r.Servers() {
			if _, row := r.Server(n); row.Load.Running < 0 || row.Load.KVTokens < 0 || row.Load.PendingPromptTokens < 0 {
				t.Errorf("row %d is %+v", n, row)
			}
		}
	})
}

// countingTable counts the slots that a sender looks at.
type countingTable struct {
	*table
	looks int
}

func (c *countingTable) Version(i int) uint64 {
	c.looks++
	return c.table.Version(i)
}

// A collector sends a few hundred messages a second: it must not scan thousands of servers
// for each when few have changed.
func TestSenderLooksOnlyAtChangedSlots(t *testing.T) {
	view := &countingTable{table: tableOfEngines(3000)}
	var s Sender
	sendAllRows(&s, view)
	view.looks = 0
	for i := range 100 {
		view.put(i*29, sampleRow(i+7))
		s.Acknowledge(s.position)
		s.Next(view, Content{}, 1)
	}
	if view.looks > 200 {
		t.Errorf("looked at %d servers to send 100", view.looks)
	}
}
