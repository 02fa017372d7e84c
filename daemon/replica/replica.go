package replica

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/state"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/storage"
)

// Timing of the group.
const (
	tickPeriod     = 50 * time.Millisecond
	electionTicks  = 10
	heartbeatTicks = 2
	// readPeriod is how long reads gather, so that one heartbeat round to the
	// followers confirms all of them. No call waits for a read before it is sent.
	readPeriod     = 20 * time.Millisecond
	maintainPeriod = 200 * time.Millisecond
	// leaderlessAfter is two of the longest election timeouts.
	leaderlessAfter = 2 * time.Second
	transferLimit   = 2 * time.Second
)

// Bounds of the replica.
const (
	// snapshotEvery is how many applied entries make a snapshot due.
	snapshotEvery = 5000
	// keepEntries stay in the log after a snapshot, for followers that lag.
	keepEntries = 1000
	inboxLength = 8192
	maxBatch    = 1024
)

// errRetry: leadership was lost while a request was open. The command may or
// may not be committed; sending it again is safe.
var errRetry = eris.New("leadership changed; send again")

// Options sets up a Replica.
type Options struct {
	Transport *frame.Transport
	// Folder is the data folder.
	Folder string
	// Directory tells where the other replicas are.
	Directory *Directory
	// Operators are trusted until the first bundle; name to public key.
	Operators map[string]string
}

// Replica is one member of the group. It is a suture service.
type Replica struct {
	opt     Options
	inbox   chan func()
	stopped chan struct{}
	// The fields below belong to the run loop.
	store      *storage.Store
	node       *raft.Node
	machine    *state.Machine
	audit      *auditFile
	applied    uint64
	snapshotAt uint64
	waiters    map[uint64]waiter
	reads      map[uint64]func(error)
	gathered   []func(error)
	due        []dueRead
	readSeq    uint64
	leading    bool
	leadTerm   uint64
	incoming   map[uint64][]byte
	sending    map[uint64]bool
	// heardFrom holds the senders' peer addresses: a replica that has no
	// membership yet answers there.
	heardFrom map[uint64]string
	// heardAt is when a member's last message came.
	heardAt      map[uint64]time.Time
	leadingSince time.Time
	// leaderSeen is when this replica last knew a leader.
	leaderSeen time.Time

	// leaderless: no leader has been known for leaderlessAfter. A replica that
	// was ended while it was cut off learns of that only by asking to join.
	leaderless atomic.Bool
	board      *viewBoard
	// duties is what the log holds of duties, beside the board: it changes several times
	// a second, and nobody waits for it.
	duties atomic.Pointer[state.Duties]
}

type waiter struct {
	term uint64
	done func(state.Result, error)
}

// dueRead waits until the state machine has applied index.
type dueRead struct {
	index uint64
	done  func(error)
}

// New opens the data folder and registers the frame handlers.
func New(opt Options) (*Replica, error) {
	store, loaded, err := storage.Open(opt.Folder)
	if err != nil {
		return nil, err
	}
	if loaded.TornBytes > 0 {
		log.WithField("bytes", loaded.TornBytes).WithField("step", "open storage").Warn("cut a torn record off the log")
	}
	r := &Replica{opt: opt, inbox: make(chan func(), inboxLength), stopped: make(chan struct{}), store: store, machine: state.New(),
		waiters: map[uint64]waiter{}, reads: map[uint64]func(error){}, incoming: map[uint64][]byte{}, sending: map[uint64]bool{},
		heardFrom: map[uint64]string{}, heardAt: map[uint64]time.Time{}, board: newViewBoard()}
	if err := r.restore(loaded); err != nil {
		return nil, err
	}
	r.register()
	return r, nil
}

func (r *Replica) restore(l *storage.Loaded) error {
	if len(l.Snapshot.Data) > 0 {
		if err := r.machine.Restore(l.Snapshot.Data); err != nil {
			return eris.Wrap(err, "restore snapshot")
		}
	}
	var err error
	if r.audit, err = openAudit(filepath.Join(r.opt.Folder, auditName)); err != nil {
		return err
	}
	r.applied = l.Snapshot.Meta.Index
	r.snapshotAt = r.applied
	r.node = raft.New(raft.Config{ID: r.store.Identity().ID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		Rand: rand.IntN, State: l.State, Snapshot: l.Snapshot.Meta, Entries: l.Entries})
	return nil
}

// String names the service in the supervisor's log.
func (r *Replica) String() string { return "replica" }

// Serve runs the replica until the context ends, handing leadership on first.
func (r *Replica) Serve(ctx context.Context) error {
	defer close(r.stopped)
	go r.findGroup(ctx)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	maintain := time.NewTicker(maintainPeriod)
	defer maintain.Stop()
	reads := time.NewTicker(readPeriod)
	defer reads.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.shutdown(ctx)
		case <-ticker.C:
			r.node.Tick()
		case <-maintain.C:
			r.maintain()
			r.noteLeaderless()
		case <-reads.C:
			if len(r.gathered) == 0 {
				continue
			}
			r.startReads()
		case f := <-r.inbox:
			f()
			r.drainInbox()
		}
		if err := r.process(); err != nil {
			log.WithError(err).WithField("step", "persist").Error("storage failed; the replica leaves the group's work until it is back")
			if err := r.reopen(ctx); err != nil {
				return err
			}
		}
	}
}

func (r *Replica) noteLeaderless() {
	if r.node.LeaderID() != raft.None || r.store.Identity().Group == 0 {
		r.leaderSeen = time.Now()
	}
	r.leaderless.Store(time.Since(r.leaderSeen) >= leaderlessAfter)
}

// drainInbox takes what has gathered, so that one sync serves many.
func (r *Replica) drainInbox() {
	for range maxBatch {
		select {
		case f := <-r.inbox:
			f()
		default:
			return
		}
	}
}

func (r *Replica) shutdown(ctx context.Context) error {
	r.node.TransferLeadership()
	deadline := time.Now().Add(transferLimit)
	for time.Now().Before(deadline) {
		if err := r.process(); err != nil {
			return err
		}
		if lead, _ := r.node.Leading(); !lead {
			break
		}
		select {
		case f := <-r.inbox:
			f()
		case <-time.After(tickPeriod):
		}
	}
	r.failWaiters()
	r.audit.close()
	r.store.Close()
	return ctx.Err()
}

// process takes the node's batches: persist, send, apply.
func (r *Replica) process() error {
	for r.node.HasReady() {
		rd := r.node.Ready()
		now, later := splitMessages(rd.Messages)
		r.send(now)
		if rd.Snapshot != nil {
			if err := r.installSnapshot(rd); err != nil {
				return err
			}
		}
		if rd.HardState != nil || len(rd.Entries) > 0 {
			if err := r.store.Append(rd.HardState, rd.Entries); err != nil {
				return err
			}
		}
		r.send(later)
		r.apply(rd.Committed)
		r.node.Advance(rd)
		r.takeReads(rd.Reads)
	}
	r.noteLeadership()
	r.publishView()
	return r.snapshotIfDue()
}

// splitMessages tells a leader's appends and heartbeats, which may leave while
// its own disk syncs, from promises, which may not.
func splitMessages(list []raft.Message) (now, later []raft.Message) {
	for _, m := range list {
		switch m.Type {
		case raft.MsgAppend, raft.MsgHeartbeat, raft.MsgPreVote, raft.MsgPreVoteReply:
			now = append(now, m)
		default:
			later = append(later, m)
		}
	}
	return now, later
}

func (r *Replica) send(list []raft.Message) {
	members := r.node.Status().Membership
	byMember := map[uint64][]raft.Message{}
	for _, m := range list {
		if m.Type == raft.MsgSnapshot {
			r.sendSnapshot(m, members)
			continue
		}
		byMember[m.To] = append(byMember[m.To], m)
	}
	for id, msgs := range byMember {
		address := r.heardFrom[id]
		if member, ok := members.Find(id); ok {
			address = member.Address
		}
		if address == "" {
			continue
		}
		env := raftEnvelope{Group: r.store.Identity().Group, Messages: msgs}
		if err := r.opt.Transport.Send(address, methodRaft, &env); err != nil {
			r.node.ReportUnreachable(id)
		}
	}
}

func (r *Replica) apply(entries []raft.Entry) {
	for _, e := range entries {
		r.applied = e.Index
		var res state.Result
		if e.Type == raft.EntryCommand {
			res = r.machine.Apply(e.Data)
		}
		w, ok := r.waiters[e.Index]
		if !ok {
			continue
		}
		delete(r.waiters, e.Index)
		if w.term != e.Term {
			w.done(state.Result{}, errRetry)
			continue
		}
		w.done(res, nil)
	}
	if len(entries) > 0 {
		r.audit.append(r.machine.Audit(r.audit.last))
		r.releaseReads()
	}
}

func (r *Replica) takeReads(list []raft.ReadState) {
	for _, rs := range list {
		done := r.reads[rs.Context]
		delete(r.reads, rs.Context)
		if done == nil {
			continue
		}
		if !rs.Ok {
			done(errRetry)
			continue
		}
		r.due = append(r.due, dueRead{rs.Index, done})
	}
	r.releaseReads()
}

func (r *Replica) releaseReads() {
	kept := r.due[:0]
	for _, d := range r.due {
		if d.index > r.applied {
			kept = append(kept, d)
			continue
		}
		d.done(nil)
	}
	r.due = kept
}

// noteLeadership fails what waits when leadership is lost and introduces the
// operators when it is won over an empty state.
func (r *Replica) noteLeadership() {
	lead, term := r.node.Leading()
	if lead == r.leading && (!lead || term == r.leadTerm) {
		return
	}
	r.leading, r.leadTerm = lead, term
	r.leadingSince = time.Now()
	log.WithField("term", term).WithField("leader", lead).Info("leadership")
	if !lead {
		r.failWaiters()
		return
	}
	bootstrap := state.Command{Type: state.CommandBootstrap, Operators: r.opt.Operators}
	r.node.Propose(bootstrap.Encode())
}

func (r *Replica) failWaiters() {
	r.startReads()
	for i, w := range r.waiters {
		delete(r.waiters, i)
		w.done(state.Result{}, errRetry)
	}
}

// do runs f in the loop; false when the replica has stopped.
func (r *Replica) do(f func()) bool {
	select {
	case r.inbox <- f:
		return true
	case <-r.stopped:
		return false
	}
}

// propose appends a command; done is called once, from the loop.
func (r *Replica) propose(c *state.Command, done func(state.Result, error)) {
	c.NowMillis = time.Now().UnixMilli()
	index, term, err := r.node.Propose(c.Encode())
	if err != nil {
		done(state.Result{}, err)
		return
	}
	r.waiters[index] = waiter{term, done}
}

// read calls done once a linearizable read is possible, from the loop.
func (r *Replica) read(done func(error)) {
	if lead, _ := r.node.Leading(); !lead {
		done(raft.ErrNotLeader)
		return
	}
	r.gathered = append(r.gathered, done)
}

// startReads asks for a read point for all gathered reads.
func (r *Replica) startReads() {
	list := r.gathered
	r.gathered = nil
	for _, done := range list {
		r.readSeq++
		r.reads[r.readSeq] = done
		if err := r.node.ReadIndex(r.readSeq); err != nil {
			delete(r.reads, r.readSeq)
			done(err)
		}
	}
}

// leaderHint returns a redirect to the known leader.
func (r *Replica) leaderHint(err error) redirect {
	out := redirect{NotLeader: true, Retry: eris.Is(err, errRetry)}
	if m, ok := r.node.Status().Membership.Find(r.node.LeaderID()); ok && m.ID != r.store.Identity().ID {
		out.Leader = m.Address
	}
	return out
}

func (r *Replica) register() {
	t := r.opt.Transport
	t.HandleOneWay(methodRaft, r.handleRaft)
	t.HandleRequest(methodSnapshot, r.handleSnapshot)
	t.HandleRequest(methodHello, r.handleHello)
	t.HandleRequest(methodJoin, r.handleJoin)
	t.HandleRequest(methodPropose, r.handlePropose)
	t.HandleRequest(methodLease, r.handleLease)
	t.HandleRequest(methodStatus, r.handleStatus)
	t.HandleRequest(methodAudit, r.handleAudit)
	t.HandleRequest(methodOrphans, r.handleOrphans)
	t.HandleRequest(methodCall, r.handleCall)
	t.HandleRequest(methodSource, r.handleSource)
}

func (r *Replica) handleRaft(from string, body []byte) {
	var env raftEnvelope
	if err := wire.Decode(body, &env); err != nil {
		log.WithError(err).WithField("step", "decode raft message").Warn("message dropped")
		return
	}
	r.do(func() {
		if env.Group != r.store.Identity().Group || env.Group == 0 {
			return
		}
		for _, m := range env.Messages {
			r.heardFrom[m.From] = from
			r.heardAt[m.From] = time.Now()
			r.node.Step(m)
		}
	})
}
