package daemon

import (
	"os"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// testLog is the log handler of all tests of this package. Goroutines of an instance that a
// test has stopped may still log while the next test begins. The library's handler can't be
// replaced without a data race, so tests change the target of this one.
var testLog = &switchableHandler{target: discard.New()}

func TestMain(m *testing.M) {
	log.SetHandler(testLog)
	os.Exit(m.Run())
}

// switchableHandler passes entries to a target that may be replaced at any time.
type switchableHandler struct {
	mu     sync.Mutex
	target log.Handler
}

// HandleLog implements log.Handler.
func (s *switchableHandler) HandleLog(e *log.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target.HandleLog(e)
}

// setTarget replaces the target; the former one gets no further entries.
func (s *switchableHandler) setTarget(target log.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target = target
}
