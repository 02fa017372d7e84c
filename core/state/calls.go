package state

import (
	"sort"
	"time"
)

// Phase is the processing state of a recorded call.
type Phase uint8

// Phases of a recorded call.
const (
	// PhaseAccepted means recorded but not dispatched; another owner may take over.
	PhaseAccepted Phase = iota + 1
	// PhaseClaimed means the owner may have dispatched the call.
	PhaseClaimed
	// PhaseDone means the call has finished and Answer is final.
	PhaseDone
)

// CallRecord is the replicated state of one call.
type CallRecord struct {
	Key           CallKey        `msgpack:"k"`
	Phase         Phase          `msgpack:"p"`
	CallID        string         `msgpack:"i"`
	Owner         string         `msgpack:"o"`
	RequestDigest string         `msgpack:"d"`
	Class         string         `msgpack:"s"`
	Idempotent    bool           `msgpack:"e"`
	Request       *StoredRequest `msgpack:"q,omitempty"`
	Answer        *StoredAnswer  `msgpack:"a,omitempty"`
}

// durable reports whether the call was recorded by CommandAccept, so that it must not
// be lost.
func (r *CallRecord) durable() bool { return r.Request != nil }

// withoutRequest returns a copy that omits the stored request, to keep results small.
func (r *CallRecord) withoutRequest() *CallRecord {
	out := *r
	out.Request = nil
	return &out
}

type callState struct {
	records map[CallKey]*CallRecord
	// keysByBucket groups keys by the minute of their timestamp, for pruning.
	keysByBucket map[int64][]CallKey
	// oldestBucket is the lowest bucket that may still contain keys.
	oldestBucket int64
}

const bucketMillis = int64(time.Minute / time.Millisecond)

func newCallState() callState {
	return callState{records: map[CallKey]*CallRecord{}, keysByBucket: map[int64][]CallKey{}}
}

func (s *callState) put(r *CallRecord) {
	s.records[r.Key] = r
	b := r.Key.Millis / bucketMillis
	s.keysByBucket[b] = append(s.keysByBucket[b], r.Key)
	if s.oldestBucket == 0 || b < s.oldestBucket {
		s.oldestBucket = b
	}
}

func (s *callState) list() []*CallRecord {
	out := make([]*CallRecord, 0, len(s.records))
	for _, r := range s.records {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.less(out[j].Key) })
	return out
}

func (k CallKey) less(o CallKey) bool {
	if k.Millis != o.Millis {
		return k.Millis < o.Millis
	}
	if k.Key != o.Key {
		return k.Key < o.Key
	}
	if k.Customer != o.Customer {
		return k.Customer < o.Customer
	}
	return k.Pool < o.Pool
}

// prune removes calls whose keys are too old to be accepted again. Unfinished durable
// calls are kept because they must not be lost.
func (s *callState) prune(now int64) {
	limit := (now - Retention.Milliseconds()) / bucketMillis
	for ; s.oldestBucket != 0 && s.oldestBucket < limit; s.oldestBucket++ {
		var kept []CallKey
		for _, k := range s.keysByBucket[s.oldestBucket] {
			r := s.records[k]
			if r == nil {
				continue
			}
			if r.durable() && r.Phase != PhaseDone {
				kept = append(kept, k)
				continue
			}
			delete(s.records, k)
		}
		delete(s.keysByBucket, s.oldestBucket)
		if len(kept) > 0 {
			s.keysByBucket[limit] = append(s.keysByBucket[limit], kept...)
		}
	}
}

// expired reports whether a key's timestamp is older than the retention period or too
// far in the future.
func expired(k CallKey, now int64) bool {
	return k.Millis < now-Retention.Milliseconds() || k.Millis > now+MaxSkew.Milliseconds()
}

func (s *callState) apply(t CommandType, c *CallCommand, now int64) Result {
	r := s.records[c.Key]
	if r != nil && c.RequestDigest != "" && r.RequestDigest != c.RequestDigest {
		return Result{Code: CodeConflict, Message: "the idempotency key was used for another request", Record: r.withoutRequest()}
	}
	switch t {
	case CommandAccept:
		return s.accept(r, c, now)
	case CommandClaim:
		return s.claim(r, c, now)
	case CommandRelease:
		return s.release(r, c)
	case CommandFinish:
		return s.finish(r, c)
	case CommandTakeOver:
		return s.takeOver(r, c)
	}
	return Result{Code: CodeRefused, Message: "unknown call command"}
}

func (s *callState) create(c *CallCommand, phase Phase) *CallRecord {
	r := &CallRecord{Key: c.Key, Phase: phase, CallID: c.CallID, Owner: c.Owner, RequestDigest: c.RequestDigest,
		Class: c.Class, Idempotent: c.Idempotent, Request: c.Request}
	s.put(r)
	return r
}

func (s *callState) accept(r *CallRecord, c *CallCommand, now int64) Result {
	if r == nil && expired(c.Key, now) {
		return Result{Code: CodeExpired}
	}
	if r == nil {
		return Result{Code: CodeOK, Record: s.create(c, PhaseAccepted).withoutRequest()}
	}
	if r.CallID == c.CallID && r.Phase != PhaseDone {
		return Result{Code: CodeOK, Record: r.withoutRequest()}
	}
	return Result{Code: CodeExists, Record: r.withoutRequest()}
}

func (s *callState) claim(r *CallRecord, c *CallCommand, now int64) Result {
	if r == nil && expired(c.Key, now) {
		return Result{Code: CodeExpired}
	}
	if r == nil {
		return Result{Code: CodeOK, Record: s.create(c, PhaseClaimed).withoutRequest()}
	}
	if r.CallID == c.CallID && r.Phase != PhaseDone {
		r.Phase = PhaseClaimed
		return Result{Code: CodeOK, Record: r.withoutRequest()}
	}
	return Result{Code: CodeExists, Record: r.withoutRequest()}
}

func (s *callState) release(r *CallRecord, c *CallCommand) Result {
	if r == nil {
		return Result{Code: CodeOK}
	}
	if r.CallID != c.CallID || r.Phase != PhaseClaimed {
		return Result{Code: CodeStale, Record: r.withoutRequest()}
	}
	if r.durable() {
		r.Phase = PhaseAccepted
		return Result{Code: CodeOK, Record: r.withoutRequest()}
	}
	delete(s.records, c.Key)
	return Result{Code: CodeOK}
}

func (s *callState) finish(r *CallRecord, c *CallCommand) Result {
	if r == nil || r.CallID != c.CallID {
		return Result{Code: CodeStale}
	}
	if r.Phase == PhaseDone {
		return Result{Code: CodeOK, Record: r.withoutRequest()}
	}
	r.Phase = PhaseDone
	r.Answer = c.Answer
	r.Request = nil
	return Result{Code: CodeOK, Record: r.withoutRequest()}
}

// takeOver assigns an unfinished durable call to a new owner. A claimed call that is
// not idempotent is not reassigned, because it may already have run.
func (s *callState) takeOver(r *CallRecord, c *CallCommand) Result {
	if r == nil || !r.durable() || r.Phase == PhaseDone {
		return Result{Code: CodeStale}
	}
	if r.CallID == c.CallID {
		return s.fullRecord(r)
	}
	if r.Owner != c.PreviousOwner || (r.Phase == PhaseClaimed && !r.Idempotent) {
		return Result{Code: CodeStale, Record: r.withoutRequest()}
	}
	r.Owner = c.Owner
	r.CallID = c.CallID
	r.Phase = PhaseAccepted
	return s.fullRecord(r)
}

// fullRecord returns the record with its stored request, which the new owner needs.
func (s *callState) fullRecord(r *CallRecord) Result {
	out := *r
	return Result{Code: CodeOK, Record: &out}
}

// Call returns a copy of a call's record without the stored request.
func (m *Machine) Call(k CallKey) (CallRecord, bool) {
	r, ok := m.calls.records[k]
	if !ok {
		return CallRecord{}, false
	}
	return *r.withoutRequest(), true
}

// Orphan identifies an unfinished durable call that another instance may take over.
type Orphan struct {
	Key   CallKey `msgpack:"k"`
	Owner string  `msgpack:"o"`
}

// Orphans lists the durable calls that may be taken over because their owner is not
// alive, oldest first.
func (m *Machine) Orphans(alive func(owner string) bool) []Orphan {
	var out []Orphan
	for _, r := range m.calls.records {
		movable := r.durable() && (r.Phase == PhaseAccepted || (r.Phase == PhaseClaimed && r.Idempotent))
		if movable && !alive(r.Owner) {
			out = append(out, Orphan{r.Key, r.Owner})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.less(out[j].Key) })
	return out
}

// CallCount returns the number of call records.
func (m *Machine) CallCount() int { return len(m.calls.records) }
