package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/replica"
)

// Timing of a watch. A change must be in force everywhere within 2 s of its
// acknowledgement: one round that a lost leader swallows takes the client's
// attempt timeout of 0.7 s, the next one finds the new leader.
const (
	watchHold = 450 * time.Millisecond
	// watchTimeout bounds one round including the search for the leader.
	watchTimeout = 1500 * time.Millisecond
	watchPause   = 20 * time.Millisecond
	// beginTimeout bounds the questions to the replicas at the start.
	beginTimeout = 150 * time.Millisecond
	// fetchTimeout bounds the transfer of everything that a replica holds: 2,000 engines
	// are 240 KB, 0.2 s on a link of 10 Mbit/s that nothing else uses. All replicas asked
	// for it at once, each again after 150 ms, kept the links of entries full for seconds
	// after a restart of everything.
	fetchTimeout = time.Second
	// beginPause is the pause after a round of questions that no replica answered;
	// it grows by half each time, up to mostBeginPause. Instances that restart
	// together miss each other by some tens of milliseconds, and each of them costs
	// the calls that wait for a declaration.
	beginPause     = 10 * time.Millisecond
	mostBeginPause = 100 * time.Millisecond
	// beginTime is how long the replicas are asked so.
	beginTime = time.Second
	// lostAfter is how long no round may succeed before that is logged.
	lostAfter = 3 * time.Second
)

// Watch keeps an entry's copy of the declaration in force and of the fleet. A
// copy never goes back to an older declaration. It is a suture service.
type Watch struct {
	transport *frame.Transport
	client    *replica.Client
	table     atomic.Pointer[routing.Table]

	mirror *fleet.Mirror
	heard  time.Time
	lost   bool
	// failed: no replica has answered the last round.
	failed bool
	// onFleet is told of each new listing.
	onFleet func([]fleet.Server)
	onTable func(*routing.Table)
	onHolds func([]quarantine.Decision)
}

// NewWatch returns a watch that knows nothing yet; the functions are called
// from its loop with each new declaration and listing.
func NewWatch(t *frame.Transport, c *replica.Client, onTable func(*routing.Table), onFleet func([]fleet.Server)) *Watch {
	return &Watch{transport: t, client: c, mirror: fleet.NewMirror(), heard: time.Now(), onFleet: onFleet, onTable: onTable,
		onHolds: func([]quarantine.Decision) {}}
}

// OnHolds sets what is told, before the first declaration, of the requests that the log
// says are held. Call it before Serve.
func (w *Watch) OnHolds(f func([]quarantine.Decision)) { w.onHolds = f }

// String names the service in the supervisor's log.
func (w *Watch) String() string { return "watch" }

// Table returns the declaration in force, nil before the first.
func (w *Watch) Table() *routing.Table { return w.table.Load() }

// Serve watches until the context ends.
func (w *Watch) Serve(ctx context.Context) error {
	w.begin(ctx)
	for ctx.Err() == nil {
		w.round(ctx)
		wait(ctx, watchPause)
	}
	return ctx.Err()
}

// begin asks replicas together for what they know, leader or not: after a
// power loss of all instances the entries serve again before the group has a
// leader. It ends once a replica has answered.
func (w *Watch) begin(ctx context.Context) {
	until := time.Now().Add(beginTime)
	for pause := beginPause; ctx.Err() == nil && time.Now().Before(until); pause = min(mostBeginPause, pause*3/2) {
		if w.askSome(ctx) {
			return
		}
		wait(ctx, pause)
	}
}

// mostAsked bounds the replicas that are asked together. Hundreds of entries that start at
// once ask again and again; with all of nine each time, connections alone took a second of
// a replica's processor.
const mostAsked = 3

// some draws the replicas to ask.
func some(addresses []string) []string {
	out := slices.Clone(addresses)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), mostAsked)]
}

// askSome asks some replicas what they hold and takes everything from the first that has
// a declaration. It reports whether any replica that has a group has answered.
func (w *Watch) askSome(ctx context.Context) bool {
	asking, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	addresses := some(w.client.Directory().Addresses())
	replies := make(chan briefReply, len(addresses))
	for _, address := range addresses {
		go func() {
			replies <- briefReply{address, w.ask(asking, address, &watchRequest{Stale: true, Brief: true})}
		}()
	}
	answered := false
	for range addresses {
		r := <-replies
		if r.reply == nil || r.reply.NotLeader {
			continue
		}
		answered = true
		w.client.Directory().Learn(r.reply.Members)
		if r.reply.InForce > 0 && w.fetch(ctx, r.address) {
			return true
		}
	}
	return answered
}

// briefReply is what a replica says it holds; nil without an answer.
type briefReply struct {
	address string
	reply   *watchReply
}

// fetch takes what a replica holds, leader or not, and reports whether there is a
// declaration now.
func (w *Watch) fetch(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply := w.ask(ctx, address, &watchRequest{Stale: true})
	if reply == nil || reply.NotLeader {
		return false
	}
	w.take(reply)
	w.onFleet(w.mirror.Servers(time.Now()))
	return w.table.Load() != nil
}

// ask returns a replica's answer, nil without one.
func (w *Watch) ask(ctx context.Context, address string, req *watchRequest) *watchReply {
	var reply watchReply
	if err := w.transport.Call(ctx, address, methodWatch, req, &reply); err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "begin watch", "peer": address}).Debug("no answer from this replica yet")
		return nil
	}
	return &reply
}

func (w *Watch) round(ctx context.Context) {
	timeout := watchTimeout
	if w.table.Load() == nil {
		w.askSome(ctx)
		timeout = beginTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	at := w.mirror.Position()
	req := watchRequest{Hold: watchHold, Differences: true, AcrossTerms: true, Insists: w.failed, Term: at.Term, Version: at.Version}
	if t := w.table.Load(); t != nil {
		req.Declaration = t.Version()
	}
	reply, err := replica.CallLeader[watchReply](ctx, w.client, methodWatch, &req)
	w.note(err)
	w.failed = err != nil
	if err == nil {
		w.take(&reply)
	}
	w.onFleet(w.mirror.Servers(time.Now()))
}

func (w *Watch) take(reply *watchReply) {
	w.client.Directory().Learn(reply.Members)
	if len(reply.Holds) > 0 {
		w.onHolds(reply.Holds) // before the first call is taken
	}
	if len(reply.Declaration) > 0 {
		if err := w.takeDeclaration(reply.Declaration); err != nil {
			log.WithError(err).WithField("step", "take declaration").Error("the declaration held stays")
		}
	}
	if reply.Listing != nil {
		w.mirror.Apply(time.Now(), *reply.Listing.Listing)
	}
}

func (w *Watch) takeDeclaration(packed []byte) error {
	data, err := decompress(packed)
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
	log.WithFields(log.Fields{"step": "take declaration", "version": d.Version, "routes": len(d.Routes)}).Info("declaration in force")
	return nil
}

// note logs the loss and the return of the replica group.
func (w *Watch) note(err error) {
	now := time.Now()
	if err == nil {
		if w.lost {
			log.WithFields(log.Fields{"step": "watch", "silent_ms": now.Sub(w.heard).Milliseconds()}).Info("replica group is back")
		}
		w.heard, w.lost = now, false
		return
	}
	if !w.lost && now.Sub(w.heard) >= lostAfter {
		w.lost = true
		log.WithError(eris.Cause(err)).WithField("step", "watch").Warn("replica group does not answer; what is held stays in force")
	}
}
