package quarantine

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// replay is a pool of servers under calls, with a judge.
type replay struct {
	*world
	rnd     *rand.Rand
	servers []*server
	started int
	running map[*run]bool
	// refused counts the calls that were held, by request.
	refused map[string]int
	ends    int
	calls   int
	// downtime passes between the end of a server and its next start, proofDelay until the
	// end is known.
	downtime, proofDelay time.Duration
	successes            *Successes
	// messages are on their way.
	messages []message
}

type message struct {
	at      time.Time
	deliver func()
}

// later delivers a message after a delay.
func (p *replay) later(d time.Duration, deliver func()) {
	p.messages = append(p.messages, message{p.now.Add(d), deliver})
}

// deliver delivers what has arrived.
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
	// runs is how many are left to the call, this one included.
	runs int
}

const (
	tick = 10 * time.Millisecond
	// tellDelay passes until another instance hears of something.
	tellDelay = 10 * time.Millisecond
	// retryPause passes until a run that broke off is repeated; while its request is
	// suspected it is put off further, up to retryWait.
	retryPause = 60 * time.Millisecond
	retryWait  = 300 * time.Millisecond
)

func newReplay(t *testing.T, servers int, seed int64) *replay {
	p := &replay{world: newWorld(t), rnd: rand.New(rand.NewSource(seed)), running: map[*run]bool{}, successes: NewSuccesses(), refused: map[string]int{},
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

// begin sends a request to a server that is there; it begins a moment later.
func (p *replay) begin(request string, lasts time.Duration, runs int) {
	began := p.now.Add(time.Millisecond)
	if x, known := p.r.Ruling(p.now, digest(request)); known && x.Standing == Held {
		p.refused[request]++
		return
	}
	s := p.servers[p.rnd.Intn(len(p.servers))]
	if p.now.Before(s.back) {
		return
	}
	p.running[&run{request, s, began, began.Add(lasts), runs}] = true
}

// crash ends servers at the same time; their runs are reported, and begin anew if
// they may.
func (p *replay) crash(list ...*server) {
	var ids []string
	for _, s := range list {
		ids = append(ids, s.id)
	}
	p.ends += len(list)
	for i, s := range list {
		others := append(append([]string{}, ids[:i]...), ids[i+1:]...)
		s.id, s.back = p.newStart(), p.now.Add(p.downtime)
		p.report(s, ids[i], others[:min(len(others), MostOthers)])
	}
}

// answer tells the judge of a success of a request that it has ruled on.
func (p *replay) answer(x Ruling) {
	if began, known := p.successes.Last(x.Digest); known && x.Standing != Cleared {
		p.later(tellDelay, func() { p.j.Succeeded(p.now, x.Digest, began) })
	}
}

func (p *replay) report(s *server, id string, others []string) {
	for r := range p.running {
		if r.server != s {
			continue
		}
		delete(p.running, r)
		e := Ending{Request: digest(r.request), Server: id, Others: others}
		began, ended := r.began, p.now
		p.later(p.proofDelay, func() {
			e.Began, e.Ended = p.now.Sub(began), p.now.Sub(ended)
			if x, tell := p.j.Take(p.now, e); tell {
				p.later(tellDelay, func() { p.answer(x) })
			}
			p.later(Deliberation, func() { p.j.Review(p.now) })
		})
		if r.runs > 1 {
			p.later(retryPause, func() { p.repeat(r, p.now.Add(retryWait)) })
		}
	}
}

// repeat begins a run again once its request is not suspected any more, or at a time.
func (p *replay) repeat(r *run, latest time.Time) {
	if x, known := p.r.Ruling(p.now, digest(r.request)); known && x.Standing == Suspected && p.now.Before(latest) {
		p.later(tick, func() { p.repeat(r, latest) })
		return
	}
	p.begin(r.request, r.until.Sub(r.began), r.runs-1)
}

const (
	lethal = "lethal"
	// lethalEnds is the most that one request may end: three, and the three that users
	// allow until all instances know.
	lethalEnds = 6
)

// step lets the runs of one tick end and new calls come.
func (p *replay) step() {
	p.after(tick)
	p.end()
	p.comeAnew()
}

// end lets the runs whose time has come end.
func (p *replay) end() {
	p.deliver()
	for r := range p.running {
		if p.now.Before(r.until) {
			continue
		}
		if r.request == lethal {
			p.crash(r.server)
			continue
		}
		delete(p.running, r)
		p.successes.Note(digest(r.request), r.began)
		if x, known := p.r.Ruling(p.now, digest(r.request)); known && x.Standing == Suspected {
			p.later(tellDelay, func() { p.j.Succeeded(p.now, digest(r.request), r.began) })
		}
	}
}

// comeAnew lets new calls come.
func (p *replay) comeAnew() {
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

// Each half second somebody sends a request that ends its server; 300 other calls come
// each second, some with one body for all, some repeated up to three times. None of
// the others may be held.
func TestInnocentBesideALethalRequest(t *testing.T) {
	for seed := range int64(20) {
		p := newReplay(t, 12, seed)
		for n := range int(20 * time.Second / tick) {
			p.step()
			if n%50 == 0 {
				p.begin(lethal, 100*time.Millisecond, 2)
			}
		}
		p.check(lethalEnds)
	}
}

// A request comes each 150 ms, and each time twice, to four servers that are back after
// half a second. Beside it all other calls have one of four bodies, as health checks
// have: any of them may be in flight when one server ends, and when the next does a
// tenth of a second later.
func TestCallsThatAreAlikeBesideALethalRequest(t *testing.T) {
	for seed := range int64(20) {
		p := newReplay(t, 4, seed)
		p.downtime = 500 * time.Millisecond
		for n := range int(20 * time.Second / tick) {
			p.after(tick)
			p.end()
			if n%15 == 0 || n%15 == 4 {
				p.begin(lethal, 10*time.Millisecond, 1)
			}
			if n%2 == 0 {
				p.begin(fmt.Sprint("alike ", n/2%4), 40*time.Millisecond, 2)
			}
		}
		p.check(20 * int(time.Second/(150*time.Millisecond)))
	}
}

// Copies of a request come at the same time at several entries, again and again, and each
// call may run twice. Until it is held, each copy ends a server by each of its runs while
// nothing is known, and by one run a time from the second round of ends on:
// copies x (runs + (proof + deliberation + telling) / pause).
func TestEndsBeforeAHoldAreBounded(t *testing.T) {
	const runs, pause = 2, 150 * time.Millisecond
	for _, copies := range []int{1, 3, 8, 60} {
		p := newReplay(t, 10*copies, int64(copies))
		p.proofDelay = 70 * time.Millisecond
		for n := range int(4 * time.Second / tick) {
			p.step()
			if n%int(pause/tick) == 0 {
				for range copies {
					p.begin(lethal, tick, runs)
				}
			}
		}
		rounds := runs + math.Ceil(float64(p.proofDelay+Deliberation+tellDelay)/float64(pause))
		p.check(copies * int(rounds))
	}
}

// A request ends all servers one after the other, so that for a second nobody answers the
// calls that are alike. Each end met some of them; they had been served until then.
func TestCallsThatWereServedAreNotHeldWhereAllServersEnd(t *testing.T) {
	const begins = int(time.Second / tick)
	for seed := range int64(100) {
		p := newReplay(t, 4, seed)
		p.downtime = 1200 * time.Millisecond
		for n := range 5 * begins {
			p.after(tick)
			p.end()
			if n > begins && n%15 == 0 {
				p.begin(lethal, tick, 2)
			}
			p.begin(fmt.Sprint("alike ", n%4), 300*time.Millisecond, 2)
		}
		p.check(lethalEnds)
	}
}

// Half of the servers end at once, three times within seconds; no request is to blame.
func TestInnocentInMassCrashes(t *testing.T) {
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
		p.check(p.ends)
	}
}

func (p *replay) check(mostEnds int) {
	p.t.Helper()
	p.t.Logf("%d calls, %d servers ended, held: %v", p.calls, p.ends, p.refused)
	if p.ends > mostEnds {
		p.t.Errorf("%d servers ended; at most %d may", p.ends, mostEnds)
	}
	for request := range p.refused {
		if request != lethal {
			p.t.Errorf("%q was held", request)
		}
	}
}
