package control

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
)

// Limits on logging foreign announcements.
const (
	// foreignLogInterval is the minimum interval between two log lines about one source.
	foreignLogInterval = time.Minute
	// maxForeignSources bounds the tracked sources; further ones share otherForeignSources.
	maxForeignSources = 256
	// otherForeignSources is the name of all sources over maxForeignSources.
	otherForeignSources = "others"
)

// foreignCounter counts announcements that are not from backend servers and limits how often
// they are logged. Other programs on the network may send such messages at any rate.
// Safe for concurrent use.
type foreignCounter struct {
	mu     sync.Mutex
	total  int64
	logged map[string]time.Time
}

// record counts an announcement. It returns the name under which the source is tracked and
// whether to log it.
func (f *foreignCounter) record(now time.Time, source string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total++
	if f.logged == nil {
		f.logged = map[string]time.Time{}
	}
	at, known := f.logged[source]
	if !known && len(f.logged) >= maxForeignSources {
		source = otherForeignSources
		at, known = f.logged[source]
	}
	if known && now.Sub(at) < foreignLogInterval {
		return source, false
	}
	f.logged[source] = now
	return source, true
}

// RecordForeign counts an announcement that can't be from a backend server.
func (s *Service) RecordForeign(source string, err error) {
	if source, toLog := s.foreign.record(time.Now(), source); toLog {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "read announcement", "peer": source}).Warn("not from a backend server; further ones of this peer are counted and logged once a minute")
	}
}

// ForeignAnnouncements returns how many announcements were not from backend
// servers.
func (s *Service) ForeignAnnouncements() int64 {
	s.foreign.mu.Lock()
	defer s.foreign.mu.Unlock()
	return s.foreign.total
}
