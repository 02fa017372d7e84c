package balance

import "time"

// Weights of the expected loss of placing a call on a server. One is a call
// that misses its target.
const (
	// safeDelay is the share of a call's target that the expected delay may take
	// before it weighs.
	safeDelay = 0.35
	// delaySlope is the loss per target of delay beyond the safe part, idleSlope
	// the loss below it, which only breaks ties.
	delaySlope = 1.2
	idleSlope  = 0.1
	// rereadTokens is how many tokens of shared parts read again weigh as one
	// missed call: reading them takes the engine's time from others.
	rereadTokens = 8000
	// rankStep keeps to a shared part's ranking beyond its home, so that a part
	// has few copies.
	rankStep = 0.02
	// runningWeight is the loss of a full batch against an empty one. It grows with
	// the square of what runs: the last slots go while a burst is still growing.
	runningWeight = 0.8
	// spreadLoss is the most that chance adds to a server that is not the home of
	// the call's shared part. All instances see the same counts, some hundred
	// milliseconds old: when an engine dies, its calls would all go to the same
	// other one.
	spreadLoss = 0.3
	// fullLoss keeps calls off a server whose slots or memory are used up, as long
	// as another one has room.
	fullLoss = 5
	// slowLoss is the loss of a sensitive stream on an engine that takes twice as
	// long as the middle one of its pool.
	slowLoss = 2
	// sensitiveLoss is the loss that a long prompt brings to each sensitive stream
	// at its engine.
	sensitiveLoss = 0.05
	// mostSensitive bounds it: a side that has lost its engines must use the other.
	mostSensitive = 1.0
	// offSideHard and offSideSoft are the losses of crossing the boundary, for
	// calls that harm or are harmed there and for the rest.
	offSideHard = 0.8
	offSideSoft = 0.5
	// crowdTime is the time of other calls' streams that weighs as one missed call:
	// while an engine reads a prompt, each stream that it runs hardly moves.
	crowdTime = 10 * time.Second
	// defaultTarget is taken where the operator declares none.
	defaultTarget = time.Second
)

// loss estimates what is lost by placing a call on a server that has the given
// place in the ranking of the call's shared part.
func (p *pool) loss(now time.Time, s *server, c request, rank int) float64 {
	l := s.load()
	loss := s.health.loss(now)
	own := p.unreadAt(now, s, c, rank == 0)
	// A part that nobody keeps has to be read at its home, wherever the call comes.
	if own > float64(c.Unshared) && (c.known || rank != 0) {
		loss += (own - float64(c.Unshared)) / rereadTokens
	}
	if rank != 0 {
		loss += rankStep * float64(max(rank, 1))
	}
	unread := float64(l.PendingPromptTokens) + own
	if rank == offSide {
		loss += c.offSideLoss(l)
	}
	delay := time.Duration(s.slowness * float64(p.speed.time(unread)))
	loss += delayLoss(delay, c.target())
	loss += float64(l.Running) * s.slowness * p.speed.time(own).Seconds() / crowdTime.Seconds()
	if c.sensitive() {
		loss += slowLoss * (s.slowness - 1)
	}
	return loss + roomLoss(now, p, s, c.Call, l)
}

// offSideLoss is the loss of crossing the boundary: a long prompt delays the
// events of the sensitive streams there, and long prompts delay a sensitive
// stream. Other short calls only lose time.
func (c *Call) offSideLoss(l Load) float64 {
	switch {
	case c.Tokens >= LongPrompt:
		return offSideHard + min(mostSensitive, sensitiveLoss*float64(l.LatencySensitive))
	case c.sensitive():
		return offSideHard
	}
	return offSideSoft
}

// roomLoss keeps calls off servers without room.
func roomLoss(now time.Time, p *pool, s *server, c Call, l Load) float64 {
	loss := 0.0
	if s.Slots > 0 {
		used := float64(l.Running) / float64(s.Slots)
		loss += runningWeight * used * used
	}
	if s.isFull(now, p, c, l) {
		loss += fullLoss
	}
	return loss
}

// delayLoss is at most a missed call, and a little more for each further target
// of delay. Where all engines are behind, a call must not leave the home of its
// shared part for one that is behind a little less: reading the part again costs
// all of them more than that gains.
func delayLoss(delay, target time.Duration) float64 {
	x := delay.Seconds() / target.Seconds()
	return idleSlope*x + min(1, delaySlope*max(0, x-safeDelay))
}
