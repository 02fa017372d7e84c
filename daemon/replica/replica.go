package replica

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/filesystem"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/storage"
)

// Timing of the group.
const (
	tickPeriod     = 50 * time.Millisecond
	electionTicks  = 10
	heartbeatTicks = 2
	// readPeriod is how long reads are batched, so that one heartbeat round to the
	// followers confirms all of them. No call waits for a read before it is sent.
	readPeriod       = 20 * time.Millisecond
	membershipPeriod = 200 * time.Millisecond
	// leaderlessAfter is twice the maximum election timeout.
	leaderlessAfter = 2 * time.Second
	transferTimeout = 2 * time.Second
	// commitSyncDelay bounds for how long a commit index may be lost by a power loss. Entries that
	// start after the loss of all instances read the state up to it until there is a leader.
	commitSyncDelay = 500 * time.Millisecond
)

// Bounds of the replica.
const (
	defaultSnapshotInterval = 5000
	defaultKeptEntries      = 1000
	inboxLength             = 8192
	maxInboxBatch           = 1024
)

// errRetry reports that leadership was lost while a request was open. The command
// may or may not be committed; it is safe to send it again.
var errRetry = eris.New("leadership changed; send again")

// Options configures a Replica.
type Options struct {
	Transport *frame.Transport
	// Folder is the data folder.
	Folder string
	// FS is the file system of the data folder; nil means the operating system's.
	FS filesystem.FS
	// NewID returns the ID of a new data folder; nil means a random one.
	NewID func() (uint64, error)
	// Directory holds the addresses of the other replicas.
	Directory *Directory
	// Operators maps the names of the operators that are trusted until the first bundle
	// to their public keys.
	Operators map[string]string
}

// Replica is one member of the replica group. It implements suture.Service.
type Replica struct {
	opt     Options
	inbox   chan func()
	stopped chan struct{}
	// send sends messages to members; rand and now are the sources of chance and time.
	send func([]raft.Message)
	rand func(n int) int
	now  func() time.Time
	// snapshotInterval is the number of applied entries between two snapshots, keptEntries the
	// number kept in the log after one, for followers that lag.
	snapshotInterval, keptEntries uint64
	// opening gets the result of a start that still opens the data folder; nil if none does.
	opening <-chan error
	// available is set while the data folder is open.
	available atomic.Bool
	// The following fields, up to leaderless, are accessed by the run loop only.
	store             *storage.Store
	node              *raft.Node
	machine           *state.Machine
	audit             *auditFile
	applied           uint64
	snapshotAt        uint64
	proposals         map[uint64]proposal
	reads             map[uint64]func(error)
	batchedReads      []func(error)
	confirmed         []confirmedRead
	lastReadID        uint64
	leading           bool
	leadTerm          uint64
	incomingSnapshots map[uint64][]byte
	sendingTo         map[uint64]bool
	// senderAddress holds the peer addresses of message senders: a replica that has no
	// membership yet replies to them.
	senderAddress map[uint64]string
	// lastMessage is when each member's last message arrived.
	lastMessage  map[uint64]time.Time
	leadingSince time.Time
	// failure is an error of the store outside process, which returns it.
	failure error
	// unsyncedSince is when the first commit index that is not synced was written.
	unsyncedSince time.Time
	// leaderKnownAt is when this replica last knew a leader.
	leaderKnownAt time.Time

	// leaderless: no leader has been known for leaderlessAfter. A replica that was
	// removed from the group while it was cut off notices only when it requests to join.
	leaderless atomic.Bool
	views      *viewHolder
	// duties is the state of duties in the log. It is not part of the view, since it
	// changes several times a second, which would wake the view's readers.
	duties atomic.Pointer[state.Duties]
}

// proposal is an open proposal; done receives errRetry if an entry of another
// term takes its index.
type proposal struct {
	term uint64
	done func(state.Result, error)
}

// confirmedRead is a confirmed read that waits until the state machine has applied index.
type confirmedRead struct {
	index uint64
	done  func(error)
}

// New opens the data folder and registers the frame handlers. If the folder can't be opened for now,
// as on a full or hanging disk, the replica is out of service and Serve waits for it or tries again. The
// error is ErrUnusableFolder.
func New(opt Options) (*Replica, error) {
	r := newReplica(opt)
	opening := make(chan error, 1)
	go func() { opening <- r.openFolder() }()
	select {
	case err := <-opening:
		if isUnusable(err) {
			return nil, eris.Wrap(ErrUnusableFolder, err.Error())
		}
		if err != nil {
			r.logUnavailable(err)
		}
	case <-time.After(openTimeout):
		log.WithField("step", "open storage").Warn("the disk does not respond; the replica is out of service until it does")
		r.opening = opening
	}
	r.register()
	return r, nil
}

// awaitFolder waits until the data folder that New has begun to open is open, or opens it again after a
// failure.
func (r *Replica) awaitFolder(ctx context.Context) error {
	if r.opening != nil {
		select {
		case err := <-r.opening:
			if err != nil {
				r.logUnavailable(err)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if r.Available() {
		return nil
	}
	return r.reopen(ctx)
}

// newReplica returns a replica whose data folder is not open.
func newReplica(opt Options) *Replica {
	if opt.FS == nil {
		opt.FS = filesystem.OS{}
	}
	r := &Replica{opt: opt, inbox: make(chan func(), inboxLength), stopped: make(chan struct{}), rand: rand.IntN, now: time.Now,
		snapshotInterval: defaultSnapshotInterval, keptEntries: defaultKeptEntries,
		proposals: map[uint64]proposal{}, reads: map[uint64]func(error){}, incomingSnapshots: map[uint64][]byte{}, sendingTo: map[uint64]bool{},
		senderAddress: map[uint64]string{}, lastMessage: map[uint64]time.Time{}, views: newViewHolder()}
	r.send = r.sendMessages
	return r
}

// String names the service in the supervisor's log.
func (r *Replica) String() string { return "replica" }

// Serve runs the replica until the context ends; it transfers leadership before it returns.
func (r *Replica) Serve(ctx context.Context) error {
	defer close(r.stopped)
	go r.findGroup(ctx)
	if err := r.awaitFolder(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	membershipCheck := time.NewTicker(membershipPeriod)
	defer membershipCheck.Stop()
	reads := time.NewTicker(readPeriod)
	defer reads.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.shutdown(ctx)
		case <-ticker.C:
			r.node.Tick()
		case <-membershipCheck.C:
			r.maintainMembership()
			r.updateLeaderless()
		case <-reads.C:
			if len(r.batchedReads) == 0 {
				continue
			}
			r.startReads()
		case f := <-r.inbox:
			f()
			r.drainInbox()
		}
		if err := r.process(); err != nil {
			log.WithError(err).WithField("step", "persist").Error("storage failed; the replica is out of service until it is available again")
			if err := r.reopen(ctx); err != nil {
				return err
			}
		}
	}
}

func (r *Replica) updateLeaderless() {
	if r.node.LeaderID() != raft.None || r.store.Identity().Group == 0 {
		r.leaderKnownAt = r.now()
	}
	r.leaderless.Store(r.now().Sub(r.leaderKnownAt) >= leaderlessAfter)
}

// drainInbox runs the queued functions, so that one sync covers all of them.
func (r *Replica) drainInbox() {
	for range maxInboxBatch {
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
	deadline := time.Now().Add(transferTimeout)
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
	r.failProposals()
	r.closeFolder()
	return ctx.Err()
}

// process handles the node's pending output: it persists, sends and applies it.
func (r *Replica) process() error {
	if err := r.failure; err != nil {
		r.failure = nil
		return err
	}
	for r.node.HasReady() {
		rd := r.node.Ready()
		early, afterSync := splitMessages(rd.Messages)
		r.send(early)
		if rd.Snapshot != nil {
			if err := r.installSnapshot(rd); err != nil {
				return err
			}
		}
		if err := r.persist(rd); err != nil {
			return err
		}
		r.send(afterSync)
		r.apply(rd.Committed)
		r.node.Advance(rd)
		r.confirmReads(rd.Reads)
	}
	r.handleLeadershipChange()
	r.publishView()
	if err := r.syncCommit(); err != nil {
		return err
	}
	return r.snapshotIfDue()
}

// persist writes a batch to the log. A new commit index alone is not synced at once: commits wait
// for nothing but the entries, which a majority has synced, and syncs are what limits a group
// on slow disks.
func (r *Replica) persist(rd raft.Ready) error {
	switch {
	case rd.MustSync:
		return r.store.Append(rd.HardState, rd.Entries)
	case rd.HardState != nil:
		if !r.store.Unsynced() {
			r.unsyncedSince = r.now()
		}
		return r.store.AppendCommit(rd.HardState)
	}
	return nil
}

// syncCommit syncs a commit index that no later entry has synced within commitSyncDelay.
func (r *Replica) syncCommit() error {
	if !r.store.Unsynced() || r.now().Sub(r.unsyncedSince) < commitSyncDelay {
		return nil
	}
	return r.store.Sync()
}

func (r *Replica) apply(entries []raft.Entry) {
	for _, e := range entries {
		r.applied = e.Index
		var res state.Result
		if e.Type == raft.EntryCommand {
			res = r.machine.Apply(e.Data)
		}
		p, ok := r.proposals[e.Index]
		if !ok {
			continue
		}
		delete(r.proposals, e.Index)
		if p.term != e.Term {
			p.done(state.Result{}, errRetry)
			continue
		}
		p.done(res, nil)
	}
	if len(entries) > 0 {
		r.appendAudit()
		r.releaseReads()
	}
}

func (r *Replica) confirmReads(list []raft.ReadState) {
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
		r.confirmed = append(r.confirmed, confirmedRead{rs.Index, done})
	}
	r.releaseReads()
}

func (r *Replica) releaseReads() {
	pending := r.confirmed[:0]
	for _, read := range r.confirmed {
		if read.index > r.applied {
			pending = append(pending, read)
			continue
		}
		read.done(nil)
	}
	r.confirmed = pending
}

// handleLeadershipChange fails open proposals and reads when leadership is lost, and
// proposes the initial operators when it is won; the state machine accepts them only once.
func (r *Replica) handleLeadershipChange() {
	lead, term := r.node.Leading()
	if lead == r.leading && (!lead || term == r.leadTerm) {
		return
	}
	r.leading, r.leadTerm = lead, term
	r.leadingSince = r.now()
	log.WithField("term", term).WithField("leader", lead).Info("leadership")
	if !lead {
		r.failProposals()
		return
	}
	bootstrap := state.Command{Type: state.CommandBootstrap, Operators: r.opt.Operators}
	r.node.Propose(bootstrap.Encode())
}

func (r *Replica) failProposals() {
	r.startReads()
	for i, p := range r.proposals {
		delete(r.proposals, i)
		p.done(state.Result{}, errRetry)
	}
}

// enqueue schedules f for the run loop; it returns false if the replica has stopped.
func (r *Replica) enqueue(f func()) bool {
	select {
	case r.inbox <- f:
		return true
	case <-r.stopped:
		return false
	}
}

// propose appends a command to the log; done is called once, from the run loop.
func (r *Replica) propose(c *state.Command, done func(state.Result, error)) {
	c.NowMillis = r.now().UnixMilli()
	index, term, err := r.node.Propose(c.Encode())
	if err != nil {
		done(state.Result{}, err)
		return
	}
	r.proposals[index] = proposal{term, done}
}

// read calls done, from the run loop, once a linearizable read is possible.
func (r *Replica) read(done func(error)) {
	if lead, _ := r.node.Leading(); !lead {
		done(raft.ErrNotLeader)
		return
	}
	r.batchedReads = append(r.batchedReads, done)
}

// startReads requests a read index for all batched reads.
func (r *Replica) startReads() {
	list := r.batchedReads
	r.batchedReads = nil
	for _, done := range list {
		r.lastReadID++
		r.reads[r.lastReadID] = done
		if err := r.node.ReadIndex(r.lastReadID); err != nil {
			delete(r.reads, r.lastReadID)
			done(err)
		}
	}
}

// leaderHint returns a redirect to the leader, if known.
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
	t.HandleRequest(methodSoftware, r.handleSoftware)
}
