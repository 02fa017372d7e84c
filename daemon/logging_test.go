package daemon

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
)

// blockedWriter accepts nothing until it is released, like a reader of the log that has
// stopped.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.String()
}

func TestLogNeverBlocksAndKeepsFailuresFirst(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	logger := &log.Logger{Handler: newBoundedHandler(w, "i1"), Level: log.InfoLevel}
	began := time.Now()
	for range 10 * maxQueuedLines {
		logger.WithField(AnsweredField, true).WithField("call", "good").Info("call answered")
	}
	for range reservedLines / 2 {
		logger.WithField("call", "bad").Info("call failed")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("logging to a reader that does not read took %v", took)
	}
	close(w.release)
	// The report of dropped lines may come before the last queued line.
	failures := func(text string) int { return strings.Count(text, "call failed") }
	deadline := time.Now().Add(5 * time.Second)
	text := w.text()
	for (!strings.Contains(text, "log lines dropped") || failures(text) < reservedLines/2) && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		text = w.text()
	}
	if n := failures(text); n != reservedLines/2 {
		t.Errorf("%d of %d failures were written", n, reservedLines/2)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("the number of dropped lines is not reported")
	}
	if strings.Contains(text, `"`+AnsweredField+`":`) {
		t.Error("the field that marks answered calls was written")
	}
	for line := range strings.Lines(text) {
		var parsed map[string]any
		if err := json.Unmarshal([]byte(line), &parsed); err != nil {
			t.Fatalf("%q is not JSON: %v", line, err)
		}
	}
}

// The line that says why a process ends is the last one before it ends.
func TestLastLinesAreWrittenBeforeTheProcessEnds(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	h := newBoundedHandler(w, "i1")
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 100 {
		logger.Info("queued")
	}
	logger.Info("instance can't start")
	close(w.release)
	h.flush()
	if text := w.text(); !strings.HasSuffix(text, "\"instance can't start\"}\n") || strings.Count(text, "\n") != 101 {
		t.Errorf("%d lines were written, the last of them %q", strings.Count(text, "\n"), text[strings.LastIndex(strings.TrimSpace(text), "\n")+1:])
	}
}

func TestFlushDoesNotWaitForAReaderThatHasStopped(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	defer close(w.release)
	h := newBoundedHandler(w, "i1")
	(&log.Logger{Handler: h, Level: log.InfoLevel}).Info("queued")
	flushed := make(chan struct{})
	go func() { h.flush(); close(flushed) }()
	select {
	case <-flushed:
	case <-time.After(20 * flushTimeout):
		t.Error("the flush waits for a reader that does not read")
	}
}
