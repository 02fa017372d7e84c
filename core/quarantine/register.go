package quarantine

import (
	"slices"
	"sort"
	"time"
)

// mostRulings bounds a register: 200 bytes each, under 128 KB together.
const mostRulings = 512

// Register holds the rulings that an instance knows. Not safe for concurrent use.
type Register struct {
	rulings map[Digest]*decided
	// turn walks over the rulings that are told again.
	turn int
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{rulings: map[Digest]*decided{}} }

// Len is how many rulings there are.
func (r *Register) Len() int { return len(r.rulings) }

// Held returns how many requests are held.
func (r *Register) Held(now time.Time) int {
	n := 0
	for _, d := range r.rulings {
		if x := d.aged(now); x.Left() > 0 {
			n++
		}
	}
	return n
}

// Ruling returns the ruling on a request as it stands now; false without one. A hold
// that is over leaves a suspicion.
func (r *Register) Ruling(now time.Time, request Digest) (Ruling, bool) {
	d := r.rulings[request]
	if d == nil || d.over(now) {
		return Ruling{}, false
	}
	out := d.aged(now)
	if out.Standing == Held && out.Left() == 0 {
		out.Standing = Suspected
	}
	return out, true
}

// Take takes a ruling and reports whether it says something new.
func (r *Register) Take(now time.Time, x Ruling) bool {
	at := now.Add(-max(0, x.Age))
	old := r.rulings[x.Digest]
	switch {
	case old != nil && x.Version < old.Version:
		return false
	case old != nil && x.Version == old.Version:
		return r.merge(old, x, at)
	}
	if old == nil && len(r.rulings) >= mostRulings {
		r.dropOne()
	}
	d := &decided{Ruling: x, at: at}
	d.Servers = nil
	d.addServers(x.Servers)
	if d.over(now) {
		return false
	}
	r.rulings[x.Digest] = d
	return true
}

// merge joins two rulings of one version, as two instances may have decided at the
// same time. The earlier time stays, or else it would move on with each telling.
func (r *Register) merge(old *decided, x Ruling, at time.Time) bool {
	changed := old.addServers(x.Servers)
	if x.Standing > old.Standing {
		old.Standing, old.at = x.Standing, at
		return true
	}
	if x.Standing == old.Standing && at.Before(old.at) {
		old.at = at
	}
	return changed
}

// dropOne makes room: requests that are not held go first, then the oldest. Who fills
// the register has ended three servers for each of its places.
func (r *Register) dropOne() {
	var worst *decided
	for _, d := range r.rulings {
		if worst == nil || before(d, worst) {
			worst = d
		}
	}
	delete(r.rulings, worst.Digest)
}

func before(a, b *decided) bool {
	if (a.Standing == Held) != (b.Standing == Held) {
		return b.Standing == Held
	}
	return a.at.Before(b.at)
}

// addServer notes one more server that ended under a request with a ruling, and reports
// whether it is new.
func (r *Register) addServer(request Digest, server string) (*decided, bool) {
	d := r.rulings[request]
	return d, d.addServers([]string{server})
}

// Blamed reports whether a held request other than the given one explains the end of
// a server.
func (r *Register) Blamed(now time.Time, server string, besides Digest) bool {
	for digest, d := range r.rulings {
		if digest != besides && d.Standing == Held && now.Sub(d.at) < blameTime && slices.Contains(d.Servers, server) {
			return true
		}
	}
	return false
}

// Forget drops what is over.
func (r *Register) Forget(now time.Time) {
	for digest, d := range r.rulings {
		if d.over(now) {
			delete(r.rulings, digest)
		}
	}
}

// mostTold bounds the rulings that are told again at once: 30 to 200 bytes each.
const mostTold = 8

// Told returns some of the rulings, all of them in turn, for an instance that may have
// missed them.
func (r *Register) Told(now time.Time) []Ruling {
	digests := make([]Digest, 0, len(r.rulings))
	for d := range r.rulings {
		digests = append(digests, d)
	}
	sort.Slice(digests, func(i, j int) bool { return string(digests[i][:]) < string(digests[j][:]) })
	var out []Ruling
	for range min(mostTold, len(digests)) {
		out = append(out, r.rulings[digests[r.turn%len(digests)]].told(now))
		r.turn++
	}
	return out
}
