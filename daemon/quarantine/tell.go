package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/state"
	"cardamomwick.example/core/wire"
)

// Ended notes that a newer start shows that a start of a server has ended.
func (k *Keeper) Ended(server string) { k.noteEnded(server, newerStart) }

// noteEnded takes the proof that a start of a server has ended, and tells the judges what
// broke off there.
func (k *Keeper) noteEnded(server string, p proof) {
	now := time.Now()
	k.mu.Lock()
	others := k.broken.others(server)
	var runs []brokenRun
	if k.broken.shows(server, p) {
		runs = k.broken.take(now, server, p)
	}
	k.mu.Unlock()
	if len(runs) == 0 {
		return
	}
	k.ended.Add(1)
	log.WithFields(log.Fields{"step": "report ended server", "server": server, "broken_calls": len(runs), "requests": texts(runs), "others": others,
		"proof": p.String(), "proof_after_ms": now.Sub(runs[0].ended).Milliseconds()}).Info("server has ended with calls in flight")
	for judge, list := range k.endings(now, server, runs, others) {
		k.tellJudge(judge, methodEndings, list, func() { k.takeEndings(list) })
	}
}

// tellJudge sends a judge a message; take takes it where this instance is the judge.
func (k *Keeper) tellJudge(judge, method string, v any, take func()) {
	if judge == k.self() {
		take()
		return
	}
	k.send(judge, method, v)
}

// endings returns what is to be told to whom of a server's end, by peer address.
func (k *Keeper) endings(now time.Time, server string, runs []brokenRun, others []string) map[string][]quarantine.CrashReport {
	byJudge := map[string][]quarantine.CrashReport{}
	for _, r := range runs {
		e := quarantine.CrashReport{Request: r.request, Server: server, KeepsID: r.keepsID, Began: now.Sub(r.began), Ended: now.Sub(r.ended), Others: others}
		for _, judge := range k.judgesOf(r.request) {
			byJudge[judge] = append(byJudge[judge], e)
		}
	}
	return byJudge
}

// self is this instance's peer address, "" for an instance on its own.
func (k *Keeper) self() string {
	if k.opt.Transport == nil {
		return ""
	}
	return k.opt.Transport.Self()
}

// instances are those that may be told something.
func (k *Keeper) instances() []membership.Instance {
	if k.opt.Transport == nil {
		return nil
	}
	return k.opt.Instances()
}

func (k *Keeper) send(address, method string, v any) {
	if err := k.opt.Transport.Send(address, method, v); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "tell quarantine", "peer": address}).Debug("message lost; the other judge and the next telling remain")
	}
}

// judgesOf returns the peer addresses of a request's judges: two, so that one may be
// lost.
func (k *Keeper) judgesOf(request quarantine.Digest) []string {
	if k.opt.Transport == nil {
		return []string{""}
	}
	candidates := k.opt.Judges()
	if len(candidates) == 0 {
		candidates = k.instances() // while entries start
	}
	var out []string
	for _, i := range membership.TopTwo(string(request[:]), candidates) {
		out = append(out, i.PeerAddress)
	}
	return out
}

// takeEndings counts endings as the judge of their requests.
func (k *Keeper) takeEndings(list []quarantine.CrashReport) {
	for _, e := range list[:min(len(list), mostTexts)] {
		log.WithFields(log.Fields{"step": "count end", "request": e.Request.String(), "server": e.Server, "began_ms": e.Began.Milliseconds(), "ended_ms": e.Ended.Milliseconds()}).
			Info("a server ended under a request")
	}
	k.judged(func(now time.Time) (rulings []quarantine.Decision) {
		for _, e := range list {
			if x, tell := k.judge.Report(now, e); tell {
				rulings = append(rulings, x)
			}
		}
		return rulings
	})
	// What has to wait for word of successes is decided then.
	time.AfterFunc(quarantine.DecisionDelay, func() { k.judged(k.judge.Review) })
}

// takeSuccess takes a success as the judge of its request.
func (k *Keeper) takeSuccess(s success) {
	k.judged(func(now time.Time) []quarantine.Decision {
		if x, tell := k.judge.RecordSuccess(now, s.Request, now.Add(-s.Began)); tell {
			return []quarantine.Decision{x}
		}
		return nil
	})
}

// judged publishes what the judge decides.
func (k *Keeper) judged(decide func(now time.Time) []quarantine.Decision) {
	k.mu.Lock()
	rulings := decide(time.Now())
	k.count()
	k.mu.Unlock()
	if len(rulings) > 0 {
		k.publish(rulings)
	}
}

// success says that a server has answered a run of a request.
type success struct {
	Request quarantine.Digest `msgpack:"d"`
	// Began is how long ago the run began, at the moment of telling.
	Began time.Duration `msgpack:"b"`
}

// tellSuccess tells a request's judges that it succeeded here, by the latest run.
func (k *Keeper) tellSuccess(request quarantine.Digest) {
	k.mu.Lock()
	began, known := k.successes.Last(request)
	k.mu.Unlock()
	if !known {
		return
	}
	s := success{request, time.Since(began)}
	for _, judge := range k.judgesOf(request) {
		k.tellJudge(judge, methodSuccess, &s, func() { k.takeSuccess(s) })
	}
}

// answerRulings tells the judges of successes of the requests that are ruled on.
func (k *Keeper) answerRulings(rulings []quarantine.Decision) {
	for _, x := range rulings {
		if x.Status != quarantine.Cleared {
			k.tellSuccess(x.Digest)
		}
	}
}

// publish tells all instances of rulings that this one has just made.
func (k *Keeper) publish(rulings []quarantine.Decision) {
	for _, x := range rulings {
		log.WithFields(log.Fields{"step": "rule on request", "request": x.Digest.String(), "standing": x.Status.String(), "servers": x.Servers,
			"version": x.Version, "left_s": int(x.Remaining().Seconds())}).Warn("standing of a request under which servers ended")
		if x.Status != quarantine.Suspected && x.Age == 0 { // of age 0: it has just been made
			go k.remember(x)
		}
	}
	for _, i := range k.instances() {
		if i.PeerAddress != k.self() {
			k.send(i.PeerAddress, methodRulings, rulings)
		}
	}
	k.answerRulings(rulings)
}

// remember puts a ruling into the log. A lost one costs, after a restart of all
// instances, the servers that must end again to tell.
func (k *Keeper) remember(x quarantine.Decision) {
	if k.opt.Log == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rememberTimeout)
	defer cancel()
	if _, err := k.opt.Log.Propose(ctx, &state.Command{Type: state.CommandDecision, Decision: &x}); err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "remember ruling", "request": x.Digest.String()}).Warn("it is in force, but does not outlive a restart of all instances")
	}
}

// TakeRulings takes what another instance, or the log, tells.
func (k *Keeper) TakeRulings(list []quarantine.Decision) {
	now := time.Now()
	var news []quarantine.Decision
	k.mu.Lock()
	for _, x := range list {
		if !k.register.Merge(now, x) {
			continue
		}
		news = append(news, x)
		k.judge.Observe(x)
	}
	k.count()
	k.mu.Unlock()
	k.answerRulings(news)
}

// count notes how many rulings there are, for those who only ask that. Call with the
// lock held.
func (k *Keeper) count() { k.known.Store(int64(k.register.Len())) }

// tellSomeone tells an instance by lot of some rulings, and forgets what is over.
func (k *Keeper) tellSomeone(now time.Time) {
	k.mu.Lock()
	k.register.Expire(now)
	k.judge.Expire(now)
	k.broken.forget(now, proofTime)
	told := k.register.NextToSend(now)
	k.count()
	k.mu.Unlock()
	if all := k.instances(); len(told) > 0 && len(all) > 0 {
		if to := all[rand.IntN(len(all))].PeerAddress; to != k.self() {
			k.send(to, methodRulings, told)
		}
	}
}

func (k *Keeper) handleEndings(from string, body []byte) {
	var list []quarantine.CrashReport
	if decode(from, body, &list) {
		k.takeEndings(list)
	}
}

func (k *Keeper) handleRulings(from string, body []byte) {
	var list []quarantine.Decision
	if decode(from, body, &list) {
		k.TakeRulings(list)
	}
}

func (k *Keeper) handleSuccess(from string, body []byte) {
	var s success
	if decode(from, body, &s) {
		k.takeSuccess(s)
	}
}

func decode(from string, body []byte, v any) bool {
	if err := wire.Decode(body, v); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "decode quarantine", "peer": from}).Warn("message dropped")
		return false
	}
	return true
}

// mostTexts bounds the digests in one log line, and the lines of one message.
const mostTexts = 16

func texts(runs []brokenRun) []string {
	var out []string
	for _, r := range runs[:min(len(runs), mostTexts)] {
		out = append(out, r.request.String())
	}
	return out
}
