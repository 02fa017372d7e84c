package quarantine

import (
	"encoding/hex"
	"slices"
	"time"

	"cardamomwick.example/core/fieldhash"
)

// Limits for prompt parts.
const (
	// partRoundsToHold is the number of rounds after which a part is held. A crash counts
	// against the parts of runs whose answer had not begun. Of 12 servers of which one
	// crashes each second, with 30 calls a second that share a part and 100 ms until an
	// answer begins, one crash in four meets such a call, but an answer on the part begins
	// somewhere before the next crash.
	partRoundsToHold = 3
	// partRoundsToHoldServed replaces partRoundsToHold for a part on which an answer was
	// begun within recentSuccess before its first crash.
	partRoundsToHoldServed = 5
	// PartDecisionDelay is the minimum time between the suspicion of a part and its hold. It
	// exceeds DecisionDelay, so that a request that alone explains the crashes is held first,
	// and SuccessSpread.
	PartDecisionDelay = 250 * time.Millisecond
	// SuccessSpread is the time over which the instances spread their reports of answers
	// begun on a suspected part.
	SuccessSpread = 100 * time.Millisecond
	// initialServedPartHold replaces InitialHold for a part that was answered lately: while no
	// server answers anything, such a part is held by mistake.
	initialServedPartHold = 5 * time.Second
	// trialTime is how long a trial keeps other calls back. It covers the confirmation of a
	// crash. A trial that shows nothing is followed by another one then.
	trialTime = 10 * time.Second
	// dominance is how many times as many rounds as a part later in the prompt an earlier one
	// must have to be held first.
	dominance = 2
	// maxWitnesses bounds the requests and the customers listed for a crash.
	maxWitnesses = 4
)

// Part identifies a part of prompts, in the calls of one customer or of all.
type Part struct {
	Pool string `msgpack:"p"`
	// ID is the part's ID in the calls' headers, or the hash of a long one.
	ID string `msgpack:"i"`
	// Customer restricts the part to a customer's calls, so that a customer can't have
	// another one's calls held; "" for the calls of all.
	Customer string `msgpack:"c,omitempty"`
}

// maxPartID bounds the ID of a part in bytes. Callers choose these IDs.
const maxPartID = 64

// NewPart returns the part with the given ID in the calls' headers. Long IDs are replaced by their
// hashes.
func NewPart(pool, id, customer string) Part {
	if len(id) > maxPartID {
		sum := fieldhash.Sum([]string{id}, nil)
		id = hex.EncodeToString(sum[:])
	}
	return Part{Pool: pool, ID: id, Customer: customer}
}

// Digest identifies the part among requests and parts.
func (p *Part) Digest() Digest {
	return fieldhash.Sum([]string{"prompt part", p.Pool, p.ID, p.Customer, ""}, nil)
}

// Group identifies the pool, whose parts are all evaluated by the same instances.
func (p *Part) Group() Digest { return fieldhash.Sum([]string{"pool", p.Pool}, nil) }

// isSameContent reports whether two parts differ at most in the customers they cover.
func (p *Part) isSameContent(other *Part) bool {
	return p != nil && other != nil && p.Pool == other.Pool && p.ID == other.ID
}

// PartCrash extends a CrashReport to a part of the prompts of the runs that a crash interrupted.
type PartCrash struct {
	Part Part `msgpack:"p"`
	// Position is the part's position in the prompt.
	Position int `msgpack:"n,omitempty"`
	// Requests and Customers list whose runs shared the part, at most maxWitnesses each.
	Requests  []Digest `msgpack:"r,omitempty"`
	Customers []string `msgpack:"c,omitempty"`
}

// AddWitness adds the request and the customer of a run that shared the part.
func (p *PartCrash) AddWitness(request Digest, customer string) {
	p.Requests = addWitness(p.Requests, request)
	p.Customers = addWitness(p.Customers, customer)
}

func addWitness[T comparable](list []T, x T) []T {
	if len(list) >= maxWitnesses || slices.Contains(list, x) {
		return list
	}
	return append(list, x)
}

// addPartCrash merges what another instance reports of a crash into a recorded one.
func (x *crash) addPartCrash(y *crash) {
	for _, r := range y.requests {
		x.requests = addWitness(x.requests, r)
	}
	for _, c := range y.customers {
		x.customers = addWitness(x.customers, c)
	}
	if y.began.After(x.began) {
		x.began = y.began
	}
}

// isExplainedByCustomer reports whether the crashes of a part in the calls of all customers could
// be due to the calls of one of them.
func (r *record) isExplainedByCustomer(rounds []int) bool {
	if r.part == nil || r.part.Customer != "" {
		return false
	}
	return inAll(r.crashes, rounds, func(x *crash) []string { return x.customers }, func(c string) bool { return c != "" })
}

// isExplainedByRequest reports whether the crashes of a part could be due to one request.
func (r *record) isExplainedByRequest(rounds []int) bool {
	return r.prior == 0 && inAll(r.crashes, rounds, func(x *crash) []Digest { return x.requests }, func(Digest) bool { return true })
}

// inAll reports whether a suitable witness is listed for all of the crashes.
func inAll[T comparable](crashes []crash, indexes []int, witnesses func(*crash) []T, suits func(T) bool) bool {
	if len(indexes) == 0 {
		return false
	}
	return slices.ContainsFunc(witnesses(&crashes[indexes[0]]), func(w T) bool {
		return suits(w) && !slices.ContainsFunc(indexes[1:], func(i int) bool { return !slices.Contains(witnesses(&crashes[i]), w) })
	})
}

// explainsBetter orders the parts that explain the same crashes: those on which no answer was begun
// lately come first, then those with far more crashes, and then those later in the prompt, which
// fewer calls share.
func (r *record) explainsBetter(other *record, digest, otherDigest Digest) bool {
	if a, b := r.recentlyServed(), other.recentlyServed(); a != b {
		return b
	}
	switch a, b := r.prior+r.rounds(), other.prior+other.rounds(); {
	case a > dominance*b:
		return true
	case b > dominance*a:
		return false
	}
	if r.position != other.position {
		return r.position > other.position
	}
	if a, b := r.part.Customer == "", other.part.Customer == ""; a != b {
		return a
	}
	return string(digest[:]) < string(otherDigest[:])
}

// bestPart returns the part that is to be held next, if any.
func (ev *Evaluator) bestPart(now time.Time) (Digest, *record) {
	var digest Digest
	var best *record
	for d, rec := range ev.records {
		if rec.part != nil && rec.isDue(now) && (best == nil || rec.explainsBetter(best, d, digest)) {
			digest, best = d, rec
		}
	}
	return digest, best
}

// isDue reports whether a part is to be held if no other one explains its crashes better.
func (r *record) isDue(now time.Time) bool {
	if r.held || r.suspected.IsZero() || now.Sub(r.suspected) < PartDecisionDelay {
		return false
	}
	return r.hasEnoughRounds() && !r.isExplainedByRequest(r.roundIndexes())
}

// reviewParts holds the parts that explain recent crashes best, one after the other: each hold
// explains its crashes, which then no longer count against other parts.
func (ev *Evaluator) reviewParts(now time.Time) []Decision {
	var out []Decision
	for {
		digest, rec := ev.bestPart(now)
		if rec == nil {
			return out
		}
		x, _ := ev.apply(now, digest, Held, rec.servers())
		out = append(out, x)
	}
}

// Trial lets one run of a request or part proceed after its hold has expired, and keeps back all
// others for trialTime. A success of the run clears the hold, another crash starts the next one. The
// returned decision is to be published.
func (ev *Evaluator) Trial(now time.Time, digest Digest) (Decision, bool) {
	if _, needed := ev.registry.NeedsTrial(now, digest); !needed {
		return Decision{}, false
	}
	current, _ := ev.registry.Decision(now, digest)
	x := current
	x.Status, x.Version, x.Age, x.Trial = Held, current.Version+1, 0, true
	ev.registry.Merge(now, x)
	return x, true
}

// endTrial starts the next hold if a crash interrupted a run that began after the grant of a trial.
func (ev *Evaluator) endTrial(now time.Time, e *CrashReport) (Decision, bool) {
	current, known := ev.registry.Decision(now, e.Request)
	if !known || !current.Trial || e.Began > current.Age {
		return Decision{}, false
	}
	return ev.apply(now, e.Request, Held, slices.Concat(current.Servers, []string{e.Server}))
}
