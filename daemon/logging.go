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

// Bounds of the log.
const (
	// logQueue is how many lines may wait for a slow reader.
	logQueue = 2048
	// logReserve of them are kept for lines that are no answered calls.
	logReserve = 1024
	// answeredPerSecond bounds the lines about calls that were answered. Above it
	// a sample of one second remains; failures are all written.
	answeredPerSecond = 300
	// dropPeriod is how often dropped lines are reported.
	dropPeriod = time.Second
)

// AnsweredField marks lines about calls that went well: the first to be dropped.
const AnsweredField = "answered"

// boundedHandler writes JSON lines to a writer from a goroutine of its own, so
// that a reader that does not read never blocks the instance.
type boundedHandler struct {
	name    string
	lines   chan []byte
	dropped atomic.Int64

	mu       sync.Mutex
	second   int64
	answered int
}

// HandleLog implements log.Handler.
func (h *boundedHandler) HandleLog(e *log.Entry) error {
	if _, ok := e.Fields[AnsweredField]; ok && !h.mayWriteAnswered(e.Timestamp) {
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

func (h *boundedHandler) mayWriteAnswered(now time.Time) bool {
	if len(h.lines) > logQueue-logReserve {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := now.Unix(); s != h.second {
		h.second, h.answered = s, 0
	}
	h.answered++
	return h.answered <= answeredPerSecond
}

// write runs until the process ends.
func (h *boundedHandler) write(w io.Writer) {
	report := time.NewTicker(dropPeriod)
	defer report.Stop()
	for {
		select {
		case line := <-h.lines:
			// There is nowhere to report that the log can't be written.
			_, _ = w.Write(line)
		case <-report.C:
			if n := h.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w, "{\"fields\":{\"instance\":%q,\"lines\":%d},\"level\":\"warn\",\"message\":\"log lines dropped\"}\n", h.name, n)
			}
		}
	}
}

func newBoundedHandler(w io.Writer, name string) *boundedHandler {
	h := &boundedHandler{name: name, lines: make(chan []byte, logQueue)}
	go h.write(w)
	return h
}

// SetUpLog sends JSON lines to w.
func SetUpLog(w io.Writer, level, name string) {
	log.SetHandler(newBoundedHandler(w, name))
	log.SetLevelFromString(level)
}
