package resumption

import (
	"time"

	"cardamomwick.example/core/fleet"
)

// Limits of a store.
const (
	// maxRecords bounds the records of a store, some 5 MB. The largest supported deployment
	// needs 200 per instance, a small one of the same load 60 times as many.
	maxRecords = 1 << 15
	// MaxLifetime bounds how long a record is kept: streams that last longer can't be taken
	// up at the end.
	MaxLifetime = 10 * time.Minute
	// maxNameBytes bounds each name in a record.
	maxNameBytes = 512
)

// Store holds the records that one instance keeps. Not safe for concurrent use.
type Store struct {
	records map[Key]*stored
	// order holds the keys in the order in which they were added. The front is removed when it
	// has expired or the store is full.
	order []Key
	// evicted counts the records that were removed before they expired.
	evicted uint64
}

type stored struct {
	origin    Origin
	start     fleet.Start
	ambiguous bool
	// added and expires are when the record was added and when it is no longer needed.
	added, expires time.Time
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{records: map[Key]*stored{}} }

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// Evicted returns how many records were removed before they expired.
func (s *Store) Evicted() uint64 { return s.evicted }

// Add stores a record. The origin of a key is written once: a record with another origin makes
// the key ambiguous for good.
func (s *Store) Add(now time.Time, r Record) {
	if r.Lifetime <= 0 || len(r.Origin.Pool) > maxNameBytes || len(r.Origin.Software) > maxNameBytes || len(r.Start.Name) > maxNameBytes {
		return
	}
	expires := now.Add(min(r.Lifetime, MaxLifetime))
	if old := s.records[r.Key]; old != nil {
		old.ambiguous = old.ambiguous || r.Ambiguous || old.origin != r.Origin
		if expires.After(old.expires) {
			old.expires = expires
		}
		return
	}
	s.Expire(now)
	if len(s.order) >= maxRecords {
		s.removeOldest()
		s.evicted++
	}
	s.records[r.Key] = &stored{origin: r.Origin, start: r.Start, ambiguous: r.Ambiguous, added: now, expires: expires}
	s.order = append(s.order, r.Key)
}

// Expire removes expired records, in the order in which they were added.
func (s *Store) Expire(now time.Time) {
	for len(s.order) > 0 && !now.Before(s.records[s.order[0]].expires) {
		s.removeOldest()
	}
}

func (s *Store) removeOldest() {
	delete(s.records, s.order[0])
	s.order = s.order[1:]
}

// Find returns the record of a key, with the rest of its lifetime.
func (s *Store) Find(now time.Time, k Key) (Record, bool) {
	r := s.records[k]
	if r == nil || !now.Before(r.expires) {
		return Record{}, false
	}
	return Record{Key: k, Origin: r.origin, Start: r.start, Age: now.Sub(r.added), Lifetime: r.expires.Sub(now), Ambiguous: r.ambiguous}, true
}
