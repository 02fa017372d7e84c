package quarantine

import (
	"time"

	"cardamomwick.example/core/quarantine"
)

// methodSurvivals is the frame method that reports runs without an answer and without a crash.
const methodSurvivals = "quarantine.survivals"

// survivals reports how many runs of a request, or on a part, have ended so at an instance lately.
type survivals struct {
	Digest quarantine.Digest `msgpack:"d"`
	Runs   int               `msgpack:"n"`
}

// RecordSurvival records that a run has ended without an answer, while its server lived on.
func (m *Manager) RecordSurvival(request quarantine.Digest, p *Prompt) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.survivals.Record(now, request)
	for _, part := range p.subjects() {
		m.survivals.Record(now, part.digest)
	}
}

// reportSurvivals reports the runs that ended so here to the evaluators of a key.
func (m *Manager) reportSurvivals(digest, evaluators quarantine.Digest) {
	m.mu.Lock()
	s := survivals{digest, m.survivals.Recent(time.Now(), digest)}
	m.mu.Unlock()
	if s.Runs == 0 {
		return
	}
	m.sendToEvaluators(evaluators, methodSurvivals, &s, func() { m.recordSurvivals(&s) })
}

func (m *Manager) recordSurvivals(s *survivals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluator.RecordSurvivals(s.Digest, s.Runs)
}

func (m *Manager) handleSurvivals(from string, body []byte) {
	var s survivals
	if decode(from, body, &s) {
		m.recordSurvivals(&s)
	}
}
