package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/state"
	"cardamomwick.example/core/wire"
)

// ReportReplaced reports that a server process has ended, as shown by the announcement of
// a newer one.
func (m *Manager) ReportReplaced(server string) { m.reportTerminated(server, newerStart) }

// reportUnreached processes a probe of this instance that found a server terminated. It counts
// once peers have confirmed it: if they reach the server, only this instance's path is broken.
func (m *Manager) reportUnreached(server, address string, c confirmation) {
	v := m.confirm(server, address)
	m.verdicts[v].Add(1)
	if v != confirmed {
		log.WithFields(log.Fields{"step": "confirm ended server", "server": server, "peer": address, "proof": c.String(), "verdict": v.String()}).
			Info("server can't be reached from this instance; peers don't confirm that it has ended")
		return
	}
	m.reportTerminated(server, c)
}

// reportTerminated processes the confirmed termination of a server's start and sends crash
// reports on the runs that it interrupted to their evaluators.
func (m *Manager) reportTerminated(server string, c confirmation) {
	now := time.Now()
	m.mu.Lock()
	others := m.suspects.simultaneous(server)
	var runs []brokenRun
	if m.suspects.accepts(server, c) {
		runs = m.suspects.takeCrashed(now, server, c)
	}
	m.mu.Unlock()
	if len(runs) == 0 {
		return
	}
	m.crashes.Add(1)
	log.WithFields(log.Fields{"step": "report ended server", "server": server, "broken_calls": len(runs), "requests": digestStrings(runs), "others": others,
		"prompt_parts": partIDs(runs), "proof": c.String(), "proof_after_ms": now.Sub(runs[0].ended).Milliseconds()}).Info("server has ended with calls in flight")
	for evaluator, list := range m.crashReports(now, server, runs, others) {
		m.sendToEvaluator(evaluator, methodCrashReports, list, func() { m.evaluateReports(list) })
	}
	m.reportParts(now, server, runs, others)
}

// sendToEvaluator sends a message to an evaluator, or calls handle if this instance is the
// evaluator.
func (m *Manager) sendToEvaluator(evaluator, method string, v any, handle func()) {
	if evaluator == m.self() {
		handle()
		return
	}
	m.send(evaluator, method, v)
}

// sendToEvaluators sends a message to the evaluators of a key.
func (m *Manager) sendToEvaluators(key quarantine.Digest, method string, v any, handle func()) {
	for _, evaluator := range m.evaluatorsOf(key) {
		m.sendToEvaluator(evaluator, method, v, handle)
	}
}

// crashReports returns the reports on the crash of a server by the peer addresses of the
// evaluators they are for.
func (m *Manager) crashReports(now time.Time, server string, runs []brokenRun, others []string) map[string][]quarantine.CrashReport {
	byEvaluator := map[string][]quarantine.CrashReport{}
	for _, r := range runs {
		e := quarantine.CrashReport{Request: r.request, Server: server, KeepsID: r.keepsID, Began: now.Sub(r.began), Ended: now.Sub(r.ended), Others: others}
		for _, evaluator := range m.evaluatorsOf(r.request) {
			byEvaluator[evaluator] = append(byEvaluator[evaluator], e)
		}
	}
	return byEvaluator
}

// self returns this instance's peer address, "" for a single instance.
func (m *Manager) self() string {
	if m.opt.Transport == nil {
		return ""
	}
	return m.opt.Transport.Self()
}

// instances returns the instances that messages may be sent to.
func (m *Manager) instances() []membership.Instance {
	if m.opt.Transport == nil {
		return nil
	}
	return m.opt.Instances()
}

func (m *Manager) send(address, method string, v any) {
	if err := m.opt.Transport.Send(address, method, v); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "send quarantine message", "peer": address}).Debug("message lost; the second evaluator or a later message makes up for it")
	}
}

// evaluatorsOf returns the peer addresses of a request's evaluators: two, so that one may
// be lost.
func (m *Manager) evaluatorsOf(request quarantine.Digest) []string {
	if m.opt.Transport == nil {
		return []string{""}
	}
	candidates := m.opt.Evaluators()
	if len(candidates) == 0 {
		candidates = m.instances() // no entry has started yet
	}
	var out []string
	for _, i := range membership.TopTwo(string(request[:]), candidates) {
		out = append(out, i.PeerAddress)
	}
	return out
}

// evaluateReports evaluates crash reports as the evaluator of their requests.
func (m *Manager) evaluateReports(list []quarantine.CrashReport) {
	for _, e := range list[:min(len(list), maxLogged)] {
		log.WithFields(log.Fields{"step": "evaluate crash report", "request": e.Request.String(), "server": e.Server, "began_ms": e.Began.Milliseconds(), "ended_ms": e.Ended.Milliseconds()}).
			Info("a server ended under a request")
	}
	m.evaluateAndReview(list, quarantine.DecisionDelay)
}

// evaluateAndReview evaluates crash reports, and after the delay makes the decisions that had to wait
// for reports of successes.
func (m *Manager) evaluateAndReview(list []quarantine.CrashReport, delay time.Duration) {
	m.evaluate(func(now time.Time) (decisions []quarantine.Decision) {
		for _, e := range list {
			if x, publish := m.evaluator.Report(now, e); publish {
				decisions = append(decisions, x)
			}
		}
		return decisions
	})
	time.AfterFunc(delay, func() { m.evaluate(m.evaluator.Review) })
}

// evaluateSuccess processes a success as the evaluator of its request.
func (m *Manager) evaluateSuccess(s success) {
	m.evaluate(func(now time.Time) []quarantine.Decision {
		if x, publish := m.evaluator.RecordSuccess(now, s.Request, now.Add(-s.Began)); publish {
			return []quarantine.Decision{x}
		}
		return nil
	})
}

// evaluate makes decisions with the given function and publishes them.
func (m *Manager) evaluate(decide func(now time.Time) []quarantine.Decision) {
	m.mu.Lock()
	decisions := decide(time.Now())
	m.updateCount()
	m.mu.Unlock()
	if len(decisions) > 0 {
		m.publish(decisions)
	}
}

// success reports that a server has completed a run of a request.
type success struct {
	Request quarantine.Digest `msgpack:"d"`
	// Began is the time since the run began, at the time of sending.
	Began time.Duration `msgpack:"b"`
}

// reportSuccess reports the latest successful run of a request at this instance to the
// request's evaluators.
func (m *Manager) reportSuccess(request quarantine.Digest) {
	m.mu.Lock()
	began, known := m.successes.Last(request)
	m.mu.Unlock()
	if !known {
		return
	}
	m.sendSuccess(request, request, began)
}

// sendSuccess sends the success of a run that began at the given time to the evaluators of a key.
func (m *Manager) sendSuccess(digest, evaluators quarantine.Digest, began time.Time) {
	s := success{digest, time.Since(began)}
	m.sendToEvaluators(evaluators, methodSuccess, &s, func() { m.evaluateSuccess(s) })
}

// reportSuccesses reports the successes of requests that were decided against.
func (m *Manager) reportSuccesses(decisions []quarantine.Decision) {
	var parts []quarantine.Decision
	for _, x := range decisions {
		switch {
		case x.Part != nil:
			parts = append(parts, x)
		case x.Status != quarantine.Cleared:
			m.reportSuccess(x.Digest)
			m.reportSurvivals(x.Digest, x.Digest)
		}
	}
	m.reportOutcomes(parts)
}

// publish sends decisions that this instance has just made to all instances.
func (m *Manager) publish(decisions []quarantine.Decision) {
	for _, x := range decisions {
		logDecision(&x)
		if mustPersist(&x) {
			go m.persist(x)
		}
	}
	for _, i := range m.instances() {
		if i.PeerAddress != m.self() {
			m.send(i.PeerAddress, methodDecisions, decisions)
		}
	}
	m.reportSuccesses(decisions)
}

// logDecision logs a decision of this instance. Parts that many calls share become suspected and are
// cleared again with most crashes.
func logDecision(x *quarantine.Decision) {
	entry := log.WithFields(log.Fields{"step": "rule on request", "request": x.Digest.String(), "standing": x.Status.String(), "servers": x.Servers,
		"version": x.Version, "left_s": int(x.Remaining().Seconds())})
	if x.Part == nil {
		entry.Warn("standing of a request under which servers ended")
		return
	}
	entry = entry.WithFields(log.Fields{"part": x.Part.ID, "pool": x.Part.Pool, "customer": x.Part.Customer})
	switch {
	case x.Trial:
		entry.Info("one call with a held prompt part proceeds")
	case x.Status == quarantine.Held:
		entry.Warn("prompt part is held: servers ended that began to answer it")
	default:
		entry.Debug("standing of a prompt part")
	}
}

// mustPersist reports whether a decision has just been made, which age 0 shows, and changes what is
// to be in force after a restart of all instances.
func mustPersist(x *quarantine.Decision) bool {
	if x.Age > 0 || x.Status == quarantine.Suspected || x.Trial {
		return false
	}
	return x.Status == quarantine.Held || x.Part == nil || x.LiftsHold
}

// persist stores a decision in the replicated log. If it is lost in a restart of all
// instances, further servers must crash before the request is held again.
func (m *Manager) persist(x quarantine.Decision) {
	if m.opt.Log == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), persistTimeout)
	defer cancel()
	if _, err := m.opt.Log.Propose(ctx, &state.Command{Type: state.CommandDecision, Decision: &x}); err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "persist decision", "request": x.Digest.String()}).Warn("the decision is in force but would not survive a restart of all instances")
	}
}

// MergeDecisions merges decisions from another instance or the replicated log.
func (m *Manager) MergeDecisions(list []quarantine.Decision) {
	now := time.Now()
	var merged []quarantine.Decision
	m.mu.Lock()
	for _, x := range list {
		if !m.registry.Merge(now, x) {
			continue
		}
		merged = append(merged, x)
		m.evaluator.Observe(x)
	}
	m.updateCount()
	m.mu.Unlock()
	m.reportSuccesses(merged)
}

// updateCount updates the number of decisions, which is read without the lock. Call it
// with the lock held.
func (m *Manager) updateCount() { m.decisions.Store(int64(m.registry.Len())) }

// gossip sends some decisions to a random instance and removes expired state.
func (m *Manager) gossip(now time.Time) {
	m.mu.Lock()
	m.registry.Expire(now)
	m.evaluator.Expire(now)
	m.suspects.expire(now, confirmationTimeout)
	m.expireTrials(now)
	decisions := m.registry.NextToSend(now)
	m.updateCount()
	m.mu.Unlock()
	if all := m.instances(); len(decisions) > 0 && len(all) > 0 {
		if to := all[rand.IntN(len(all))].PeerAddress; to != m.self() {
			m.send(to, methodDecisions, decisions)
		}
	}
}

func (m *Manager) handleCrashReports(from string, body []byte) {
	var list []quarantine.CrashReport
	if decode(from, body, &list) {
		m.evaluateReports(list)
	}
}

func (m *Manager) handlePartReports(from string, body []byte) {
	var list []quarantine.CrashReport
	if decode(from, body, &list) {
		m.evaluateAndReview(list, quarantine.PartDecisionDelay)
	}
}

func (m *Manager) handleDecisions(from string, body []byte) {
	var list []quarantine.Decision
	if decode(from, body, &list) {
		m.MergeDecisions(list)
	}
}

func (m *Manager) handleSuccess(from string, body []byte) {
	var s success
	if decode(from, body, &s) {
		m.evaluateSuccess(s)
	}
}

func decode(from string, body []byte, v any) bool {
	if err := wire.Decode(body, v); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "decode quarantine message", "peer": from}).Warn("message dropped")
		return false
	}
	return true
}

// maxLogged bounds the digests in one log line and the log lines for one message.
const maxLogged = 16

func digestStrings(runs []brokenRun) []string {
	var out []string
	for _, r := range runs[:min(len(runs), maxLogged)] {
		out = append(out, r.request.String())
	}
	return out
}

// partIDs returns the prompt parts that runs share with other calls.
func partIDs(runs []brokenRun) []string {
	var out []string
	for i := range runs {
		if runs[i].prompt == nil {
			continue
		}
		for _, part := range runs[i].prompt.parts {
			if len(out) < maxLogged && !slices.Contains(out, part.ID) {
				out = append(out, part.ID)
			}
		}
	}
	return out
}
