package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/loop"
)

// Methods of frames between keepers.
const (
	methodEndings = "quarantine.endings"
	methodRulings = "quarantine.rulings"
	methodSuccess = "quarantine.success"
)

const (
	// tellPeriod is the time between two tellings of rulings, each to one instance by
	// lot: an instance that has just started, or was cut off, knows them after some of
	// these. With eight rulings of 30 to 200 bytes it is 3 KB/s at most, and nothing
	// while there are none.
	tellPeriod = 500 * time.Millisecond
	// rememberTimeout bounds the commit of a ruling. The group may be without a leader
	// for some seconds; the ruling is in force meanwhile.
	rememberTimeout = 10 * time.Second
)

// KeptBack is what callers are told of a request that is held.
const KeptBack = "kept from the servers: this request has ended several that ran it"

// Options sets up a Keeper.
type Options struct {
	// Transport connects it with the other instances; nil for an instance on its own.
	Transport *frame.Transport
	// Instances lists all instances, this one included. Judges lists those that may count
	// for requests: entries, which have more to spare than replicas.
	Instances, Judges func() []membership.Instance
	// Log remembers holds over a restart of all instances; nil where nothing does.
	Log Log
}

// Log is the replicated log; replica.Client is one.
type Log interface {
	Propose(ctx context.Context, c *state.Command) (state.Result, error)
}

// Keeper is an instance's part in the quarantine: it reports what ended here, counts
// for the requests that it is a judge of, and knows the rulings of all. It is a suture
// service. Safe for concurrent use.
type Keeper struct {
	opt     Options
	checker *checker
	// known is how many rulings there are. While it is 0 nothing is looked up.
	known atomic.Int64
	// ended counts the servers that were found to have ended under calls.
	ended atomic.Int64

	mu        sync.Mutex
	broken    broken
	successes *quarantine.Successes
	register  *quarantine.Registry
	judge     *quarantine.Evaluator
}

// New returns a keeper and registers its frame handlers.
func New(o Options) *Keeper {
	r := quarantine.NewRegistry()
	k := &Keeper{opt: o, broken: broken{}, successes: quarantine.NewSuccesses(), register: r, judge: quarantine.NewEvaluator(r)}
	k.checker = newChecker(k.noteEnded)
	if t := o.Transport; t != nil {
		t.HandleOneWay(methodEndings, k.handleEndings)
		t.HandleOneWay(methodRulings, k.handleRulings)
		t.HandleOneWay(methodSuccess, k.handleSuccess)
	}
	return k
}

// String names the service in the supervisor's log.
func (k *Keeper) String() string { return "quarantine" }

// Serve tells others of the rulings until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
	return loop.Every(ctx, tellPeriod, func(time.Time) { k.tellSomeone(time.Now()) })
}

// Holding returns how many requests are held.
func (k *Keeper) Holding() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.register.Held(time.Now())
}

// Checks returns how many checks of servers had which finding.
func (k *Keeper) Checks() map[string]int64 {
	out := map[string]int64{}
	for f := range findings {
		out[f.String()] = k.checker.found[f].Load()
	}
	return out
}

// ServersEnded returns how many servers were found here to have ended under calls.
func (k *Keeper) ServersEnded() int64 { return k.ended.Load() }

// Held reports whether a request is held, and for how long still.
func (k *Keeper) Held(request func() quarantine.Digest) (time.Duration, bool) {
	x, known := k.ruling(request)
	if !known || x.Status != quarantine.Held {
		return 0, false
	}
	return x.Remaining(), true
}

// Bounds of the wait for a ruling.
const (
	// rulingWait covers the proof of the last end, its way to the judges and their
	// deliberation. A request that is still suspected then goes on: nothing has ended under
	// it since.
	rulingWait = 300 * time.Millisecond
	rulingPoll = 10 * time.Millisecond
)

// AwaitRuling waits while a request is suspected; call it before the request is repeated.
// Without it, the repeats of one that ends its servers go on while its judges still wait
// for word of successes. False when the context has ended.
func (k *Keeper) AwaitRuling(ctx context.Context, request func() quarantine.Digest) bool {
	for until := time.Now().Add(rulingWait); k.suspected(request) && time.Now().Before(until); {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(rulingPoll):
		}
	}
	return ctx.Err() == nil
}

func (k *Keeper) suspected(request func() quarantine.Digest) bool {
	x, known := k.ruling(request)
	return known && x.Status == quarantine.Suspected
}

// ruling returns the ruling on a request. The digest is only asked for while there are
// rulings.
func (k *Keeper) ruling(request func() quarantine.Digest) (quarantine.Decision, bool) {
	if k.known.Load() == 0 {
		return quarantine.Decision{}, false
	}
	d := request()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.register.Decision(time.Now(), d)
}

// Run is one run of a request at a server.
type Run struct {
	// Server is the start of a server, or the server where it has one ID for all starts:
	// KeepsID. Address is where it listens.
	Server  string
	KeepsID bool
	Address string
	Began   time.Time
	// Reached: the server's process was there when the run began, and not only something
	// that listens for it.
	Reached bool
}

// Succeeded notes that a server has answered a run.
func (k *Keeper) Succeeded(r Run, request quarantine.Digest) {
	k.mu.Lock()
	k.broken.answered(time.Now(), r.Server, r.KeepsID)
	k.successes.Record(request, r.Began)
	x, known := k.register.Decision(time.Now(), request)
	k.mu.Unlock()
	if known && x.Status != quarantine.Cleared {
		k.tellSuccess(request)
	}
}

// Broke notes that a run broke off, for no reason of this instance's or the caller's.
// Whether its server has ended is looked at.
func (k *Keeper) Broke(r Run, request quarantine.Digest) {
	now := time.Now()
	k.mu.Lock()
	k.broken.add(now, r.Server, brokenRun{request, r.KeepsID, r.Reached, r.Began, now})
	ended := k.broken.endedSince(r.Server, r.Began)
	k.mu.Unlock()
	if ended {
		k.noteEnded(r.Server, knownBefore)
		return
	}
	k.checker.check(r.Server, r.Address)
}
