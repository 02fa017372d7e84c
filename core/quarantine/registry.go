package quarantine

import (
	"slices"
	"sort"
	"time"
)

// maxDecisions bounds a registry: 200 bytes each, under 128 KB together.
const maxDecisions = 512

// Registry holds the decisions known to an instance. Not safe for concurrent use.
type Registry struct {
	decisions map[Digest]*datedDecision
	// next is the position from which NextToSend continues.
	next int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{decisions: map[Digest]*datedDecision{}} }

// Len returns the number of decisions.
func (r *Registry) Len() int { return len(r.decisions) }

// Held returns the number of held requests.
func (r *Registry) Held(now time.Time) int {
	n := 0
	for _, d := range r.decisions {
		if x := d.atTime(now); x.Remaining() > 0 {
			n++
		}
	}
	return n
}

// Decision returns the decision on a request as of now; false without one. After the end
// of a hold the request is suspected.
func (r *Registry) Decision(now time.Time, request Digest) (Decision, bool) {
	d := r.decisions[request]
	if d == nil || d.expired(now) {
		return Decision{}, false
	}
	out := d.atTime(now)
	if out.Status == Held && out.Remaining() == 0 {
		out.Status = Suspected
	}
	return out, true
}

// Merge stores a received decision and reports whether it contains anything new.
func (r *Registry) Merge(now time.Time, x Decision) bool {
	at := now.Add(-max(0, x.Age))
	old := r.decisions[x.Digest]
	switch {
	case old != nil && x.Version < old.Version:
		return false
	case old != nil && x.Version == old.Version:
		return r.mergeSameVersion(old, x, at)
	}
	if old == nil && len(r.decisions) >= maxDecisions {
		r.evict()
	}
	d := &datedDecision{Decision: x, at: at}
	d.Servers = nil
	d.addServers(x.Servers)
	if d.expired(now) {
		return false
	}
	r.decisions[x.Digest] = d
	return true
}

// mergeSameVersion merges two decisions of one version, which two instances may make at
// the same time. The earlier time is kept; otherwise each exchange would postpone it.
func (r *Registry) mergeSameVersion(old *datedDecision, x Decision, at time.Time) bool {
	changed := old.addServers(x.Servers)
	if old.Part == nil {
		old.Part = x.Part // instances of earlier builds pass decisions on without it
	}
	if x.Status > old.Status {
		old.Status, old.at = x.Status, at
		return true
	}
	if x.Status == old.Status && at.Before(old.at) {
		old.at = at
	}
	return changed
}

// evict removes the oldest decision, those without a hold first. A client needs three
// server crashes to fill each entry of the registry.
func (r *Registry) evict() {
	var worst *datedDecision
	for _, d := range r.decisions {
		if worst == nil || evictedBefore(d, worst) {
			worst = d
		}
	}
	delete(r.decisions, worst.Digest)
}

func evictedBefore(a, b *datedDecision) bool {
	if (a.Status == Held) != (b.Status == Held) {
		return b.Status == Held
	}
	return a.at.Before(b.at)
}

// addServer adds a server that crashed while it ran a request with a decision, and
// reports whether it is new.
func (r *Registry) addServer(request Digest, server string) (*datedDecision, bool) {
	d := r.decisions[request]
	return d, d.addServers([]string{server})
}

// wasHeld reports whether the latest decision was a hold, even if it has expired.
func (r *Registry) wasHeld(digest Digest) bool {
	d := r.decisions[digest]
	return d != nil && d.Status == Held
}

// NeedsTrial reports whether a hold has expired, and for how long, and no run has shown since that
// it can be lifted.
func (r *Registry) NeedsTrial(now time.Time, digest Digest) (overdue time.Duration, needed bool) {
	d := r.decisions[digest]
	if d == nil || d.Status != Held || d.expired(now) {
		return 0, false
	}
	x := d.atTime(now)
	return x.Age - x.holdTime(), x.Remaining() == 0
}

// AttributedToOther reports whether the crash of a server is attributed to a held
// request or part other than the given one.
func (r *Registry) AttributedToOther(now time.Time, server string, request Digest, part *Part) bool {
	for digest, d := range r.decisions {
		if digest != request && !part.isSameContent(d.Part) && d.Status == Held && now.Sub(d.at) < attributionTime && slices.Contains(d.Servers, server) {
			return true
		}
	}
	return false
}

// Expire removes expired decisions.
func (r *Registry) Expire(now time.Time) {
	for digest, d := range r.decisions {
		if d.expired(now) {
			delete(r.decisions, digest)
		}
	}
}

// maxSent bounds the decisions that are sent in one message: 30 to 200 bytes each.
const maxSent = 8

// NextToSend returns the next few decisions in rotation, for instances that may have
// missed them.
func (r *Registry) NextToSend(now time.Time) []Decision {
	digests := make([]Digest, 0, len(r.decisions))
	for d := range r.decisions {
		digests = append(digests, d)
	}
	sort.Slice(digests, func(i, j int) bool { return string(digests[i][:]) < string(digests[j][:]) })
	var out []Decision
	for range min(maxSent, len(digests)) {
		out = append(out, r.decisions[digests[r.next%len(digests)]].forSending(now))
		r.next++
	}
	return out
}
