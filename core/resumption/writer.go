package resumption

import (
	"slices"
	"time"

	"cardamomwick.example/core/membership"
)

// Writer holds the records of the streams that run at one instance, and which instances have
// them. Not safe for concurrent use.
type Writer struct {
	self    string
	running map[Key]*written
}

type written struct {
	Record
	expires time.Time
	// owners are the processes that the record was sent to.
	owners []string
}

// NewWriter returns the writer of the instance with a peer address.
func NewWriter(self string) *Writer { return &Writer{self: self, running: map[Key]*written{}} }

// Len returns the number of running streams.
func (w *Writer) Len() int { return len(w.running) }

// Begin adds the record of a stream and returns the owners to send it to.
func (w *Writer) Begin(now time.Time, r Record, candidates []membership.Instance) []membership.Instance {
	x := &written{Record: r, expires: now.Add(r.Lifetime)}
	owners := Owners(r.Key, candidates, w.self, Copies)
	x.setOwners(owners)
	w.running[r.Key] = x
	return owners
}

// End removes the record of a stream that has ended at this instance. Its copies remain.
func (w *Writer) End(k Key) { delete(w.running, k) }

// Moved returns, by peer address, the records whose owners have changed and that the new owners
// lack. An instance that has started again is a new owner.
func (w *Writer) Moved(now time.Time, candidates []membership.Instance) map[string][]Record {
	out := map[string][]Record{}
	for k, x := range w.running {
		x.Lifetime = x.expires.Sub(now)
		if x.Lifetime <= 0 {
			continue
		}
		owners := Owners(k, candidates, w.self, Copies)
		for _, o := range owners {
			if !slices.Contains(x.owners, o.Owner()) {
				out[o.PeerAddress] = append(out[o.PeerAddress], x.Record)
			}
		}
		x.setOwners(owners)
	}
	return out
}

func (x *written) setOwners(list []membership.Instance) {
	x.owners = x.owners[:0]
	for _, o := range list {
		x.owners = append(x.owners, o.Owner())
	}
}
