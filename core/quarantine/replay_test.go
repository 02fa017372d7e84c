package quarantine

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// replay simulates a pool of servers under load, with an evaluator.
type replay struct {
	*fixture
	rnd     *rand.Rand
	servers []*server
	started int
	running map[*run]bool
	// refused counts the calls that were refused because of a hold, by request.
	refused map[string]int
	crashes int
	calls   int
	// downtime is the time between a crash and the server's next start, proofDelay the
	// time until the crash is confirmed.
	downtime, proofDelay time.Duration
	successes            *Successes
	// messages are in transit.
	messages []message
}

type message struct {
	at      time.Time
	deliver func()
}

// later schedules a delivery after a delay.
func (p *replay) later(d time.Duration, deliver func()) {
	p.messages = append(p.messages, message{p.now.Add(d), deliver})
}

// deliver runs the deliveries that are due.
func (p *replay) deliver() {
	waiting := p.messages
	p.messages = nil
	for _, m := range waiting {
		if p.now.Before(m.at) {
			p.messages = append(p.messages, m)
			continue
		}
		m.deliver()
	}
}

type server struct {
	id   string
	back time.Time
}

// run is one run of a request.
type run struct {
	request string
	server  *server
	began   time.Time
	until   time.Time
	// runs is the number of runs left to the call, including this one.
	runs int
}

const (
	tick = 10 * time.Millisecond
	// transitTime is the transit time of a message between instances.
	transitTime = 10 * time.Millisecond
	// retryPause is the time before a broken run is retried. While its request is
	// suspected, the retry is delayed further, up to retryWait.
	retryPause = 60 * time.Millisecond
	retryWait  = 300 * time.Millisecond
)

func newReplay(t *testing.T, servers int, seed int64) *replay {
	p := &replay{fixture: newFixture(t), rnd: rand.New(rand.NewSource(seed)), running: map[*run]bool{}, successes: NewSuccesses(), refused: map[string]int{},
		downtime: 4 * time.Second, proofDelay: 30 * time.Millisecond}
	for range servers {
		p.servers = append(p.servers, &server{id: p.newStart()})
	}
	return p
}

func (p *replay) newStart() string {
	p.started++
	return fmt.Sprint("start-", p.started)
}

// begin sends a request to a running server, where it starts one millisecond later.
func (p *replay) begin(request string, lasts time.Duration, runs int) {
	began := p.now.Add(time.Millisecond)
	if x, known := p.registry.Decision(p.now, digest(request)); known && x.Status == Held {
		p.refused[request]++
		return
	}
	s := p.servers[p.rnd.Intn(len(p.servers))]
	if p.now.Before(s.back) {
		return
	}
	p.running[&run{request, s, began, began.Add(lasts), runs}] = true
}

// crash stops servers simultaneously. Their runs are reported and retried if they have
// runs left.
func (p *replay) crash(list ...*server) {
	var ids []string
	for _, s := range list {
		ids = append(ids, s.id)
	}
	p.crashes += len(list)
	for i, s := range list {
		others := append(append([]string{}, ids[:i]...), ids[i+1:]...)
		s.id, s.back = p.newStart(), p.now.Add(p.downtime)
		p.report(s, ids[i], others[:min(len(others), MaxOthers)])
	}
}

// answer reports an earlier success of a request on which a decision was published.
func (p *replay) answer(x Decision) {
	if began, known := p.successes.Last(x.Digest); known && x.Status != Cleared {
		p.later(transitTime, func() { p.ev.RecordSuccess(p.now, x.Digest, began) })
	}
}

func (p *replay) report(s *server, id string, others []string) {
	for r := range p.running {
		if r.server != s {
			continue
		}
		delete(p.running, r)
		e := CrashReport{Request: digest(r.request), Server: id, Others: others}
		began, ended := r.began, p.now
		p.later(p.proofDelay, func() {
			e.Began, e.Ended = p.now.Sub(began), p.now.Sub(ended)
			if x, publish := p.ev.Report(p.now, e); publish {
				p.later(transitTime, func() { p.answer(x) })
			}
			p.later(DecisionDelay, func() { p.ev.Review(p.now) })
		})
		if r.runs > 1 {
			p.later(retryPause, func() { p.retry(r, p.now.Add(retryWait)) })
		}
	}
}

// retry starts a run again once its request is not suspected any more, or at the latest
// at the given time.
func (p *replay) retry(r *run, latest time.Time) {
	if x, known := p.registry.Decision(p.now, digest(r.request)); known && x.Status == Suspected && p.now.Before(latest) {
		p.later(tick, func() { p.retry(r, latest) })
		return
	}
	p.begin(r.request, r.until.Sub(r.began), r.runs-1)
}

const (
	crashing = "crashing"
	// maxCrashes bounds the crashes that one request may cause: three until it is
	// held, and three that the users allow until all instances know.
	maxCrashes = 6
)

// step advances the clock by one tick, ends runs that are due and starts new calls.
func (p *replay) step() {
	p.advance(tick)
	p.endRuns()
	p.startCalls()
}

// endRuns ends the runs that are due.
func (p *replay) endRuns() {
	p.deliver()
	for r := range p.running {
		if p.now.Before(r.until) {
			continue
		}
		if r.request == crashing {
			p.crash(r.server)
			continue
		}
		delete(p.running, r)
		p.successes.Record(digest(r.request), r.began)
		if x, known := p.registry.Decision(p.now, digest(r.request)); known && x.Status == Suspected {
			p.later(transitTime, func() { p.ev.RecordSuccess(p.now, digest(r.request), r.began) })
		}
	}
}

// startCalls starts new calls.
func (p *replay) startCalls() {
	for range 3 {
		p.calls++
		switch p.rnd.Intn(5) {
		case 0:
			p.begin(fmt.Sprint("ping of ", p.rnd.Intn(10)), 30*time.Millisecond, 4)
		case 1:
			p.begin(fmt.Sprint("digest ", p.calls), 1500*time.Millisecond, 4)
		default:
			p.begin(fmt.Sprint("chat ", p.calls), 800*time.Millisecond, 1)
		}
	}
}

// A request that crashes its server arrives every half second, among 300 other calls a
// second, of which some share one body and some are retried up to three times. None of
// the others may be held.
func TestOthersAreNotHeldBesideCrashingRequest(t *testing.T) {
	for seed := range int64(20) {
		p := newReplay(t, 12, seed)
		for n := range int(20 * time.Second / tick) {
			p.step()
			if n%50 == 0 {
				p.begin(crashing, 100*time.Millisecond, 2)
			}
		}
		p.check(maxCrashes)
	}
}

// A crashing request arrives twice every 150 ms at four servers that restart within half
// a second. All other calls have one of four bodies, like health checks, so any of them
// may be in flight at one crash and again at the next one a tenth of a second later.
func TestIdenticalCallsBesideCrashingRequest(t *testing.T) {
	for seed := range int64(20) {
		p := newReplay(t, 4, seed)
		p.downtime = 500 * time.Millisecond
		for n := range int(20 * time.Second / tick) {
			p.advance(tick)
			p.endRuns()
			if n%15 == 0 || n%15 == 4 {
				p.begin(crashing, 10*time.Millisecond, 1)
			}
			if n%2 == 0 {
				p.begin(fmt.Sprint("identical ", n/2%4), 40*time.Millisecond, 2)
			}
		}
		p.check(20 * int(time.Second/(150*time.Millisecond)))
	}
}

// Copies of a request arrive simultaneously at several entries, repeatedly, and each
// call may run twice. Until the hold, each copy crashes a server with each of its runs
// while nothing is known, and with one run at a time from the second round on:
// copies x (runs + (proof + decision delay + transit) / pause).
func TestCrashesBeforeHoldAreBounded(t *testing.T) {
	const runs, pause = 2, 150 * time.Millisecond
	for _, copies := range []int{1, 3, 8, 60} {
		p := newReplay(t, 10*copies, int64(copies))
		p.proofDelay = 70 * time.Millisecond
		for n := range int(4 * time.Second / tick) {
			p.step()
			if n%int(pause/tick) == 0 {
				for range copies {
					p.begin(crashing, tick, runs)
				}
			}
		}
		rounds := runs + math.Ceil(float64(p.proofDelay+DecisionDelay+transitTime)/float64(pause))
		p.check(copies * int(rounds))
	}
}

// A request crashes all servers in turn, so that identical calls get no answer for a
// second. Each crash hits some of these calls, which were served until then. They must
// not be held.
func TestServedCallsAreNotHeldWhenAllServersCrash(t *testing.T) {
	const begins = int(time.Second / tick)
	for seed := range int64(100) {
		p := newReplay(t, 4, seed)
		p.downtime = 1200 * time.Millisecond
		for n := range 5 * begins {
			p.advance(tick)
			p.endRuns()
			if n > begins && n%15 == 0 {
				p.begin(crashing, tick, 2)
			}
			p.begin(fmt.Sprint("identical ", n%4), 300*time.Millisecond, 2)
		}
		p.check(maxCrashes)
	}
}

// Half of the servers crash simultaneously, three times within seconds. No request may
// be held.
func TestMassCrashesHoldNothing(t *testing.T) {
	for seed := range int64(20) {
		p := newReplay(t, 40, seed)
		for n := range int(20 * time.Second / tick) {
			p.step()
			if n == 500 || n == 600 || n == 700 {
				var half []*server
				for _, s := range p.servers {
					if p.rnd.Intn(2) == 0 && !p.now.Before(s.back) {
						half = append(half, s)
					}
				}
				p.crash(half...)
			}
		}
		p.check(p.crashes)
	}
}

func (p *replay) check(maxCrashes int) {
	p.t.Helper()
	p.t.Logf("%d calls, %d servers crashed, held: %v", p.calls, p.crashes, p.refused)
	if p.crashes > maxCrashes {
		p.t.Errorf("%d servers crashed, want at most %d", p.crashes, maxCrashes)
	}
	for request := range p.refused {
		if request != crashing {
			p.t.Errorf("%q was held", request)
		}
	}
}
