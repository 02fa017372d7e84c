package daemon

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// Limits of the log.
const (
	// maxQueuedLines limits the lines that wait for a slow reader.
	maxQueuedLines = 2048
	// reservedLines of the queue are reserved for lines other than those about answered
	// calls.
	reservedLines = 1024
	// maxAnsweredPerSecond limits the lines about answered calls; further ones in the same
	// second are dropped. Failures are not limited.
	maxAnsweredPerSecond = 300
	// dropReportInterval is how often dropped lines are reported.
	dropReportInterval = time.Second
	// flushTimeout bounds the wait for queued lines before the process ends.
	flushTimeout = 500 * time.Millisecond
)

// AnsweredField marks the log lines about answered calls, which are dropped first. It is not
// written itself.
const AnsweredField = "answered"

// boundedHandler writes JSON lines from its own goroutine, so that a reader that stops
// reading never blocks the instance.
type boundedHandler struct {
	name    string
	lines   chan []byte
	flushes chan chan<- struct{}
	dropped atomic.Int64

	mu       sync.Mutex
	second   int64
	answered int
}

// HandleLog implements log.Handler.
func (h *boundedHandler) HandleLog(e *log.Entry) error {
	if _, ok := e.Fields[AnsweredField]; ok && !h.allowAnswered(e.Timestamp) {
		h.dropped.Add(1)
		return nil
	}
	named := *e
	named.Fields = make(log.Fields, len(e.Fields)+1)
	for k, v := range e.Fields {
		if k != AnsweredField {
			named.Fields[k] = v
		}
	}
	named.Fields["instance"] = h.name
	var line bytes.Buffer
	if err := json.New(&line).HandleLog(&named); err != nil {
		return err
	}
	select {
	case h.lines <- line.Bytes():
	default:
		h.dropped.Add(1)
	}
	return nil
}

// allowAnswered reports whether another line about an answered call may be written.
func (h *boundedHandler) allowAnswered(now time.Time) bool {
	if len(h.lines) > maxQueuedLines-reservedLines {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := now.Unix(); s != h.second {
		h.second, h.answered = s, 0
	}
	h.answered++
	return h.answered <= maxAnsweredPerSecond
}

// write writes queued lines to w until the process ends.
func (h *boundedHandler) write(w io.Writer) {
	report := time.NewTicker(dropReportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-h.lines:
			// A failure to write the log can't be reported anywhere.
			_, _ = w.Write(line)
		case done := <-h.flushes:
			h.writeQueued(w)
			close(done)
		case <-report.C:
			if n := h.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w, "{\"fields\":{\"instance\":%q,\"lines\":%d},\"level\":\"warn\",\"message\":\"log lines dropped\"}\n", h.name, n)
			}
		}
	}
}

// writeQueued writes the lines that are queued now.
func (h *boundedHandler) writeQueued(w io.Writer) {
	for range len(h.lines) {
		_, _ = w.Write(<-h.lines) // see write
	}
}

// flush waits until the lines queued so far are written, for flushTimeout at most.
func (h *boundedHandler) flush() {
	timeout := time.After(flushTimeout)
	done := make(chan struct{})
	select {
	case h.flushes <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}

func newBoundedHandler(w io.Writer, name string) *boundedHandler {
	h := &boundedHandler{name: name, lines: make(chan []byte, maxQueuedLines), flushes: make(chan chan<- struct{})}
	go h.write(w)
	return h
}

// SetUpLog makes the process log JSON lines of the given level and above to w. The returned
// function writes the lines that are still queued; call it before the process ends.
func SetUpLog(w io.Writer, level, name string) (flush func()) {
	h := newBoundedHandler(w, name)
	log.SetHandler(h)
	log.SetLevelFromString(level)
	return h.flush
}
