package usage

import (
	"sort"
	"time"
)

// Bounds of a meter.
const (
	// mostRuns bounds the runs that wait for the agreed time, a minute of the busiest
	// entry measured; further ones are counted by the instance's own time of day.
	mostRuns = 8192
	// mostRows bounds a report: 1,000 customers in four windows.
	mostRows = 4096
)

// Meter counts the runs that one process sees, and makes its reports. Times are those of
// a clock that is never set. Not safe for concurrent use.
type Meter struct {
	teller string
	length time.Duration
	// settle is how long after the end of a window the runs that began in it may still be
	// noted.
	settle time.Duration

	runs []run
	rows map[rowKey]uint32
	// sent is the report that has no acknowledgement yet.
	sent   *Report
	number uint64
}

type run struct {
	at       time.Time
	customer string
}

type rowKey struct {
	window   Window
	customer string
}

// NewMeter returns the meter of the named process.
func NewMeter(teller string, window, settle time.Duration) *Meter {
	return &Meter{teller: teller, length: window, settle: settle, rows: map[rowKey]uint32{}}
}

// Began counts a run that began at a time. own is the instance's own time of day then.
func (m *Meter) Began(at time.Time, customer string, own time.Time) {
	if len(m.runs) >= mostRuns {
		m.rows[rowKey{WindowAt(own, m.length), customer}]++
		return
	}
	m.runs = append(m.runs, run{at, customer})
}

// Next returns the report to send now: the last one again while it has no
// acknowledgement. agreed turns a time of the meter's clock into the agreed time of day.
func (m *Meter) Next(now time.Time, agreed func(time.Time) time.Time) *Report {
	if m.sent != nil {
		return m.sent
	}
	for _, x := range m.runs {
		m.rows[rowKey{WindowAt(agreed(x.at), m.length), x.customer}]++
	}
	m.runs = m.runs[:0]
	m.number++
	m.sent = &Report{Teller: m.teller, Number: m.number, Rows: m.take()}
	if len(m.rows) == 0 {
		m.sent.Through = WindowAt(agreed(now.Add(-m.settle)), m.length) - 1
	}
	return m.sent
}

// take removes the rows of one report, in the order of windows and customers.
func (m *Meter) take() []Row {
	out := make([]Row, 0, min(len(m.rows), mostRows))
	for key, runs := range m.rows {
		if len(out) == mostRows {
			break
		}
		out = append(out, Row{Window: key.window, Customer: key.customer, Runs: runs})
		delete(m.rows, key)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Window != out[j].Window {
			return out[i].Window < out[j].Window
		}
		return out[i].Customer < out[j].Customer
	})
	return out
}

// Acknowledged notes that the reports up to a number are counted.
func (m *Meter) Acknowledged(number uint64) {
	if m.sent != nil && m.sent.Number <= number {
		m.sent = nil
	}
}

// Pending reports whether there are runs that no report was acknowledged for.
func (m *Meter) Pending() bool { return m.sent != nil || len(m.runs) > 0 || len(m.rows) > 0 }
