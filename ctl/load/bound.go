package load

import (
	"sort"
	"time"
)

// boundResolution is the time step of the simulation.
const boundResolution = 2 * time.Millisecond

// AddUpperBounds simulates a single clairvoyant queue over the same arrivals and
// stores its throughput in the report. The queue knows every output length, treats
// all engines as one, wastes no tokens, finds every shared prompt prefix cached, and
// never starts a call that has missed its first-token target. Each phase takes the
// best of several queue orders, so the result bounds those orders; it is not proven
// to be optimal.
func (p *Profile) AddUpperBounds(arrivals []Arrival, r *Report) {
	for _, order := range []func(a, b *job) bool{byTierThenDeadline, byDeadline, byTokensLeft} {
		tokens, calls := p.simulateClairvoyant(arrivals, order)
		for k := range r.Phases {
			seconds := p.Phases[k].Duration.D().Seconds()
			r.Phases[k].BoundGoodput = max(r.Phases[k].BoundGoodput, float64(tokens[k])/seconds)
			r.Phases[k].BoundCalls = max(r.Phases[k].BoundCalls, float64(calls[k])/seconds)
		}
	}
}

// job is a queued or running call of the simulation.
type job struct {
	Arrival
	tier          int
	startDeadline time.Duration // latest start that can meet the first-token target
	tokensLeft    float64       // tokens still to generate
	// prefillMicros is the engine time for the part of the prompt that no other
	// call shares.
	prefillMicros float64
}

func byTierThenDeadline(a, b *job) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	return a.startDeadline < b.startDeadline
}

func byDeadline(a, b *job) bool   { return a.startDeadline < b.startDeadline }
func byTokensLeft(a, b *job) bool { return a.tokensLeft < b.tokensLeft }

// simulateClairvoyant returns the tokens and calls completed per phase of arrival.
// Calls of plain services count as completed, since they do not compete for engines.
func (p *Profile) simulateClairvoyant(arrivals []Arrival, less func(a, b *job) bool) (tokens, calls []int) {
	tokens, calls = make([]int, len(p.Phases)), make([]int, len(p.Phases))
	engines := p.Fleet.Engines
	slots := engines.Count * engines.Slots
	var queue, running []*job
	next := 0
	prefillBacklog := 0.0 // outstanding prefill time per engine, in microseconds
	for now := time.Duration(0); next < len(arrivals) || len(queue)+len(running) > 0; now += boundResolution {
		for ; next < len(arrivals) && arrivals[next].At <= now; next++ {
			a := arrivals[next]
			if p.Streams[a.Stream].Model == "" {
				calls[a.Phase]++
				continue
			}
			queue = append(queue, p.newJob(a))
		}
		queue = dropExpired(queue, now)
		sort.SliceStable(queue, func(i, j int) bool { return less(queue[i], queue[j]) })
		newPrefill := 0.0
		for len(queue) > 0 && len(running) < slots {
			newPrefill += queue[0].prefillMicros
			running = append(running, queue[0])
			queue = queue[1:]
		}
		perEngine := float64(len(running)) / float64(engines.Count)
		tokenMicros := float64(engines.StepBaseMicros) + float64(engines.StepPerCallMicros)*perEngine
		prefillBacklog += newPrefill / float64(engines.Count)
		prefillDone := min(prefillBacklog, float64(boundResolution.Microseconds()))
		prefillBacklog -= prefillDone
		tokensPerCall := (float64(boundResolution.Microseconds()) - prefillDone) / tokenMicros
		unfinished := running[:0]
		for _, j := range running {
			if j.tokensLeft -= tokensPerCall; j.tokensLeft > 0 {
				unfinished = append(unfinished, j)
				continue
			}
			tokens[j.Phase] += j.OutputTokens
			calls[j.Phase]++
		}
		running = unfinished
	}
	return tokens, calls
}

func (p *Profile) newJob(a Arrival) *job {
	class := p.Bundle.Classes[p.Streams[a.Stream].Class]
	output := a.OutputTokens
	if class.MaxOutputTokens > 0 {
		output = min(output, class.MaxOutputTokens)
	}
	a.OutputTokens = output
	return &job{Arrival: a, tier: class.Tier, startDeadline: a.At + class.FirstTokenTarget.D(), tokensLeft: float64(output),
		prefillMicros: p.prefillMicros(p.Streams[a.Stream])}
}

// promptBytesPerToken is the ratio by which fake engines count prompt tokens.
const promptBytesPerToken = 4

// prefillMicros returns the prefill time of the half of the prompt that is not shared.
func (p *Profile) prefillMicros(s Stream) float64 {
	unsharedTokens := float64(s.PromptBytes) / 2 / promptBytesPerToken
	return unsharedTokens / float64(max(1, p.Fleet.Engines.PrefillTokensPerSecond)) * 1e6
}

// dropExpired removes the jobs that can no longer meet their first-token target.
func dropExpired(queue []*job, now time.Duration) []*job {
	remaining := queue[:0]
	for _, j := range queue {
		if j.startDeadline >= now {
			remaining = append(remaining, j)
		}
	}
	return remaining
}
