package balance

import "time"

// Limits of admission.
const (
	// fullShare of its slots is what an engine may run and keep waiting of long
	// prompts. The tenth above the slots covers counts that are some hundred
	// milliseconds old.
	fullShare = 1.1
	// mostBehind is the part of a call's target that its engine may need for what
	// it has to read before.
	mostBehind = 0.4
	// busyUse is the use of the side from which a call is taken only at the home of
	// its shared part. Elsewhere its engine would have to read the part again, which
	// is about as much work as another call.
	busyUse = 0.85
)

// Admission is what becomes of a long prompt.
type Admission uint8

// Admissions.
const (
	// Admitted calls are placed.
	Admitted Admission = iota
	// Crowded: each engine of the side is full at this moment.
	Crowded
	// Overloaded: more arrives than the engines of the side can take, and this call
	// is among those that are too many.
	Overloaded
)

// Admit decides whether a long prompt is taken; random draws uniformly from
// [0, 1). Other calls are always admitted, and so are prompts that rank higher
// than others of their pool.
//
// The load pattern it answers: bursts of long prompts that ask for more than all
// engines can read. An engine that reads without a pause gives its streams one
// token a chunk, a fifth of their usual speed, so that a small excess makes all of
// them run into their timeout: of 9,277 prompts of a burst 5,000 were read and
// generated in vain. So only as many are taken as leave the engines time to
// generate, drawn by lot, since the instances decide apart. The others are told at
// once, and come back when the burst is over.
func (b *Balancer) Admit(now time.Time, poolName string, c Call, random func() float64) Admission {
	p := b.pool(poolName)
	if c.Tokens < LongPrompt || c.Tier < p.lowestTier {
		return Admitted
	}
	b.longSide(now, poolName)
	var engines []*server
	for _, s := range usable(now, p.servers, nil) {
		if s.long && s.Slots > 0 {
			engines = append(engines, s)
		}
	}
	if len(engines) == 0 {
		return Admitted
	}
	use := b.longNeed(now, p, poolName) / float64(len(engines))
	if random()*use > 1 {
		return Overloaded
	}
	if use > busyUse && c.Home != "" {
		engines = []*server{home(c.Home, engines)}
	}
	for _, s := range engines {
		if s.hasRoom(now, p, c) {
			return Admitted
		}
	}
	return Crowded
}

// hasRoom reports whether an engine of the long side can run one more call soon.
func (s *server) hasRoom(now time.Time, p *pool, c Call) bool {
	l := s.load()
	if s.isFull(now, p, c, l) {
		return false
	}
	behind := p.speed.time(s.slowness * float64(l.Unread))
	return behind.Seconds() <= mostBehind*c.target().Seconds()
}

// isFull reports whether an engine has neither slots nor memory for one more call.
func (s *server) isFull(now time.Time, p *pool, c Call, l Load) bool {
	most := float64(s.Slots)
	if c.Tokens >= LongPrompt {
		most *= fullShare
	}
	return s.Slots > 0 && float64(l.Running) >= most || now.Before(s.fullUntil) ||
		p.memory > 0 && float64(l.Memory+c.memory()) > memoryShare*float64(p.memory)
}
