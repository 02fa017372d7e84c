package quarantine

import (
	"slices"
	"time"
)

// Ending says that a server ended while a run of a request was in flight there. A
// broken connection is none: there must be proof that the server's process is gone.
type Ending struct {
	Request Digest `msgpack:"d"`
	// Server is the start of the server that ended.
	Server string `msgpack:"s"`
	// KeepsID: the server has the same ID at all its starts.
	KeepsID bool `msgpack:"k,omitempty"`
	// Began and Ended are how long ago the run began and broke off, at the moment of
	// telling.
	Began time.Duration `msgpack:"b"`
	Ended time.Duration `msgpack:"e"`
	// Others are servers that broke off calls at the same time, as far as the instance
	// that tells this has seen; MostOthers at most.
	Others []string `msgpack:"o,omitempty"`
}

// Ends of many servers at the same time, as a power cut, a mass kill or a release
// gone wrong bring them, have a cause of their own.
const (
	// SameTime is how far apart ends at the same time may be: all connections of a
	// process break within milliseconds. Requests that end servers by themselves, some
	// each second, must not excuse each other.
	SameTime = 100 * time.Millisecond
	// MostOthers bounds the servers named in an ending: enough to tell a mass of ends,
	// though the request itself may account for some of them.
	MostOthers = 4
	// massOthers is the number of others from which an end is not held against a
	// request that did not run there.
	massOthers = 2
)

// Bounds of a judge's memory: a record takes 300 bytes, at most 6 KB.
const (
	mostRecords = 4096
	keptEnds    = 32
)

// Judge counts the servers that end under requests, and decides. All endings of a
// request go to the same judge, an instance that its digest picks.
//
// The load pattern it answers: a request ends each server that runs it and comes again,
// at any instance; with it end the runs of everybody else on these servers, dozens at
// a time, some of which are repeated too and meet the next end. What tells them apart
// is that the others succeed before they have met three ends one after the other, and
// that an end which a held request explains is not held against the others. Nor is an
// end among many at the same time, unless the request ran at these servers too; and
// then they count once: a power cut ends many servers under calls that are alike, such
// as health checks, which have one body for all.
//
// Not safe for concurrent use.
type Judge struct {
	register *Register
	records  map[Digest]*record
}

// record is what is known against a request.
type record struct {
	// prior counts the rounds behind a ruling that was there before the record.
	prior int
	// ends are all that were told, by their time.
	ends []end
	// suspected is when the request became suspicious; zero before.
	suspected time.Time
	// held: its rounds have led to a hold. Only a further end leads to the next one.
	held bool
	// served is when the latest run began that a server has answered, as far as known.
	served time.Time
	last   time.Time
}

// end is the end of a server under the request.
type end struct {
	server    string
	began, at time.Time
	others    []string
	// spent: it counts for nothing any more, and is kept to know it again.
	spent bool
}

// NewJudge returns a judge that puts its rulings into a register.
func NewJudge(r *Register) *Judge { return &Judge{register: r, records: map[Digest]*record{}} }

// Take takes an ending and returns the ruling to tell, if it led to one.
func (j *Judge) Take(now time.Time, e Ending) (Ruling, bool) {
	if j.register.Blamed(now, e.Server, e.Request) {
		return Ruling{}, false
	}
	if standing, known := j.register.Ruling(now, e.Request); known && standing.Standing == Held {
		return j.again(now, e)
	}
	rec := j.record(now, e.Request)
	x := end{server: e.Server, began: now.Add(-e.Began), at: now.Add(-e.Ended), others: e.Others[:min(len(e.Others), MostOthers)]}
	if rec.knows(&x, e.KeepsID) {
		return Ruling{}, false
	}
	rec.add(x)
	return j.decide(now, e.Request, rec)
}

// decide rules on a request by its record.
func (j *Judge) decide(now time.Time, request Digest, rec *record) (Ruling, bool) {
	rounds := rec.prior + rec.rounds()
	if rounds < roundsToSuspect {
		return Ruling{}, false
	}
	if rec.suspected.IsZero() {
		rec.suspected = now
	}
	if rounds >= rec.roundsNeeded() && now.Sub(rec.suspected) >= Deliberation {
		return j.rule(now, request, Held, rec.servers())
	}
	if standing, known := j.register.Ruling(now, request); known && standing.Standing == Suspected {
		return Ruling{}, false
	}
	return j.rule(now, request, Suspected, rec.servers())
}

// Review decides on the requests whose Deliberation is over; call it that long after
// endings were taken.
func (j *Judge) Review(now time.Time) []Ruling {
	var out []Ruling
	for request, rec := range j.records {
		if rec.held || rec.prior+rec.rounds() < rec.roundsNeeded() {
			continue
		}
		if x, tell := j.decide(now, request, rec); tell {
			out = append(out, x)
		}
	}
	return out
}

// again notes one more server that ended under a held request, by a run that had
// begun before: it explains that end for the others.
func (j *Judge) again(now time.Time, e Ending) (Ruling, bool) {
	d, added := j.register.addServer(e.Request, e.Server)
	if !added {
		return Ruling{}, false
	}
	j.explain(d.Ruling)
	return d.told(now), true
}

func (j *Judge) rule(now time.Time, request Digest, s Standing, servers []string) (Ruling, bool) {
	before, _ := j.register.Ruling(now, request)
	x := Ruling{Digest: request, Standing: s, Version: before.Version + 1, Holds: before.Holds, Servers: servers[max(0, len(servers)-mostServers):]}
	switch s {
	case Held:
		x.Holds++
		if rec := j.records[request]; rec != nil {
			rec.held = true
		}
	case Suspected:
		if before.Standing == Held { // lifted
			x.Holds--
		}
	case Cleared:
		x.Holds = 0
	}
	j.register.Take(now, x)
	j.explain(x)
	return x, true
}

// Took follows a ruling that came from another judge into the register.
func (j *Judge) Took(x Ruling) {
	switch x.Standing {
	case Cleared:
		delete(j.records, x.Digest)
	case Held:
		if rec := j.records[x.Digest]; rec != nil {
			rec.held = true
		}
		j.explain(x)
	}
}

// explain takes the ends of a held request's servers from what is known against other
// requests.
func (j *Judge) explain(x Ruling) {
	if x.Standing != Held {
		return
	}
	for digest, rec := range j.records {
		if digest != x.Digest {
			rec.spend(func(e *end) bool { return slices.Contains(x.Servers, e.server) })
		}
	}
}

// Succeeded notes that a server has answered a run that began at a time: what is known
// from before it says nothing any more. The ruling is to be told if that clears the
// request.
func (j *Judge) Succeeded(now time.Time, request Digest, began time.Time) (Ruling, bool) {
	standing, known := j.register.Ruling(now, request)
	if rec := j.records[request]; rec != nil {
		rec.prior = 0
		if began.After(rec.served) {
			rec.served = began
		}
		rec.spend(func(e *end) bool { return e.at.Before(began) })
		if rec.rounds() >= roundsToSuspect {
			return j.lift(now, request, rec)
		}
		rec.suspected = time.Time{}
	} else if known && began.Before(now.Add(-standing.Age)) {
		return Ruling{}, false // it may have begun before the ends
	}
	if !known || standing.Standing == Cleared {
		return Ruling{}, false
	}
	return j.rule(now, request, Cleared, nil)
}

// lift ends a hold that word of a success, late, shows to be too early. The request stays
// suspected.
func (j *Judge) lift(now time.Time, request Digest, rec *record) (Ruling, bool) {
	standing, known := j.register.Ruling(now, request)
	if !known || standing.Standing != Held || !rec.held || rec.rounds() >= rec.roundsNeeded() {
		return Ruling{}, false
	}
	rec.held = false
	return j.rule(now, request, Suspected, rec.servers())
}

// Forget drops what is known against requests that no server has ended under lately.
func (j *Judge) Forget(now time.Time) {
	for digest, rec := range j.records {
		if now.Sub(rec.last) >= memoryTime {
			delete(j.records, digest)
		}
	}
}

func (j *Judge) record(now time.Time, request Digest) *record {
	rec := j.records[request]
	if rec == nil {
		if len(j.records) >= mostRecords {
			j.dropOne()
		}
		rec = &record{}
		if standing, known := j.register.Ruling(now, request); known && standing.Standing == Suspected {
			rec.prior = roundsToHold - 1 // by another judge, or before a hold that is over
			rec.suspected = now.Add(-standing.Age)
		}
		j.records[request] = rec
	}
	rec.last = now
	return rec
}

// dropOne makes room: what has the fewest ends goes first, then the oldest.
func (j *Judge) dropOne() {
	var least Digest
	var worst *record
	for digest, rec := range j.records {
		if worst == nil || len(rec.ends) < len(worst.ends) || len(rec.ends) == len(worst.ends) && rec.last.Before(worst.last) {
			least, worst = digest, rec
		}
	}
	delete(j.records, least)
}

// knows reports whether an end was told before. Where servers keep their IDs over their
// starts, a run that began after an end belongs to another start.
func (r *record) knows(x *end, keepsID bool) bool {
	return slices.ContainsFunc(r.ends, func(e end) bool { return e.server == x.server && !(keepsID && x.began.After(e.at)) })
}

// servers names those that ended, the newest last.
func (r *record) servers() []string {
	var out []string
	for _, e := range r.ends {
		out = append(out, e.server)
	}
	return out
}

// add puts an end into its place: proof comes late and in any order.
func (r *record) add(x end) {
	if r.held {
		r.held, r.prior = false, roundsToHold-1
		r.spend(func(*end) bool { return true })
	}
	at, _ := slices.BinarySearchFunc(r.ends, x, func(a, b end) int { return a.at.Compare(b.at) })
	r.ends = slices.Insert(r.ends, at, x)
	if len(r.ends) > keptEnds {
		r.dropEnd()
	}
}

// dropEnd makes room: first goes the oldest end that makes no round of its own, so that
// many copies of a request, which end servers at the same time, don't push out the rounds
// before.
func (r *record) dropEnd() {
	rounds := r.roundEnds()
	for i := range r.ends {
		if !slices.Contains(rounds, i) {
			r.ends = slices.Delete(r.ends, i, i+1)
			return
		}
	}
	r.ends = slices.Delete(r.ends, 0, 1)
}

// spend takes the weight from ends.
func (r *record) spend(which func(*end) bool) {
	for i := range r.ends {
		if which(&r.ends[i]) {
			r.ends[i].spent = true
		}
	}
}

// rounds counts the ends one after the other.
func (r *record) rounds() int { return len(r.roundEnds()) }

// roundEnds returns the places of the ends one after the other: each by a run that began
// after the end before it.
func (r *record) roundEnds() []int {
	var out []int
	var last time.Time
	for i := range r.ends {
		e := &r.ends[i]
		if !e.spent && e.began.After(last) && !r.amongMany(e) {
			out = append(out, i)
			last = e.at
		}
	}
	return out
}

// roundsNeeded is how many rounds lead to a hold.
func (r *record) roundsNeeded() int {
	first := slices.IndexFunc(r.ends, func(e end) bool { return !e.spent })
	if first >= 0 && !r.served.IsZero() && r.ends[first].at.Sub(r.served) < servedTime {
		return roundsToHoldServed
	}
	return roundsToHold
}

// amongMany reports whether so many other servers ended at the same time, without the
// request, that the end says nothing about it.
func (r *record) amongMany(e *end) bool {
	others := 0
	for _, server := range e.others {
		if !slices.ContainsFunc(r.ends, func(x end) bool { return x.server == server }) {
			others++
		}
	}
	return others >= massOthers
}
