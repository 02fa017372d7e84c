package usage

import (
	"sort"
	"time"
)

// Bounds of a meter.
const (
	// maxRuns bounds the runs that wait for the agreed time of day: about one minute at
	// 136 runs a second. Further runs are counted by the instance's own time of day.
	maxRuns = 8192
	// maxRows bounds a report: 1,000 customers in four windows.
	maxRows = 4096
)

// Meter counts the runs that one process observes and builds its reports. Times are
// those of a monotonic clock. Not safe for concurrent use.
type Meter struct {
	reporter string
	length   time.Duration
	// settleTime is how long after the end of a window the runs that began in it may
	// still be recorded.
	settleTime time.Duration

	runs []run
	rows map[rowKey]uint32
	// sent is the last report while it is not acknowledged.
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

// NewMeter returns the meter of the named process. settleTime is the longest time from
// the start of a run until it is recorded.
func NewMeter(reporter string, window, settleTime time.Duration) *Meter {
	return &Meter{reporter: reporter, length: window, settleTime: settleTime, rows: map[rowKey]uint32{}}
}

// RecordRun counts a run that began at the given time; own is the instance's own time of
// day at that moment.
func (m *Meter) RecordRun(at time.Time, customer string, own time.Time) {
	if len(m.runs) >= maxRuns {
		m.rows[rowKey{WindowAt(own, m.length), customer}]++
		return
	}
	m.runs = append(m.runs, run{at, customer})
}

// NextReport returns the report to send now: the last one while it is not acknowledged,
// otherwise a new one. toAgreedTime converts a time of the meter's clock to the agreed
// time of day, which ClockMedian determines from the clocks of all instances.
func (m *Meter) NextReport(now time.Time, toAgreedTime func(time.Time) time.Time) *Report {
	if m.sent != nil {
		return m.sent
	}
	for _, x := range m.runs {
		m.rows[rowKey{WindowAt(toAgreedTime(x.at), m.length), x.customer}]++
	}
	m.runs = m.runs[:0]
	m.number++
	m.sent = &Report{Reporter: m.reporter, Number: m.number, Rows: m.takeRows()}
	if len(m.rows) == 0 {
		m.sent.Through = WindowAt(toAgreedTime(now.Add(-m.settleTime)), m.length) - 1
	}
	return m.sent
}

// takeRows removes the rows of one report and returns them sorted by window and
// customer.
func (m *Meter) takeRows() []Row {
	out := make([]Row, 0, min(len(m.rows), maxRows))
	for key, runs := range m.rows {
		if len(out) == maxRows {
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

// Acknowledged records that the reports up to the given number have been counted.
func (m *Meter) Acknowledged(number uint64) {
	if m.sent != nil && m.sent.Number <= number {
		m.sent = nil
	}
}

// Pending reports whether there are runs that are not covered by an acknowledged report.
func (m *Meter) Pending() bool { return m.sent != nil || len(m.runs) > 0 || len(m.rows) > 0 }
