// Package usage counts what ran for each customer, in windows of the time of day that the
// instances agree on.
//
// The load pattern it answers: hundreds of entries see runs begin, and any of them, and
// any instance that gathers their counts, may be lost between two messages. So entries
// tell their counts in numbered reports, each again until the replicated log has it; the
// log takes each number once; and a window that is closed there never changes.
//
// The package is pure: clocks are passed in.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Window numbers a span of time: window k begins k times its length after the start of
// 1970.
type Window int64

// WindowAt returns the window that a time falls into.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End returns when a window ends.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, (int64(w)+1)*int64(length)) }

// Row is how many runs began for a customer in a window.
type Row struct {
	Window   Window `msgpack:"w"`
	Customer string `msgpack:"c"`
	Runs     uint32 `msgpack:"n"`
}

// Report is what one process tells of the runs that it has seen since its last report.
type Report struct {
	// Teller is the process; a restart makes another one.
	Teller string `msgpack:"t"`
	// Number rises by one with each report.
	Number uint64 `msgpack:"n"`
	// Through is the last window of which nothing will follow.
	Through Window `msgpack:"h"`
	Rows    []Row  `msgpack:"r,omitempty"`
}

// Record is a closed window.
type Record struct {
	Window Window            `msgpack:"w"`
	Counts map[string]uint64 `msgpack:"c"`
	// Taken: whoever asks for usage has acknowledged it.
	Taken bool `msgpack:"k,omitempty"`
}

// Bounds of a ledger.
const (
	// keptTellers is nearly three times the entries of the largest deployment aimed at.
	// Those that told last longest ago go first.
	keptTellers = 1024
	// keptRows bounds the counts of closed windows: 100,000 are some 1.5 MB; 24 customers
	// fill them in 5.8 hours of windows of 5 s.
	keptRows = 100_000
	// mostOpen bounds the windows that are open: with 5 s, ten minutes without a holder of
	// the duty. Reports of further windows count as late.
	mostOpen = 120
)

// teller is what the log knows of a process that reports.
type teller struct {
	Number  uint64 `msgpack:"n"`
	Through Window `msgpack:"h"`
	// Turn orders tellers by their last report.
	Turn uint64 `msgpack:"t"`
}

// Ledger is the part of the replicated state that holds the counts. The zero value is
// empty.
type Ledger struct {
	Tellers map[string]teller            `msgpack:"t,omitempty"`
	Open    map[Window]map[string]uint64 `msgpack:"o,omitempty"`
	// Closed are in the order of their windows.
	Closed []Record `msgpack:"c,omitempty"`
	// Through is the last window that was closed.
	Through Window `msgpack:"h"`
	// Late counts runs that were told after their window was closed.
	Late uint64 `msgpack:"l"`
	Turn uint64 `msgpack:"u"`
	Rows int    `msgpack:"r"`
}

// Take counts a report, once.
func (l *Ledger) Take(r Report) {
	if l.Tellers == nil {
		l.Tellers = map[string]teller{}
	}
	known := l.Tellers[r.Teller]
	if r.Number <= known.Number {
		return
	}
	l.Turn++
	l.Tellers[r.Teller] = teller{Number: r.Number, Through: max(known.Through, r.Through), Turn: l.Turn}
	l.forgetTellers()
	for _, row := range r.Rows {
		l.count(row)
	}
}

func (l *Ledger) count(row Row) {
	open := l.Open[row.Window]
	if row.Window <= l.Through || open == nil && len(l.Open) >= mostOpen {
		l.Late += uint64(row.Runs)
		return
	}
	if open == nil {
		open = map[string]uint64{}
		if l.Open == nil { // also after a snapshot without open windows
			l.Open = map[Window]map[string]uint64{}
		}
		l.Open[row.Window] = open
	}
	open[row.Customer] += uint64(row.Runs)
}

func (l *Ledger) forgetTellers() {
	if len(l.Tellers) <= keptTellers {
		return
	}
	oldest, turn := "", l.Turn
	for name, t := range l.Tellers {
		if t.Turn < turn {
			oldest, turn = name, t.Turn
		}
	}
	delete(l.Tellers, oldest)
}

// Number returns the last report of a process that was counted.
func (l *Ledger) Number(teller string) uint64 { return l.Tellers[teller].Number }

// Close ends a window for good, with what was counted until now. A window that is closed
// stays as it is; ok is false for one that was passed over.
func (l *Ledger) Close(w Window) (r Record, ok bool) {
	if w <= l.Through {
		return l.Record(w)
	}
	r = Record{Window: w, Counts: l.Open[w]}
	if r.Counts == nil {
		r.Counts = map[string]uint64{}
	}
	for open, counts := range l.Open {
		if open < w {
			for _, n := range counts {
				l.Late += n
			}
		}
		if open <= w {
			delete(l.Open, open)
		}
	}
	l.Through = w
	// A new list: readers share the old one.
	l.Closed = append(slices.Clone(l.Closed), r)
	l.Rows += len(r.Counts)
	l.forgetRecords()
	return r, true
}

// forgetRecords drops the oldest windows beyond what is kept, those that were taken first.
func (l *Ledger) forgetRecords() {
	for l.Rows > keptRows && len(l.Closed) > 1 {
		at := slices.IndexFunc(l.Closed, func(r Record) bool { return r.Taken })
		at = max(0, at)
		l.Rows -= len(l.Closed[at].Counts)
		l.Closed = slices.Delete(l.Closed, at, at+1)
	}
}

// Forget drops windows that were taken and ended before a time.
func (l *Ledger) Forget(before Window) {
	kept := make([]Record, 0, len(l.Closed))
	for _, r := range l.Closed {
		if r.Taken && r.Window < before {
			l.Rows -= len(r.Counts)
			continue
		}
		kept = append(kept, r)
	}
	l.Closed = kept
}

// Record returns a closed window.
func (l *Ledger) Record(w Window) (Record, bool) {
	at, ok := l.find(w)
	if !ok {
		return Record{}, false
	}
	return l.Closed[at], true
}

// find returns the place of a closed window.
func (l *Ledger) find(w Window) (at int, ok bool) {
	return slices.BinarySearchFunc(l.Closed, w, func(r Record, w Window) int { return cmp.Compare(r.Window, w) })
}

// Taken notes that a window was acknowledged.
func (l *Ledger) Taken(w Window) {
	at, ok := l.find(w)
	if !ok || l.Closed[at].Taken {
		return
	}
	l.Closed = slices.Clone(l.Closed)
	l.Closed[at].Taken = true
}

// View is what readers outside the log need to know. It shares nothing that changes.
type View struct {
	// Through is the last window that was closed; FirstOpen the first one with counts
	// after it, zero without one.
	Through, FirstOpen Window
	// Closed are the closed windows that are kept. Read only.
	Closed []Record
	Late   uint64
	// Open is how many windows have counts and are not closed.
	Open int
	// complete has the last complete window of each process.
	complete map[string]Window
}

// View returns a copy of what readers need.
func (l *Ledger) View() View {
	v := View{Through: l.Through, Closed: l.Closed, Late: l.Late, Open: len(l.Open), complete: make(map[string]Window, len(l.Tellers))}
	for name, t := range l.Tellers {
		v.complete[name] = t.Through
	}
	if len(l.Open) > 0 {
		v.FirstOpen = slices.Min(slices.Collect(maps.Keys(l.Open)))
	}
	return v
}

// Missing counts the processes that have not told everything up to a window.
func (v *View) Missing(tellers []string, w Window) int {
	n := 0
	for _, t := range tellers {
		if v.complete[t] < w {
			n++
		}
	}
	return n
}

// Untaken returns the first closed window that nobody has acknowledged.
func (v *View) Untaken() (Record, bool) {
	at := slices.IndexFunc(v.Closed, func(r Record) bool { return !r.Taken })
	if at < 0 {
		return Record{}, false
	}
	return v.Closed[at], true
}
