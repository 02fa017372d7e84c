package control

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
)

// Limits of what is logged of foreign writers.
const (
	// foreignPause is the least time between two log lines about one source.
	foreignPause = time.Minute
	// keptSources bounds the sources remembered; more share one entry.
	keptSources = 256
	// otherSources stands for the sources beyond.
	otherSources = "others"
)

// foreign counts announcements that are not from backend servers. It answers
// writers that share the network: what they send must neither be believed nor fill
// the log. Safe for concurrent use.
type foreign struct {
	mu     sync.Mutex
	total  int64
	logged map[string]time.Time
}

// note counts one announcement and reports whether it is to be logged, with the
// source under which it counts.
func (f *foreign) note(now time.Time, source string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total++
	if f.logged == nil {
		f.logged = map[string]time.Time{}
	}
	at, known := f.logged[source]
	if !known && len(f.logged) >= keptSources {
		source = otherSources
		at, known = f.logged[source]
	}
	if known && now.Sub(at) < foreignPause {
		return source, false
	}
	f.logged[source] = now
	return source, true
}

// Foreign notes an announcement that can't be from a backend server.
func (s *Service) Foreign(source string, err error) {
	if source, first := s.foreign.note(time.Now(), source); first {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "read announcement", "peer": source}).Warn("not from a backend server; the next ones of this peer are only counted")
	}
}

// ForeignAnnouncements returns how many announcements were not from backend
// servers.
func (s *Service) ForeignAnnouncements() int64 {
	s.foreign.mu.Lock()
	defer s.foreign.mu.Unlock()
	return s.foreign.total
}
