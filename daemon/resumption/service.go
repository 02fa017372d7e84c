// Package resumption shares between the instances where streams began, so that a caller can take
// its stream up at any of them. Package core/resumption decides who keeps what.
package resumption

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/membership"
	core "cardamomwick.example/core/resumption"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/loop"
)

// Frame methods of this package.
const (
	methodRecords = "resumption.records"
	methodFind    = "resumption.find"
)

const (
	// maintenancePeriod is the time between two looks for expired records and for records whose
	// owners have changed.
	maintenancePeriod = 500 * time.Millisecond
	// findTimeout bounds the wait for peers that are queried for a record. Those that have it
	// answer within milliseconds; one that has just ended may not answer at all.
	findTimeout = 150 * time.Millisecond
	// maxRecordsPerMessage bounds a message: 512 records are some 50 KB.
	maxRecordsPerMessage = 512
)

// Service keeps this instance's part of the records. It implements suture.Service. Safe for
// concurrent use.
type Service struct {
	transport *frame.Transport
	// instances lists the live instances, as a list that is replaced when it changes.
	instances func() []membership.Instance

	// candidates caches those of the instances.
	candidates membership.Cache[[]membership.Instance]

	mu     sync.Mutex
	store  *core.Store
	writer *core.Writer
	// movedTo are the candidates that the writer's records were last moved to.
	movedTo []membership.Instance
	// unsent counts the records that could not be queued for a peer.
	unsent atomic.Int64
}

// New returns a service and registers its frame handlers.
func New(t *frame.Transport, instances func() []membership.Instance) *Service {
	s := &Service{transport: t, instances: instances, store: core.NewStore(), writer: core.NewWriter(t.Self())}
	t.HandleOneWay(methodRecords, s.handleRecords)
	t.HandleRequest(methodFind, s.handleFind)
	return s
}

// String names the service in the supervisor's log.
func (s *Service) String() string { return "resumption" }

// Serve maintains the records until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	return loop.Every(ctx, maintenancePeriod, s.maintain)
}

// maintain removes expired records, and sends the records of running streams to their new owners
// after a change of the instances.
func (s *Service) maintain(now time.Time) {
	s.mu.Lock()
	s.store.Expire(now)
	var moved map[string][]core.Record
	if candidates := s.currentCandidates(); !membership.SameList(candidates, s.movedTo) {
		moved = s.writer.Moved(now, candidates)
		s.movedTo = candidates
	}
	s.mu.Unlock()
	for address, list := range moved {
		s.send(address, list)
	}
}

// currentCandidates returns the instances that keep records.
func (s *Service) currentCandidates() []membership.Instance {
	return s.candidates.Get(s.instances(), core.Candidates)
}

// Record records where a stream begins, here and at its owners. The returned function must be
// called when the stream has ended here.
func (s *Service) Record(r core.Record) (ended func()) {
	now := time.Now()
	s.mu.Lock()
	s.store.Add(now, r)
	owners := s.writer.Begin(now, r, s.currentCandidates())
	s.mu.Unlock()
	for _, o := range owners {
		s.send(o.PeerAddress, []core.Record{r})
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.writer.End(r.Key)
	}
}

func (s *Service) send(address string, list []core.Record) {
	for len(list) > 0 {
		n := min(len(list), maxRecordsPerMessage)
		if err := s.transport.Send(address, methodRecords, list[:n]); err != nil {
			s.unsent.Add(int64(n))
			log.WithError(err).WithFields(log.Fields{"step": "send records of streams", "peer": address, "records": n}).Debug("not sent; the other owners have them")
		}
		list = list[n:]
	}
}

func (s *Service) handleRecords(from string, body []byte) {
	var list []core.Record
	if err := wire.Decode(body, &list); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "decode records of streams", "peer": from}).Warn("message dropped")
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range list {
		s.store.Add(now, r)
	}
}

// findReply holds a record, nil if the instance has none.
type findReply struct {
	Record *core.Record `msgpack:"r"`
}

func (s *Service) handleFind(_ context.Context, _ string, body []byte) (any, error) {
	var k core.Key
	if err := wire.Decode(body, &k); err != nil {
		return nil, eris.Wrap(err, "decode key of stream")
	}
	if r, ok := s.find(k); ok {
		return &findReply{&r}, nil
	}
	return &findReply{}, nil
}

func (s *Service) find(k core.Key) (core.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Find(time.Now(), k)
}

// Finding is the result of a search for a record.
type Finding struct {
	core.Record
	// From is the peer that had the record, "" for this instance.
	From string
	// Queried and Replies count the peers that were queried, and their replies until the record
	// was found.
	Queried, Replies int
}

// Find returns the record of a stream, from this instance or from its owners. ok is false if none
// of them has it, which says nothing about where the stream began.
func (s *Service) Find(ctx context.Context, k core.Key) (f Finding, ok bool) {
	if f.Record, ok = s.find(k); ok {
		return f, true
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	owners := core.Owners(k, s.currentCandidates(), s.transport.Self(), core.Queried)
	replies := make(chan reply, len(owners))
	for _, o := range owners {
		go func() { replies <- s.ask(ctx, o.PeerAddress, k) }()
	}
	f.Queried = len(owners)
	for range owners {
		r := <-replies
		if r.err != nil {
			continue
		}
		f.Replies++
		if r.Record != nil && r.Record.Key == k {
			f.Record, f.From = *r.Record, r.from
			s.mu.Lock()
			s.store.Add(time.Now(), f.Record) // for the next time
			s.mu.Unlock()
			return f, true
		}
	}
	return f, false
}

// reply is the reply of a peer to a search.
type reply struct {
	findReply
	from string
	err  error
}

func (s *Service) ask(ctx context.Context, address string, k core.Key) reply {
	r := reply{from: address}
	r.err = s.transport.Call(ctx, address, methodFind, k, &r.findReply)
	return r
}

// Records returns the number of records that this instance keeps.
func (s *Service) Records() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Len()
}

// Lost returns the number of records that were not sent to a peer or removed before they had
// expired.
func (s *Service) Lost() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsent.Load() + int64(s.store.Evicted())
}
