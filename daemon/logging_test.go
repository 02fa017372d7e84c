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

// slowReader takes nothing until it is released.
type slowReader struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *slowReader) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *slowReader) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

func TestLogNeverBlocksAndKeepsFailuresFirst(t *testing.T) {
	r := &slowReader{release: make(chan struct{})}
	logger := &log.Logger{Handler: newBoundedHandler(r, "i1"), Level: log.InfoLevel}
	began := time.Now()
	for range 10 * logQueue {
		logger.WithField(AnsweredField, true).WithField("call", "good").Info("call answered")
	}
	for range logReserve / 2 {
		logger.WithField("call", "bad").Info("call failed")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("logging to a reader that does not read took %v", took)
	}
	close(r.release)
	deadline := time.Now().Add(5 * time.Second)
	for !strings.Contains(r.text(), "log lines dropped") && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	text := r.text()
	if n := strings.Count(text, "call failed"); n != logReserve/2 {
		t.Errorf("%d of %d failures were written", n, logReserve/2)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("nothing tells how many lines were dropped")
	}
	if strings.Contains(text, `"`+AnsweredField+`":`) {
		t.Error("the mark of answered calls was written")
	}
	for line := range strings.Lines(text) {
		var parsed map[string]any
		if err := json.Unmarshal([]byte(line), &parsed); err != nil {
			t.Fatalf("%q is not JSON: %v", line, err)
		}
	}
}
