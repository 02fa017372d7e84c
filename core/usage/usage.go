// Package usage counts the runs of each customer in windows of the time of day that the
// instances agree on.
//
// Hundreds of entries observe runs, and any of them, like any instance that collects their
// counts, may be lost between two messages. Therefore entries send their counts in
// numbered reports and resend each report until it is in the replicated log. The log
// counts each number once, and a closed window never changes.
//
// The package does no I/O and reads no clock: times are passed in.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Window is the number of a time span: window k begins k window lengths after the start
// of 1970.
type Window int64

// WindowAt returns the window that contains a time.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End returns the end of a window.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, (int64(w)+1)*int64(length)) }

// Row is the number of runs that began for a customer in a window.
type Row struct {
	Window   Window `msgpack:"w"`
	Customer string `msgpack:"c"`
	Runs     uint32 `msgpack:"n"`
}

// Report holds the runs that one process has counted since its last report.
type Report struct {
	// Reporter identifies the process; a restarted process has another identity.
	Reporter string `msgpack:"t"`
	// Number increases by one with each report.
	Number uint64 `msgpack:"n"`
	// Through is the last window for which the process will report no more runs.
	Through Window `msgpack:"h"`
	Rows    []Row  `msgpack:"r,omitempty"`
}

// Record is a closed window.
type Record struct {
	Window Window            `msgpack:"w"`
	Counts map[string]uint64 `msgpack:"c"`
	// Acknowledged is set once the receiver of usage records has acknowledged the
	// window.
	Acknowledged bool `msgpack:"k,omitempty"`
}

// Bounds of a ledger.
const (
	// maxReporters is nearly three times the number of entries of the largest intended
	// deployment. The reporter with the oldest report is dropped first.
	maxReporters = 1024
	// maxClosedRows bounds the counts of closed windows: 100,000 take about 1.5 MB; 24
	// customers fill them in 5.8 hours with windows of 5 s.
	maxClosedRows = 100_000
	// maxOpen bounds the open windows: ten minutes without a holder of the duty for
	// windows of 5 s. Runs of further windows count as late.
	maxOpen = 120
)

// reporter is the replicated state of a reporting process.
type reporter struct {
	Number  uint64 `msgpack:"n"`
	Through Window `msgpack:"h"`
	// LastUpdate orders reporters by their last report.
	LastUpdate uint64 `msgpack:"t"`
}

// Ledger is the part of the replicated state that holds the counts. The zero value is
// empty.
type Ledger struct {
	Reporters map[string]reporter          `msgpack:"t,omitempty"`
	Open      map[Window]map[string]uint64 `msgpack:"o,omitempty"`
	// Closed is sorted by window.
	Closed []Record `msgpack:"c,omitempty"`
	// Through is the last closed window.
	Through Window `msgpack:"h"`
	// Late counts runs that were reported after their window was closed.
	Late    uint64 `msgpack:"l"`
	Updates uint64 `msgpack:"u"`
	Rows    int    `msgpack:"r"`
}

// Apply counts a report unless it was counted before.
func (l *Ledger) Apply(r Report) {
	if l.Reporters == nil {
		l.Reporters = map[string]reporter{}
	}
	known := l.Reporters[r.Reporter]
	if r.Number <= known.Number {
		return
	}
	l.Updates++
	l.Reporters[r.Reporter] = reporter{Number: r.Number, Through: max(known.Through, r.Through), LastUpdate: l.Updates}
	l.evictReporter()
	for _, row := range r.Rows {
		l.count(row)
	}
}

func (l *Ledger) count(row Row) {
	open := l.Open[row.Window]
	if row.Window <= l.Through || open == nil && len(l.Open) >= maxOpen {
		l.Late += uint64(row.Runs)
		return
	}
	if open == nil {
		open = map[string]uint64{}
		if l.Open == nil { // nil also after restoring a snapshot without open windows
			l.Open = map[Window]map[string]uint64{}
		}
		l.Open[row.Window] = open
	}
	open[row.Customer] += uint64(row.Runs)
}

func (l *Ledger) evictReporter() {
	if len(l.Reporters) <= maxReporters {
		return
	}
	oldest, lastUpdate := "", l.Updates
	for name, t := range l.Reporters {
		if t.LastUpdate < lastUpdate {
			oldest, lastUpdate = name, t.LastUpdate
		}
	}
	delete(l.Reporters, oldest)
}

// Number returns the number of the last counted report of a process.
func (l *Ledger) Number(reporter string) uint64 { return l.Reporters[reporter].Number }

// Close closes a window with the runs counted so far. A window that is already closed is
// returned unchanged; ok is false if it was skipped or is no longer kept.
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
	// Readers share the old slice, so a new one is built.
	l.Closed = append(slices.Clone(l.Closed), r)
	l.Rows += len(r.Counts)
	l.evictRecords()
	return r, true
}

// evictRecords drops the oldest windows in excess of maxClosedRows, acknowledged ones
// first.
func (l *Ledger) evictRecords() {
	for l.Rows > maxClosedRows && len(l.Closed) > 1 {
		at := slices.IndexFunc(l.Closed, func(r Record) bool { return r.Acknowledged })
		at = max(0, at)
		l.Rows -= len(l.Closed[at].Counts)
		l.Closed = slices.Delete(l.Closed, at, at+1)
	}
}

// DropBefore drops the acknowledged windows before the given one.
func (l *Ledger) DropBefore(before Window) {
	kept := make([]Record, 0, len(l.Closed))
	for _, r := range l.Closed {
		if r.Acknowledged && r.Window < before {
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

// find returns the index of a closed window.
func (l *Ledger) find(w Window) (at int, ok bool) {
	return slices.BinarySearchFunc(l.Closed, w, func(r Record, w Window) int { return cmp.Compare(r.Window, w) })
}

// Acknowledge marks a closed window as acknowledged.
func (l *Ledger) Acknowledge(w Window) {
	at, ok := l.find(w)
	if !ok || l.Closed[at].Acknowledged {
		return
	}
	l.Closed = slices.Clone(l.Closed)
	l.Closed[at].Acknowledged = true
}

// View is a snapshot of the ledger for readers. It shares no mutable data with the
// ledger.
type View struct {
	// Through is the last closed window; FirstOpen is the first open window with counts,
	// zero if there is none.
	Through, FirstOpen Window
	// Closed holds the closed windows that are kept. It must not be modified.
	Closed []Record
	Late   uint64
	// Open is the number of open windows with counts.
	Open int
	// complete holds the last complete window of each process.
	complete map[string]Window
}

// View returns a snapshot for readers.
func (l *Ledger) View() View {
	v := View{Through: l.Through, Closed: l.Closed, Late: l.Late, Open: len(l.Open), complete: make(map[string]Window, len(l.Reporters))}
	for name, t := range l.Reporters {
		v.complete[name] = t.Through
	}
	if len(l.Open) > 0 {
		v.FirstOpen = slices.Min(slices.Collect(maps.Keys(l.Open)))
	}
	return v
}

// Missing returns how many of the processes have not reported everything up to a window.
func (v *View) Missing(reporters []string, w Window) int {
	n := 0
	for _, t := range reporters {
		if v.complete[t] < w {
			n++
		}
	}
	return n
}

// FirstUnacknowledged returns the first closed window that is not acknowledged.
func (v *View) FirstUnacknowledged() (Record, bool) {
	at := slices.IndexFunc(v.Closed, func(r Record) bool { return !r.Acknowledged })
	if at < 0 {
		return Record{}, false
	}
	return v.Closed[at], true
}
