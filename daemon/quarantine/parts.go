package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/quarantine"
)

// Bounds on what is known of prompts: memory, and the messages after a crash.
const (
	// maxParts bounds the parts of one prompt that are considered, the last ones.
	maxParts = 8
	// maxPrompts bounds the broken runs of one server whose prompts are kept: 1.2 KB each at
	// most.
	maxPrompts = 8
	// maxPartReports bounds the parts reported for one crash: 150 bytes each.
	maxPartReports = 128
	// partMessagesPerSecond and partMessageBurst bound the crashes whose parts this instance
	// reports. All instances report to the same two of a pool.
	partMessagesPerSecond = 10
	partMessageBurst      = 20
)

// Prompt is what a call's prompt shares with other calls. It is read-only.
type Prompt struct {
	customer string
	parts    []promptPart
}

// promptPart is a shared part of a prompt, in the calls of all customers or of one.
type promptPart struct {
	quarantine.Part
	digest   quarantine.Digest
	position int
}

// NewPrompt returns a prompt with the IDs of its shared parts, in order; customer is "" without one.
func NewPrompt(pool, customer string, parts []string) *Prompt {
	p := &Prompt{customer: customer}
	scopes := []string{""}
	if customer != "" {
		scopes = append(scopes, customer)
	}
	for i := max(0, len(parts)-maxParts); i < len(parts); i++ {
		for _, scope := range scopes {
			part := quarantine.NewPart(pool, parts[i], scope)
			p.parts = append(p.parts, promptPart{part, part.Digest(), i})
		}
	}
	return p
}

// subjects returns what a call can be held for, nil without a prompt.
func (p *Prompt) subjects() []promptPart {
	if p == nil {
		return nil
	}
	return p.parts
}

// suspectsPart reports whether a part of the prompt is suspected.
func (m *Manager) suspectsPart(p *Prompt) bool {
	if m.decisions.Load() == 0 {
		return false
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(p.subjects(), func(part promptPart) bool {
		x, known := m.registry.Decision(now, part.digest)
		return known && x.Status == quarantine.Suspected
	})
}

// RecordAnswerBegun records that a server has begun an answer on a run's prompt and has gone on
// for long enough to show that no part of it crashes the server.
func (m *Manager) RecordAnswerBegun(r Run) {
	now := time.Now()
	var report []quarantine.Part
	m.mu.Lock()
	for _, part := range r.Prompt.subjects() {
		m.answered.Record(part.digest, r.AnswerBegan)
		if x, known := m.registry.Decision(now, part.digest); known && x.Status != quarantine.Cleared {
			report = append(report, part.Part)
		}
	}
	m.mu.Unlock()
	for i := range report {
		m.reportAnswer(&report[i])
	}
}

// reportAnswer reports the latest answer begun at this instance on a part to its evaluators.
func (m *Manager) reportAnswer(part *quarantine.Part) {
	digest := part.Digest()
	m.mu.Lock()
	began, known := m.answered.Last(digest)
	m.mu.Unlock()
	if known {
		m.sendSuccess(digest, part.Group(), began)
	}
}

// reportOutcomes reports how runs ended here on parts that were decided against, spread over time:
// the first answer that reaches the evaluators is enough.
func (m *Manager) reportOutcomes(parts []quarantine.Decision) {
	if len(parts) == 0 {
		return
	}
	time.AfterFunc(time.Duration(rand.Float64()*float64(quarantine.SuccessSpread)), func() {
		for i := range parts {
			m.mu.Lock()
			x, known := m.registry.Decision(time.Now(), parts[i].Digest)
			m.mu.Unlock()
			if known && x.Status != quarantine.Cleared && x.Part != nil {
				m.reportAnswer(x.Part)
				m.reportSurvivals(x.Digest, x.Part.Group())
			}
		}
	})
}

// partReports returns reports on the shared prompt parts of the runs that a crash interrupted, by
// the groups of their evaluators.
func partReports(now time.Time, server string, runs []brokenRun, others []string) map[quarantine.Digest][]quarantine.CrashReport {
	known := map[quarantine.Digest]*quarantine.CrashReport{}
	for i := range runs {
		r := &runs[i]
		for _, part := range r.prompt.subjects() {
			x := known[part.digest]
			if x == nil {
				if len(known) >= maxPartReports {
					break
				}
				x = &quarantine.CrashReport{Request: part.digest, Server: server, KeepsID: r.keepsID, Began: now.Sub(r.began), Ended: now.Sub(r.ended), Others: others,
					Part: &quarantine.PartCrash{Part: part.Part, Position: part.position}}
				known[part.digest] = x
			}
			x.Part.AddWitness(r.request, r.prompt.customer)
			x.Began, x.Ended = min(x.Began, now.Sub(r.began)), min(x.Ended, now.Sub(r.ended))
		}
	}
	out := map[quarantine.Digest][]quarantine.CrashReport{}
	for _, x := range known {
		group := x.Part.Part.Group()
		out[group] = append(out[group], *x)
	}
	return out
}

// reportParts reports the parts of the runs that a crash interrupted.
func (m *Manager) reportParts(now time.Time, server string, runs []brokenRun, others []string) {
	groups := partReports(now, server, runs, others)
	if len(groups) == 0 {
		return
	}
	m.mu.Lock()
	allowed := m.partMessages.take(now)
	m.mu.Unlock()
	if !allowed {
		log.WithFields(log.Fields{"step": "report prompt parts", "server": server}).Warn("too many crashes in a short time; the prompt parts of this one are not reported")
		return
	}
	for group, list := range groups {
		m.sendToEvaluators(group, methodPartReports, list, func() { m.evaluateAndReview(list, quarantine.PartDecisionDelay) })
	}
}

// messageBucket bounds messages over time. The zero value is full.
type messageBucket struct {
	used    float64
	updated time.Time
}

func (b *messageBucket) take(now time.Time) bool {
	b.used = max(0, b.used-now.Sub(b.updated).Seconds()*partMessagesPerSecond)
	b.updated = now
	if b.used+1 > partMessageBurst {
		return false
	}
	b.used++
	return true
}
