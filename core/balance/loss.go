package balance

import "time"

// Weights of the expected loss of placing a call on a server. A loss of 1 is one
// call that misses its target.
const (
	// safeDelay is the fraction of a call's target up to which the expected delay
	// carries no more than idleSlope.
	safeDelay = 0.35
	// delaySlope is the loss per target of delay beyond safeDelay. idleSlope applies
	// to the whole delay and serves as a tie-breaker.
	delaySlope = 1.2
	idleSlope  = 0.1
	// missTokensPerCall is the number of shared tokens processed again that equals one
	// missed call, since that takes engine time from others.
	missTokensPerCall = 8000
	// lossPerRank is the loss per rank below the home server. It limits the number of
	// copies of a shared prefix.
	lossPerRank = 0.02
	// runningWeight is the loss of a full batch over an empty one. The loss grows with
	// the square of the occupancy, because the last slots are taken while a burst is
	// still growing.
	runningWeight = 0.8
	// jitterLoss is the maximum random loss added to a server that is not the call's home.
	// All instances see the same counts, a few hundred milliseconds old; without it, the
	// calls of a failed engine would all go to the same other engine.
	jitterLoss = 0.3
	// fullLoss keeps calls off a server without free slots or KV cache while another one
	// has capacity.
	fullLoss = 5
	// slowLoss is the loss of a latency-sensitive stream on an engine that takes twice as long
	// as the median of its pool.
	slowLoss = 2
	// latencySensitiveLoss is the loss a long prompt causes per latency-sensitive stream
	// on its engine.
	latencySensitiveLoss = 0.05
	// maxLatencySensitiveLoss bounds that loss, because calls of a side that has lost its
	// engines must use the other side.
	maxLatencySensitiveLoss = 1.0
	// crossLossLatencySensitive is the loss of crossing the boundary for long prompts and
	// latency-sensitive streams; crossLoss is that for other calls.
	crossLossLatencySensitive = 0.8
	crossLoss                 = 0.5
	// stallTimePerCall is the total stall of other streams that equals one missed
	// call: while an engine processes a prompt, each of its running streams makes
	// almost no progress.
	stallTimePerCall = 10 * time.Second
	// defaultTarget applies to calls without a configured target.
	defaultTarget = time.Second
)

// loss estimates the loss of placing a call on a server with the given rank.
func (p *pool) loss(now time.Time, s *server, c request, rank int) float64 {
	l := s.load()
	loss := s.health.loss(now)
	own := p.prefillTokens(now, s, c, rank == 0)
	// A prefix that is not cached anywhere has to be processed at its home server in any
	// case, so the home is not penalized for it.
	if own > float64(c.Unshared) && (c.cached || rank != 0) {
		loss += (own - float64(c.Unshared)) / missTokensPerCall
	}
	loss += c.rankLoss(rank)
	pending := float64(l.PendingPromptTokens) + own
	if rank == otherSide {
		loss += c.disturbanceLoss(l)
	}
	delay := time.Duration(s.slowness * float64(p.speed.prefillTime(pending)))
	loss += delayLoss(delay, c.targetLatency())
	loss += float64(l.Running) * s.slowness * p.speed.prefillTime(own).Seconds() / stallTimePerCall.Seconds()
	if c.latencySensitive() {
		loss += slowLoss * (s.slowness - 1)
	}
	return loss + occupancyLoss(now, p, s, c.Call, l)
}

// rankLoss is the loss of a server's rank, whatever its state: of its distance from the home
// server, or of crossing the boundary. A long prompt delays the events of latency-sensitive streams
// on the short side, and long prompts delay a latency-sensitive stream on the long side. Other
// short calls only lose time.
func (c *Call) rankLoss(rank int) float64 {
	switch {
	case rank == 0:
		return 0
	case rank != otherSide:
		return lossPerRank * float64(rank)
	case c.Tokens >= LongPromptTokens || c.latencySensitive():
		return lossPerRank + crossLossLatencySensitive
	}
	return lossPerRank + crossLoss
}

// disturbanceLoss is the additional loss of a long prompt on the short side, by the
// latency-sensitive streams there.
func (c *Call) disturbanceLoss(l Load) float64 {
	if c.Tokens < LongPromptTokens {
		return 0
	}
	return min(maxLatencySensitiveLoss, latencySensitiveLoss*float64(l.LatencySensitive))
}

// occupancyLoss is the loss of placing a call on an occupied or full server.
func occupancyLoss(now time.Time, p *pool, s *server, c Call, l Load) float64 {
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

// delayLoss is at most one missed call, plus a little for each further target of
// delay. When all engines are backlogged, a call should not leave its home for an
// engine that is slightly less so: processing its shared prefix again costs all calls
// more than that gains.
func delayLoss(delay, target time.Duration) float64 {
	x := delay.Seconds() / target.Seconds()
	return idleSlope*x + min(1, delaySlope*max(0, x-safeDelay))
}
