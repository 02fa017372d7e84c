package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/quarantine"
)

// Error messages for calls that are held.
const (
	HeldMessage     = "kept from the servers: this request has ended several that ran it"
	HeldPartMessage = "kept from the servers: a part of this prompt has ended several that began to answer it"
)

// Hold is why a call is kept from the servers, or what it may try.
type Hold struct {
	// Trial is set if the call may proceed as the only one after a hold.
	Trial bool
	// Left is the time until the call may be tried again.
	Left time.Duration
	// Part is the ID of the held part of the prompt, "" if the request itself is held.
	Part string
}

// Message returns the error message for the caller.
func (h *Hold) Message() string {
	if h.Part != "" {
		return HeldPartMessage
	}
	return HeldMessage
}

// subject is something that a call can be held for.
type subject struct {
	digest quarantine.Digest
	// part is nil for a request.
	part *quarantine.Part
}

// partID returns the ID of the part, "" for a request.
func (s *subject) partID() string {
	if s.part == nil {
		return ""
	}
	return s.part.ID
}

// evaluators returns the key that selects the evaluators.
func (s *subject) evaluators() quarantine.Digest {
	if s.part == nil {
		return s.digest
	}
	return s.part.Group()
}

func subjects(request func() quarantine.Digest, p *Prompt) []subject {
	out := []subject{{digest: request()}}
	parts := p.subjects()
	for i := range parts {
		out = append(out, subject{parts[i].digest, &parts[i].Part})
	}
	return out
}

// Trials of requests and parts whose hold has expired.
const (
	methodTrial = "quarantine.trial"
	// trialTimeout bounds the question whether a call may be the trial. At most one call of
	// an instance waits for it.
	trialTimeout = 200 * time.Millisecond
	// trialPause is the time until this instance asks again. A refused call may return then.
	trialPause = time.Second
	// soleTrialTime is how long only calls with no other subject to be tried may be the
	// trial: if the trial crashes its server, all of its subjects are held again.
	soleTrialTime = 10 * time.Second
)

// Held reports whether a call is held for its request or for a part of its prompt, nil for none.
// Once a hold has expired, one call of all instances may proceed: it is held too if it asks again.
func (m *Manager) Held(request func() quarantine.Digest, p *Prompt) (Hold, bool) {
	if m.decisions.Load() == 0 {
		return Hold{}, false
	}
	now := time.Now()
	var trials []subject
	overdue := soleTrialTime
	m.mu.Lock()
	for _, s := range subjects(request, p) {
		if x, known := m.registry.Decision(now, s.digest); known && x.Status == quarantine.Held {
			m.mu.Unlock()
			return Hold{Left: x.Remaining(), Part: s.partID()}, true
		}
		if since, needed := m.registry.NeedsTrial(now, s.digest); needed {
			trials = append(trials, s)
			overdue = min(overdue, since)
		}
	}
	ask := m.mayAskForTrial(now, trials, overdue)
	m.mu.Unlock()
	if len(trials) == 0 {
		return Hold{}, false
	}
	if !ask || slices.ContainsFunc(trials, func(s subject) bool { return !m.askForTrial(&s) }) {
		return Hold{Left: trialPause, Part: trials[0].partID()}, true
	}
	return Hold{Trial: true}, false
}

// mayAskForTrial reports whether a call with these subjects, whose holds expired at least the given
// time ago, may ask to be their trial. The caller holds the lock.
func (m *Manager) mayAskForTrial(now time.Time, trials []subject, overdue time.Duration) bool {
	if len(trials) == 0 {
		return false
	}
	if overdue < soleTrialTime && slices.ContainsFunc(trials, func(s subject) bool { return s.partID() != trials[0].partID() }) {
		return false
	}
	key := trials[0].digest
	if now.Sub(m.lastTrials[key]) < trialPause {
		return false
	}
	m.lastTrials[key] = now
	return true
}

// trialRequest asks an evaluator whether a call may be the trial of a request or part.
type trialRequest struct {
	Digest quarantine.Digest `msgpack:"d"`
}

type trialResponse struct {
	Granted bool `msgpack:"g,omitempty"`
}

func (m *Manager) askForTrial(s *subject) bool {
	list := m.evaluatorsOf(s.evaluators())
	if len(list) == 0 {
		return false
	}
	evaluator := list[0]
	if evaluator == m.self() {
		return m.grantTrial(s.digest)
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	var r trialResponse
	if err := m.opt.Transport.Call(ctx, evaluator, methodTrial, &trialRequest{s.digest}, &r); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "ask for trial", "peer": evaluator}).Info("the hold stays until an evaluator answers")
		return false
	}
	return r.Granted
}

// grantTrial decides as the evaluator whether a call may be the trial.
func (m *Manager) grantTrial(digest quarantine.Digest) (granted bool) {
	m.evaluate(func(now time.Time) []quarantine.Decision {
		x, ok := m.evaluator.Trial(now, digest)
		granted = ok
		if !ok {
			return nil
		}
		return []quarantine.Decision{x}
	})
	return granted
}

func (m *Manager) handleTrial(_ context.Context, from string, body []byte) (any, error) {
	var q trialRequest
	if !decode(from, body, &q) {
		return nil, errMalformedTrial
	}
	return trialResponse{Granted: m.grantTrial(q.Digest)}, nil
}

// expireTrials forgets the questions that no longer delay others. Call it with the lock held.
func (m *Manager) expireTrials(now time.Time) {
	for key, at := range m.lastTrials {
		if now.Sub(at) >= trialPause {
			delete(m.lastTrials, key)
		}
	}
}
