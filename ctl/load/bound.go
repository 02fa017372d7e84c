package load

import (
	"sort"
	"time"
)

// boundStep is the clairvoyant queue's time resolution.
const boundStep = 2 * time.Millisecond

// Bound computes what one clairvoyant queue could do with the same arrivals:
// it knows every length, sees all servers as one, wastes nothing, finds every
// shared prompt beginning cached, and never starts a call that has missed its
// first-token target. The best of several orders is taken per phase, so that it
// bounds all of them; it is no proof of optimality.
func (p *Profile) Bound(arrivals []Arrival, r *Report) {
	for _, order := range []func(a, b *job) bool{byTierThenDue, byDue, byLength} {
		tokens, calls := p.clairvoyant(arrivals, order)
		for k := range r.Phases {
			seconds := p.Phases[k].Duration.D().Seconds()
			r.Phases[k].BoundGoodput = max(r.Phases[k].BoundGoodput, float64(tokens[k])/seconds)
			r.Phases[k].BoundCalls = max(r.Phases[k].BoundCalls, float64(calls[k])/seconds)
		}
	}
}

// job is an arrival in the clairvoyant queue.
type job struct {
	Arrival
	tier int
	due  time.Duration // latest start for the first-token target
	left float64       // tokens to generate
	// prefill is the engine time in microseconds for the part of the prompt
	// that no other call shares.
	prefill float64
}

func byTierThenDue(a, b *job) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	return a.due < b.due
}

func byDue(a, b *job) bool    { return a.due < b.due }
func byLength(a, b *job) bool { return a.left < b.left }

// clairvoyant runs the model calls on the fleet; plain service calls count as
// attained, since they do not compete for engines.
func (p *Profile) clairvoyant(arrivals []Arrival, less func(a, b *job) bool) (tokens, calls []int) {
	tokens, calls = make([]int, len(p.Phases)), make([]int, len(p.Phases))
	f := p.Fleet.Engines
	slots := f.Count * f.Slots
	var queue, running []*job
	next := 0
	debt := 0.0 // prompt reading that engines still owe, per engine
	for now := time.Duration(0); next < len(arrivals) || len(queue)+len(running) > 0; now += boundStep {
		for ; next < len(arrivals) && arrivals[next].At <= now; next++ {
			a := arrivals[next]
			if p.Streams[a.Stream].Model == "" {
				calls[a.Phase]++
				continue
			}
			queue = append(queue, p.job(a))
		}
		queue = dropLate(queue, now)
		sort.SliceStable(queue, func(i, j int) bool { return less(queue[i], queue[j]) })
		prefill := 0.0
		for len(queue) > 0 && len(running) < slots {
			prefill += queue[0].prefill
			running = append(running, queue[0])
			queue = queue[1:]
		}
		perEngine := float64(len(running)) / float64(f.Count)
		step := float64(f.StepBaseMicros) + float64(f.StepPerCallMicros)*perEngine
		debt += prefill / float64(f.Count)
		pay := min(debt, float64(boundStep.Microseconds()))
		debt -= pay
		done := (float64(boundStep.Microseconds()) - pay) / step
		kept := running[:0]
		for _, j := range running {
			if j.left -= done; j.left > 0 {
				kept = append(kept, j)
				continue
			}
			tokens[j.Phase] += j.Output
			calls[j.Phase]++
		}
		running = kept
	}
	return tokens, calls
}

func (p *Profile) job(a Arrival) *job {
	c := p.Bundle.Classes[p.Streams[a.Stream].Class]
	out := a.Output
	if c.MaxOutputTokens > 0 {
		out = min(out, c.MaxOutputTokens)
	}
	a.Output = out
	return &job{Arrival: a, tier: c.Tier, due: a.At + c.FirstTokenTarget.D(), left: float64(out),
		prefill: p.prefillMicros(p.Streams[a.Stream])}
}

// promptBytesPerToken is how the stand-ins count prompt tokens.
const promptBytesPerToken = 4

func (p *Profile) prefillMicros(s Stream) float64 {
	own := float64(s.PromptBytes) / 2 / promptBytesPerToken
	return own / float64(max(1, p.Fleet.Engines.PrefillPerSecond)) * 1e6
}

func dropLate(queue []*job, now time.Duration) []*job {
	kept := queue[:0]
	for _, j := range queue {
		if j.due >= now {
			kept = append(kept, j)
		}
	}
	return kept
}
