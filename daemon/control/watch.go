package control

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/resumption"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/replica"
)

// Timing of a watch. A change must be in force everywhere within 2 s of its
// acknowledgement: a request to a lost leader takes the client's attempt timeout
// of 0.7 s, and the next one finds the new leader.
const (
	watchHold = 450 * time.Millisecond
	// watchTimeout bounds one request including the search for the leader, but for a response
	// that is arriving.
	watchTimeout = 1500 * time.Millisecond
	// maxTransferTime bounds the transfer of a response.
	maxTransferTime = 10 * time.Second
	watchPause      = 20 * time.Millisecond
	// bootstrapTimeout bounds the brief requests to the replicas at the start.
	bootstrapTimeout = 150 * time.Millisecond
	// fetchTimeout is the time in which a replica's full state must begin to arrive. 2,000 engines
	// are 240 KB, 0.2 s on an otherwise idle link of 10 Mbit/s, and seconds where dozens of
	// entries fetch from one replica. Requesting it from all replicas simultaneously, and again
	// after 150 ms, saturated the links of entries for seconds after a full restart.
	fetchTimeout = time.Second
	// minBootstrapPause is the pause after a round that no replica answered; it grows by half
	// each time, up to maxBootstrapPause. It is short because instances that restart
	// together are some tens of milliseconds apart, and calls wait for the declaration.
	minBootstrapPause = 10 * time.Millisecond
	maxBootstrapPause = 100 * time.Millisecond
	// bootstrapDuration bounds the time for these rounds.
	bootstrapDuration = time.Second
	// lossTimeout is the time without a successful request after which the loss is logged.
	lossTimeout = 3 * time.Second
)

// Watch keeps an entry's copy of the declaration in force and of the fleet. The
// copy never goes back to an older declaration. Watch implements suture.Service.
type Watch struct {
	transport *frame.Transport
	client    *replica.Client
	table     atomic.Pointer[routing.Table]

	mirror      *fleet.Mirror
	lastSuccess time.Time
	lost        bool
	// mu guards contact.
	mu      sync.Mutex
	contact resumption.Contact
	// lastFailed: the last request got no answer.
	lastFailed bool
	// onFleet receives the list of servers after each request.
	onFleet     func([]fleet.Server)
	onTable     func(*routing.Table)
	onDecisions func([]quarantine.Decision)
}

// NewWatch returns a Watch without any state. It calls onTable with each new
// declaration and onFleet with the servers after each request, from its loop.
func NewWatch(t *frame.Transport, c *replica.Client, onTable func(*routing.Table), onFleet func([]fleet.Server)) *Watch {
	return &Watch{transport: t, client: c, mirror: fleet.NewMirror(), lastSuccess: time.Now(), onFleet: onFleet, onTable: onTable,
		onDecisions: func([]quarantine.Decision) {}}
}

// OnQuarantineDecisions sets the function that receives the quarantine decisions in the
// log, before the first declaration. Call it before Serve.
func (w *Watch) OnQuarantineDecisions(f func([]quarantine.Decision)) { w.onDecisions = f }

// String names the service in the supervisor's log.
func (w *Watch) String() string { return "watch" }

// Table returns the declaration in force, nil before the first.
func (w *Watch) Table() *routing.Table { return w.table.Load() }

// ListIsCurrent reports whether the list of servers has been current for resumption.AnnounceTime.
// Safe for concurrent use.
func (w *Watch) ListIsCurrent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return w.contact.CurrentSince(now.Add(-resumption.AnnounceTime), now)
}

// SinceConfirmed returns the time since a replica with contact to the leader last answered, which
// is how old the declaration in force here may be; -1 if none has answered since the start. Safe
// for concurrent use.
func (w *Watch) SinceConfirmed() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.contact.LastAnswer()
	if last.IsZero() {
		return -1
	}
	return time.Since(last)
}

// Serve watches until the context ends.
func (w *Watch) Serve(ctx context.Context) error {
	w.bootstrap(ctx)
	for ctx.Err() == nil {
		w.poll(ctx)
		wait(ctx, watchPause)
	}
	return ctx.Err()
}

// bootstrap reads the initial state from any replica, leader or not, so that after a
// power loss of all instances the entries serve again before the replica group has a
// leader. It returns once a replica has answered, or after bootstrapDuration.
func (w *Watch) bootstrap(ctx context.Context) {
	until := time.Now().Add(bootstrapDuration)
	for pause := minBootstrapPause; ctx.Err() == nil && time.Now().Before(until); pause = min(maxBootstrapPause, pause*3/2) {
		if w.queryReplicas(ctx) {
			return
		}
		wait(ctx, pause)
	}
}

// maxBootstrapReplicas bounds the replicas that are asked at the same time. Hundreds of
// entries that start simultaneously repeat their requests; when each asked all of nine replicas,
// the connections alone took a second of a replica's CPU time.
const maxBootstrapReplicas = 3

// pickReplicas picks the replicas to ask at random.
func pickReplicas(addresses []string) []string {
	out := slices.Clone(addresses)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxBootstrapReplicas)]
}

// queryReplicas sends brief requests to some replicas and fetches the full state from one that has
// the newest declaration, if that is newer than the one in force here. It reports whether any replica
// that belongs to a group answered.
func (w *Watch) queryReplicas(ctx context.Context) bool {
	queryCtx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	addresses := pickReplicas(w.client.Directory().Addresses())
	replies := make(chan briefReply, len(addresses))
	for _, address := range addresses {
		go func() {
			replies <- briefReply{address, w.query(queryCtx, address, &watchRequest{Stale: true, Brief: true})}
		}()
	}
	answers := collectAnswers(replies, len(addresses))
	for _, r := range answers {
		w.client.Directory().SetMembers(r.reply.Members)
		if r.reply.InForce > w.version() && w.fetch(ctx, r.address) {
			break
		}
	}
	return len(answers) > 0
}

// comparisonTime is how long the replies of other replicas are awaited after the first one that
// has a declaration. Replicas that work answer within some milliseconds of each other.
const comparisonTime = 30 * time.Millisecond

// collectAnswers returns the replies of replicas that belong to a group, the newest declaration
// first. It waits for all of the n replies, but no longer than comparisonTime after the first
// declaration.
func collectAnswers(replies <-chan briefReply, n int) (answers []briefReply) {
	var enough <-chan time.Time
	for range n {
		select {
		case r := <-replies:
			if r.reply == nil || r.reply.NotLeader {
				continue
			}
			answers = append(answers, r)
			if r.reply.InForce > 0 && enough == nil {
				enough = time.After(comparisonTime)
			}
		case <-enough:
			return newestFirst(answers)
		}
	}
	return newestFirst(answers)
}

func newestFirst(answers []briefReply) []briefReply {
	slices.SortStableFunc(answers, func(a, b briefReply) int { return cmp.Compare(b.reply.InForce, a.reply.InForce) })
	return answers
}

// version returns the version of the declaration in force here, 0 before the first.
func (w *Watch) version() uint64 {
	if t := w.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// briefReply is a replica's reply to a brief request; reply is nil without an answer.
type briefReply struct {
	address string
	reply   *watchReply
}

// fetch applies the full state of a replica, leader or not, and reports whether a
// declaration is in force now.
func (w *Watch) fetch(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	defer cancel()
	ctx, cancel = w.transport.WithResponseTimeout(ctx, address, fetchTimeout)
	defer cancel()
	reply := w.query(ctx, address, &watchRequest{Stale: true, Compressed: true})
	if reply == nil || reply.NotLeader {
		return false
	}
	w.apply(reply, "any replica")
	w.onFleet(w.mirror.Servers(time.Now()))
	return w.table.Load() != nil
}

// query returns a replica's reply, nil without one.
func (w *Watch) query(ctx context.Context, address string, req *watchRequest) *watchReply {
	var reply watchReply
	if err := w.transport.Call(ctx, address, methodWatch, req, &reply); err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "bootstrap watch", "peer": address}).Debug("no answer from this replica yet")
		return nil
	}
	return &reply
}

func (w *Watch) poll(ctx context.Context) {
	timeout := watchTimeout
	if w.SinceConfirmed() < 0 {
		w.queryReplicas(ctx) // a replica that lagged may have given an older declaration
	}
	if w.table.Load() == nil {
		timeout = bootstrapTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	defer cancel()
	at := w.mirror.Position()
	req := watchRequest{Hold: watchHold, Deltas: true, AcrossTerms: true, Compressed: true, LeaderRequired: w.lastFailed, Term: at.Term, Version: at.Version, Declaration: w.version()}
	reply, err := replica.CallLeaderWithin[watchReply](ctx, w.client, methodWatch, &req, timeout)
	w.recordResult(err)
	w.lastFailed = err != nil
	if err == nil {
		w.apply(&reply, "replica group")
	}
	w.onFleet(w.mirror.Servers(time.Now()))
}

// apply applies a reply; from names in the log whose it is.
func (w *Watch) apply(reply *watchReply, from string) {
	w.client.Directory().SetMembers(reply.Members)
	if len(reply.QuarantineDecisions) > 0 {
		w.onDecisions(reply.QuarantineDecisions) // before the first call is accepted
	}
	if len(reply.Declaration) > 0 {
		if err := w.applyDeclaration(reply.Declaration, from); err != nil {
			log.WithError(err).WithField("step", "apply declaration").Error("declaration rejected; the previous one stays in force")
		}
	}
	if reply.Listing != nil {
		w.mirror.Apply(time.Now(), *reply.Listing.Listing)
	}
}

func (w *Watch) applyDeclaration(compressed []byte, from string) error {
	data, err := decompress(compressed)
	if err != nil {
		return err
	}
	d, err := routing.Decode(data)
	if err != nil {
		return eris.Wrap(err, "decode declaration")
	}
	if old := w.table.Load(); old != nil && d.Version <= old.Version() {
		return nil
	}
	t := routing.NewTable(d)
	w.table.Store(t)
	w.onTable(t)
	log.WithFields(log.Fields{"step": "apply declaration", "version": d.Version, "routes": len(d.Routes), "from": from}).Info("declaration in force")
	return nil
}

// recordResult logs the loss and the return of contact with the replica group.
func (w *Watch) recordResult(err error) {
	now := time.Now()
	if err == nil {
		if w.lost {
			log.WithFields(log.Fields{"step": "watch", "silent_ms": now.Sub(w.lastSuccess).Milliseconds()}).Info("replica group is back")
		}
		w.lastSuccess, w.lost = now, false
		w.mu.Lock()
		defer w.mu.Unlock()
		w.contact.Answered(now)
		return
	}
	if !w.lost && now.Sub(w.lastSuccess) >= lossTimeout {
		w.lost = true
		log.WithError(eris.Cause(err)).WithField("step", "watch").Warn("replica group does not answer; what is held stays in force")
	}
}
