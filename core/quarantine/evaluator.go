package quarantine

import (
	"slices"
	"time"
)

// CrashReport reports that a server process terminated while it ran a request. A broken
// connection alone is not reported: the termination of the process must be confirmed.
type CrashReport struct {
	Request Digest `msgpack:"d"`
	// Server identifies the start (one process lifetime) of the server that crashed.
	Server string `msgpack:"s"`
	// KeepsID is set when the server has the same ID after every restart.
	KeepsID bool `msgpack:"k,omitempty"`
	// Began and Ended are the ages of the start and of the break of the run when the
	// report is sent.
	Began time.Duration `msgpack:"b"`
	Ended time.Duration `msgpack:"e"`
	// Others lists other servers whose calls broke off at the same time, as seen by the
	// reporting instance; at most MaxOthers.
	Others []string `msgpack:"o,omitempty"`
	// Part is set if the report is on a part of prompts; Request is its digest then.
	Part *PartCrash `msgpack:"p,omitempty"`
}

// part returns the part that the report is on, nil for a request.
func (e *CrashReport) part() *Part {
	if e.Part == nil {
		return nil
	}
	return &e.Part.Part
}

// Simultaneous crashes of many servers, such as after a power cut, a mass kill or a
// faulty release, are attributed to a common cause and not to a request.
const (
	// SimultaneousWindow is the largest time between crashes that count as simultaneous.
	// All connections of a process break within milliseconds. A longer window would let
	// unrelated crashing requests, of which some arrive each second, excuse each other.
	SimultaneousWindow = 100 * time.Millisecond
	// MaxOthers bounds the servers listed in a crash report. It is large enough to
	// detect a mass crash even if the request itself ran at some of the servers.
	MaxOthers = 4
	// massCrashThreshold is the number of other servers that must crash at the same
	// time, without having run the request, for a crash not to count against it.
	massCrashThreshold = 2
)

// Runs that end without an answer and without a crash show less than an answer: a server that fails
// may not have read the request.
const (
	// maxSurvivals is the most such runs, for each reported round, with which a request or
	// part is held.
	maxSurvivals = 1
	// SurvivalWindow is the time in which they count.
	SurvivalWindow = 10 * time.Second
)

// Bounds of an evaluator's memory: a record takes 300 bytes, at most 6 KB.
const (
	maxRecords          = 4096
	maxCrashesPerRecord = 32
)

// Evaluator counts server crashes per request and decides which requests to hold. All
// crash reports for a request go to the same evaluator, on an instance selected by the
// request's digest.
//
// A crashing request crashes each server that runs it and is sent again through any
// instance. Each crash also breaks dozens of unrelated runs, some of which are retried
// and hit by the next crash. Unrelated requests are distinguished by two rules: they
// succeed before three consecutive crashes, and a crash that is attributed to a held
// request does not count against others. A crash among many simultaneous ones does not
// count either, unless the request ran at those servers too. In that case the crashes
// count once: a power cut stops many servers that run identical calls, such as health
// checks with one common body.
//
// Not safe for concurrent use.
type Evaluator struct {
	registry *Registry
	records  map[Digest]*record
}

// record is the evidence against a request or a part of prompts.
type record struct {
	// part is nil for a request; position is its last known position in a prompt.
	part     *Part
	position int
	// survivals is the number of runs that ended without an answer and without a crash,
	// reported since the suspicion.
	survivals int
	// prior counts the rounds that led to a decision made before the record existed.
	prior int
	// crashes holds all reported crashes, ordered by time.
	crashes []crash
	// suspected is when the request became suspected; zero before.
	suspected time.Time
	// held is set when the recorded rounds have led to a hold. Only a further crash
	// leads to the next hold.
	held bool
	// lastSuccess is the latest known start of a run that a server has answered.
	lastSuccess time.Time
	last        time.Time
}

// crash is the crash of a server while it ran the request.
type crash struct {
	server    string
	began, at time.Time
	others    []string
	// requests and customers list whose runs shared the part, if the record is on one.
	requests  []Digest
	customers []string
	// discounted crashes do not count any more. They are kept to detect duplicate
	// reports.
	discounted bool
}

// NewEvaluator returns an evaluator that stores its decisions in a registry.
func NewEvaluator(r *Registry) *Evaluator {
	return &Evaluator{registry: r, records: map[Digest]*record{}}
}

// Report processes a crash report and returns the decision to publish, if one was made.
func (ev *Evaluator) Report(now time.Time, e CrashReport) (Decision, bool) {
	if ev.registry.AttributedToOther(now, e.Server, e.Request, e.part()) {
		return Decision{}, false
	}
	if current, known := ev.registry.Decision(now, e.Request); known && current.Status == Held {
		return ev.reportHeld(now, e)
	}
	rec := ev.record(now, e.Request)
	x := crash{server: e.Server, began: now.Add(-e.Began), at: now.Add(-e.Ended), others: e.Others[:min(len(e.Others), MaxOthers)]}
	if e.Part != nil {
		rec.part, rec.position = &e.Part.Part, e.Part.Position
		x.requests, x.customers = e.Part.Requests[:min(len(e.Part.Requests), maxWitnesses)], e.Part.Customers[:min(len(e.Part.Customers), maxWitnesses)]
	}
	if known := rec.find(&x, e.KeepsID); known != nil {
		if e.Part == nil {
			return Decision{}, false
		}
		known.addPartCrash(&x)
	} else {
		rec.add(x)
	}
	return ev.decide(now, e.Request, rec)
}

// decide makes a decision on a request from its record.
func (ev *Evaluator) decide(now time.Time, request Digest, rec *record) (Decision, bool) {
	rounds := rec.prior + rec.rounds()
	if rounds < roundsToSuspect {
		return Decision{}, false
	}
	first := rec.suspected.IsZero()
	if first {
		rec.suspected, rec.survivals = now, 0
	}
	// Parts are held in reviews, which compare those that explain the same crashes.
	if rec.part == nil && rec.hasEnoughRounds() && now.Sub(rec.suspected) >= DecisionDelay {
		return ev.apply(now, request, Held, rec.servers())
	}
	// Another evaluator's suspicion is repeated: the instances' reports went to that one.
	if current, known := ev.registry.Decision(now, request); known && current.Status == Suspected && !first {
		return Decision{}, false
	}
	return ev.apply(now, request, Suspected, rec.servers())
}

// Review makes the decisions that were deferred by DecisionDelay or PartDecisionDelay. Call it
// this long after each batch of crash reports.
func (ev *Evaluator) Review(now time.Time) []Decision {
	var out []Decision
	for request, rec := range ev.records {
		if rec.part != nil || rec.held || !rec.hasEnoughRounds() {
			continue
		}
		if x, publish := ev.decide(now, request, rec); publish {
			out = append(out, x)
		}
	}
	return append(out, ev.reviewParts(now)...)
}

// reportHeld records a crash during a run of a request that is already held; the run had
// started before the hold. The crash is then not counted against other requests.
func (ev *Evaluator) reportHeld(now time.Time, e CrashReport) (Decision, bool) {
	if x, ended := ev.endTrial(now, &e); ended {
		return x, true
	}
	d, added := ev.registry.addServer(e.Request, e.Server)
	if !added {
		return Decision{}, false
	}
	ev.discountAttributed(d.Decision)
	return d.forSending(now), true
}

func (ev *Evaluator) apply(now time.Time, request Digest, s Status, servers []string) (Decision, bool) {
	before, _ := ev.registry.Decision(now, request)
	x := Decision{Digest: request, Status: s, Version: before.Version + 1, Holds: before.Holds, Servers: servers[max(0, len(servers)-maxServers):], Part: before.Part, Served: before.Served}
	rec := ev.records[request]
	if rec != nil && rec.part != nil {
		x.Part, x.Served = rec.part, rec.recentlyServed()
	}
	switch s {
	case Held:
		x.Holds++
		if rec != nil {
			rec.held = true
		}
	case Suspected:
		if before.Status == Held { // the hold was lifted
			x.Holds--
		}
	case Cleared:
		x.Holds = 0
		if rec != nil {
			rec.held, rec.prior = false, 0
		}
	}
	x.LiftsHold = s != Held && ev.registry.wasHeld(request)
	ev.registry.Merge(now, x)
	ev.discountAttributed(x)
	return x, true
}

// Observe applies a decision of another evaluator that was merged into the registry.
func (ev *Evaluator) Observe(x Decision) {
	switch x.Status {
	case Cleared:
		delete(ev.records, x.Digest)
	case Held:
		if rec := ev.records[x.Digest]; rec != nil {
			rec.held = true
		}
		ev.discountAttributed(x)
	}
}

// discountAttributed discounts the crashes of a held request's servers in the records of
// all other requests.
func (ev *Evaluator) discountAttributed(x Decision) {
	if x.Status != Held {
		return
	}
	for digest, rec := range ev.records {
		if digest != x.Digest && !rec.part.isSameContent(x.Part) {
			rec.discount(func(e *crash) bool { return slices.Contains(x.Servers, e.server) })
		}
	}
}

// RecordSuccess records that a server has answered a run that began at the given time.
// Earlier evidence is discounted. The returned decision is to be published if the
// request is cleared or its hold is lifted.
func (ev *Evaluator) RecordSuccess(now time.Time, request Digest, began time.Time) (Decision, bool) {
	current, known := ev.registry.Decision(now, request)
	if rec := ev.records[request]; rec != nil {
		rec.prior = 0
		if began.After(rec.lastSuccess) {
			rec.lastSuccess = began
		}
		rec.discount(func(e *crash) bool { return e.at.Before(began) })
		if rec.rounds() >= roundsToSuspect {
			return ev.lift(now, request, rec)
		}
		rec.suspected = time.Time{}
	} else if known && began.Before(now.Add(-current.Age)) {
		return Decision{}, false // the run may have begun before the crashes
	}
	if !known || current.Status == Cleared {
		return Decision{}, false
	}
	return ev.apply(now, request, Cleared, nil)
}

// lift ends a hold that a late report of a success shows to be premature. The request
// stays suspected.
func (ev *Evaluator) lift(now time.Time, request Digest, rec *record) (Decision, bool) {
	current, known := ev.registry.Decision(now, request)
	if !known || current.Status != Held || !rec.held || rec.rounds() >= rec.requiredRounds() {
		return Decision{}, false
	}
	rec.held = false
	return ev.apply(now, request, Suspected, rec.servers())
}

// Expire removes the records of requests without a recent crash.
func (ev *Evaluator) Expire(now time.Time) {
	for digest, rec := range ev.records {
		if now.Sub(rec.last) >= retention {
			delete(ev.records, digest)
		}
	}
}

func (ev *Evaluator) record(now time.Time, request Digest) *record {
	rec := ev.records[request]
	if rec == nil {
		if len(ev.records) >= maxRecords {
			ev.evictRecord()
		}
		rec = &record{}
		if current, known := ev.registry.Decision(now, request); known && current.Status == Suspected {
			rec.prior = roundsToHold - 1 // decided by another evaluator, or before an expired hold
		}
		ev.records[request] = rec
	}
	rec.last = now
	return rec
}

// evictRecord removes the record with the fewest crashes, the oldest of these first.
func (ev *Evaluator) evictRecord() {
	var least Digest
	var worst *record
	for digest, rec := range ev.records {
		if worst == nil || len(rec.crashes) < len(worst.crashes) || len(rec.crashes) == len(worst.crashes) && rec.last.Before(worst.last) {
			least, worst = digest, rec
		}
	}
	delete(ev.records, least)
}

// find returns the crash if it was reported before, otherwise nil. If the server keeps its ID
// over restarts, a run that began after the recorded crash belongs to a later start.
func (r *record) find(x *crash, keepsID bool) *crash {
	i := slices.IndexFunc(r.crashes, func(e crash) bool { return e.server == x.server && !(keepsID && x.began.After(e.at)) })
	if i < 0 {
		return nil
	}
	return &r.crashes[i]
}

// servers returns the servers that crashed, the latest last.
func (r *record) servers() []string {
	var out []string
	for _, e := range r.crashes {
		out = append(out, e.server)
	}
	return out
}

// add inserts a crash in time order: confirmations arrive late and in any order.
func (r *record) add(x crash) {
	if r.held {
		r.held, r.prior = false, roundsToHold-1
		r.discount(func(*crash) bool { return true })
	}
	at, _ := slices.BinarySearchFunc(r.crashes, x, func(a, b crash) int { return a.at.Compare(b.at) })
	r.crashes = slices.Insert(r.crashes, at, x)
	if len(r.crashes) > maxCrashesPerRecord {
		r.evictCrash()
	}
}

// evictCrash removes the oldest crash that is not counted as a round. Otherwise, many
// simultaneous copies of a request would evict the earlier rounds.
func (r *record) evictCrash() {
	rounds := r.roundIndexes()
	for i := range r.crashes {
		if !slices.Contains(rounds, i) {
			r.crashes = slices.Delete(r.crashes, i, i+1)
			return
		}
	}
	r.crashes = slices.Delete(r.crashes, 0, 1)
}

// discount marks the matching crashes as discounted.
func (r *record) discount(match func(*crash) bool) {
	for i := range r.crashes {
		if match(&r.crashes[i]) {
			r.crashes[i].discounted = true
		}
	}
}

// rounds returns the number of rounds (see roundsToHold).
func (r *record) rounds() int { return len(r.roundIndexes()) }

// roundIndexes returns the indexes of the crashes counted as rounds: each run began
// after the previous crash of the list. There are none for a part in the calls of all customers
// while one customer explains all of them.
func (r *record) roundIndexes() []int {
	rounds := r.consecutiveCrashes()
	if r.isExplainedByCustomer(rounds) {
		return nil
	}
	return rounds
}

func (r *record) consecutiveCrashes() []int {
	var out []int
	var last time.Time
	for i := range r.crashes {
		e := &r.crashes[i]
		if !e.discounted && e.began.After(last) && !r.isMassCrash(e) {
			out = append(out, i)
			last = e.at
		}
	}
	return out
}

// requiredRounds returns how many rounds lead to a hold.
func (r *record) requiredRounds() int {
	switch served := r.recentlyServed(); {
	case r.part != nil && served:
		return partRoundsToHoldServed
	case r.part != nil:
		return partRoundsToHold
	case served:
		return roundsToHoldServed
	}
	return roundsToHold
}

// hasEnoughRounds reports whether the rounds lead to a hold.
func (r *record) hasEnoughRounds() bool {
	rounds := r.rounds()
	return r.prior+rounds >= r.requiredRounds() && r.survivals <= maxSurvivals*rounds
}

// RecordSurvivals records how many runs of a suspected request or part have ended at an instance
// without an answer and without a crash within SurvivalWindow.
func (ev *Evaluator) RecordSurvivals(digest Digest, runs int) {
	if rec := ev.records[digest]; rec != nil {
		rec.survivals += runs
	}
}

// recentlyServed reports whether there was a success shortly before the first crash.
func (r *record) recentlyServed() bool {
	first := slices.IndexFunc(r.crashes, func(e crash) bool { return !e.discounted })
	return first >= 0 && !r.lastSuccess.IsZero() && r.crashes[first].at.Sub(r.lastSuccess) < recentSuccess
}

// isMassCrash reports whether so many other servers crashed at the same time without
// running the request that the crash is no evidence against it.
func (r *record) isMassCrash(e *crash) bool {
	others := 0
	for _, server := range e.others {
		if !slices.ContainsFunc(r.crashes, func(x crash) bool { return x.server == server }) {
			others++
		}
	}
	return others >= massCrashThreshold
}
