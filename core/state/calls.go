package state

import (
	"sort"
	"time"
)

// Phase is how far a recorded call has come.
type Phase uint8

// Phases of a recorded call.
const (
	// PhaseAccepted: recorded, not dispatched. It may move to another owner.
	PhaseAccepted Phase = iota + 1
	// PhaseClaimed: the owner may have dispatched it.
	PhaseClaimed
	// PhaseDone: Answer is final.
	PhaseDone
)

// CallRecord is what the group knows about one call.
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

// durable: the call came in by CommandAccept and must not be lost.
func (r *CallRecord) durable() bool { return r.Request != nil }

// view returns a copy for the proposer, without the request's body.
func (r *CallRecord) view() *CallRecord {
	out := *r
	out.Request = nil
	return &out
}

type callState struct {
	records map[CallKey]*CallRecord
	// byTime holds the keys roughly by their time, for pruning: bucket number
	// (minutes) to keys.
	byTime map[int64][]CallKey
	// prunedTo is the first bucket that may still hold keys.
	prunedTo int64
}

const bucketMillis = int64(time.Minute / time.Millisecond)

func newCallState() callState {
	return callState{records: map[CallKey]*CallRecord{}, byTime: map[int64][]CallKey{}}
}

func (s *callState) put(r *CallRecord) {
	s.records[r.Key] = r
	b := r.Key.Millis / bucketMillis
	s.byTime[b] = append(s.byTime[b], r.Key)
	if s.prunedTo == 0 || b < s.prunedTo {
		s.prunedTo = b
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

// prune forgets calls whose keys are refused by now. Open durable calls stay:
// they must not be lost.
func (s *callState) prune(now int64) {
	limit := (now - Retention.Milliseconds()) / bucketMillis
	for ; s.prunedTo != 0 && s.prunedTo < limit; s.prunedTo++ {
		var kept []CallKey
		for _, k := range s.byTime[s.prunedTo] {
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
		delete(s.byTime, s.prunedTo)
		if len(kept) > 0 {
			s.byTime[limit] = append(s.byTime[limit], kept...)
		}
	}
}

// expired reports whether a key is too old to be remembered or too far ahead.
func expired(k CallKey, now int64) bool {
	return k.Millis < now-Retention.Milliseconds() || k.Millis > now+MaxSkew.Milliseconds()
}

func (s *callState) apply(t CommandType, c *CallCommand, now int64) Result {
	r := s.records[c.Key]
	if r != nil && c.RequestDigest != "" && r.RequestDigest != c.RequestDigest {
		return Result{Code: CodeConflict, Message: "the idempotency key was used for another request", Record: r.view()}
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
		return Result{Code: CodeOK, Record: s.create(c, PhaseAccepted).view()}
	}
	if r.CallID == c.CallID && r.Phase != PhaseDone {
		return Result{Code: CodeOK, Record: r.view()}
	}
	return Result{Code: CodeExists, Record: r.view()}
}

func (s *callState) claim(r *CallRecord, c *CallCommand, now int64) Result {
	if r == nil && expired(c.Key, now) {
		return Result{Code: CodeExpired}
	}
	if r == nil {
		return Result{Code: CodeOK, Record: s.create(c, PhaseClaimed).view()}
	}
	if r.CallID == c.CallID && r.Phase != PhaseDone {
		r.Phase = PhaseClaimed
		return Result{Code: CodeOK, Record: r.view()}
	}
	return Result{Code: CodeExists, Record: r.view()}
}

func (s *callState) release(r *CallRecord, c *CallCommand) Result {
	if r == nil {
		return Result{Code: CodeOK}
	}
	if r.CallID != c.CallID || r.Phase != PhaseClaimed {
		return Result{Code: CodeStale, Record: r.view()}
	}
	if r.durable() {
		r.Phase = PhaseAccepted
		return Result{Code: CodeOK, Record: r.view()}
	}
	delete(s.records, c.Key)
	return Result{Code: CodeOK}
}

func (s *callState) finish(r *CallRecord, c *CallCommand) Result {
	if r == nil || r.CallID != c.CallID {
		return Result{Code: CodeStale}
	}
	if r.Phase == PhaseDone {
		return Result{Code: CodeOK, Record: r.view()}
	}
	r.Phase = PhaseDone
	r.Answer = c.Answer
	r.Request = nil
	return Result{Code: CodeOK, Record: r.view()}
}

// takeOver moves a durable call whose owner is gone. A claimed call that is
// not idempotent stays: it may have run.
func (s *callState) takeOver(r *CallRecord, c *CallCommand) Result {
	if r == nil || !r.durable() || r.Phase == PhaseDone {
		return Result{Code: CodeStale}
	}
	if r.CallID == c.CallID {
		return s.taken(r)
	}
	if r.Owner != c.PreviousOwner || (r.Phase == PhaseClaimed && !r.Idempotent) {
		return Result{Code: CodeStale, Record: r.view()}
	}
	r.Owner = c.Owner
	r.CallID = c.CallID
	r.Phase = PhaseAccepted
	return s.taken(r)
}

// taken answers with the whole record, which the new owner needs.
func (s *callState) taken(r *CallRecord) Result {
	out := *r
	return Result{Code: CodeOK, Record: &out}
}

// Call returns what is known about a call.
func (m *Machine) Call(k CallKey) (CallRecord, bool) {
	r, ok := m.calls.records[k]
	if !ok {
		return CallRecord{}, false
	}
	return *r.view(), true
}

// Orphan is an open durable call that another instance may take over.
type Orphan struct {
	Key   CallKey `msgpack:"k"`
	Owner string  `msgpack:"o"`
}

// Orphans lists open durable calls whose owner is not alive, oldest first.
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

// Calls returns the number of remembered calls.
func (m *Machine) Calls() int { return len(m.calls.records) }
