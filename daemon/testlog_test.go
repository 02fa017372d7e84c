package daemon

import (
	"os"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// testLog is the log handler of all tests of this package. Goroutines of an instance that
// one test has stopped may still log while the next one begins, so that tests must not
// replace the library's handler; they replace the receiver behind this one.
var testLog = &switchedLog{to: discard.New()}

func TestMain(m *testing.M) {
	log.SetHandler(testLog)
	os.Exit(m.Run())
}

// switchedLog hands entries to a receiver that may be replaced at any time.
type switchedLog struct {
	mu sync.Mutex
	to log.Handler
}

// HandleLog implements log.Handler.
func (s *switchedLog) HandleLog(e *log.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.to.HandleLog(e)
}

// sendTo replaces the receiver; the former one gets nothing any more.
func (s *switchedLog) sendTo(to log.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.to = to
}
