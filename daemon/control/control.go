// Package control accepts routing declarations and the backend servers'
// announcements on any instance with a replica and forwards them: declarations,
// registrations and withdrawals are committed to the replica group's log;
// heartbeats go to the leader only. Entries watch the resulting fleet.
package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/core/state"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/boottime"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/loop"
	"cardamomwick.example/daemon/replica"
)

// Timing of the service.
const (
	// overdueCheckPeriod is the interval between checks for silent servers.
	overdueCheckPeriod = 200 * time.Millisecond
	// declareTimeout bounds the commit of a declaration. Operators go on to
	// another instance after about a second; a later commit is harmless.
	declareTimeout = 2 * time.Second
	// readTimeout bounds a linearizable read, for the same reason.
	readTimeout = 900 * time.Millisecond
	// maxHold bounds how long a watch request is held open.
	maxHold = time.Second
)

// Service is the control service of an instance with a replica. It implements
// suture.Service.
type Service struct {
	replica *replica.Replica
	client  *replica.Client

	// mu guards what announcements need: registry, heartbeats and queue. It is held briefly;
	// work that grows with the number of watchers is done under relay.mu. Whoever needs both
	// locks relay.mu first.
	mu         sync.Mutex
	registry   *fleet.Registry
	heartbeats heartbeatBatch
	queue      announcementQueue
	// followed is the state of the log that the registry has. It is changed under mu.
	followed atomic.Pointer[followedState]
	foreign  foreignCounter
	relay    relay
	notifier notifier
	// watchers counts the open watch requests.
	watchers atomic.Int64
	// lastSlow is when this leader was last late with a message of a replica.
	lastSlow atomic.Pointer[time.Time]
	// queued wakes forwardAnnouncements, unregistered wakes registerServers.
	queued, unregistered chan struct{}
	// heardFrom returns when a peer last answered anything, by boottime.
	heardFrom func(address string) time.Time
	// instances lists the live instances.
	instances func() []membership.Instance
	// liveReplicas are the live replicas, among which the servers are distributed.
	liveReplicas atomic.Pointer[[]membership.Instance]
	// staleReply and compressedStaleReply cache the reply to entries that start while there is no
	// leader.
	staleReply, compressedStaleReply staleReplyCache
	// decoded caches the last decoded declaration, guarded by mu.
	decoded *routing.Declaration
}

// followedState identifies a state of the log and the last term in which this replica was the
// leader; the zero value is the empty log.
type followedState struct{ revision, lastLedTerm uint64 }

// New returns a Service and registers its frame handlers.
func New(t *frame.Transport, r *replica.Replica, c *replica.Client) *Service {
	s := &Service{replica: r, client: c, registry: fleet.NewRegistry(), notifier: newNotifier(), heartbeats: heartbeatBatch{}, queue: announcementQueue{},
		queued: make(chan struct{}, 1), unregistered: make(chan struct{}, 1), relay: relay{startedAt: boottime.Now()},
		heardFrom: t.HeardFrom, instances: func() []membership.Instance { return nil }}
	s.followed.Store(&followedState{})
	t.HandleRequest(methodAnnounce, s.handleAnnounce)
	t.HandleRequest(methodHeartbeats, s.handleHeartbeats)
	t.HandleRequest(methodNewestStart, s.handleNewestStart)
	t.HandleRequest(methodWatch, s.handleWatch)
	return s
}

// String names the service in the supervisor's log.
func (s *Service) String() string { return "control" }

// Serve runs the service's loops until the context ends: it marks silent servers as
// overdue, forwards announcements and follows the leader's fleet.
func (s *Service) Serve(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait() // no loop may outlive the service
	loops.Go(func() { s.followLeader(ctx) })
	loops.Go(func() { s.forwardAnnouncements(ctx) })
	loops.Go(func() { s.registerServers(ctx) })
	loops.Go(func() { _ = s.departTimedOut(ctx) })    // ends with the context
	loops.Go(func() { _ = s.forwardHeartbeats(ctx) }) // ends with the context
	return loop.Every(ctx, overdueCheckPeriod, func(now time.Time) {
		v, _ := s.replica.View()
		s.client.Directory().SetMembers(v.Members)
		s.updateLiveReplicas(v.Members)
		s.follow(v)
		if !v.Leading {
			if v.Leader != "" {
				s.relay.recordContact(s.heardFrom(v.Leader))
			}
			return
		}
		s.relay.recordLed()
		s.update(func() { s.registry.MarkOverdue(now) })
	})
}

// maxServersPerWithdrawal bounds the withdrawals in one log entry: 512 are some 20 KB.
const maxServersPerWithdrawal = 512

// departTimedOut withdraws servers whose announcements timed out, while this replica is the
// leader, until the context ends. Withdrawals are batched, since thousands of servers that
// are lost together time out together.
func (s *Service) departTimedOut(ctx context.Context) error {
	return loop.Every(ctx, overdueCheckPeriod, func(now time.Time) {
		if v, _ := s.replica.View(); !v.Leading {
			return
		}
		s.mu.Lock()
		timedOut := s.registry.TimedOut(now)
		s.mu.Unlock()
		for batch := range slices.Chunk(timedOut, maxServersPerWithdrawal) {
			if err := s.departServers(ctx, batch); err != nil {
				log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "depart silent servers", "servers": len(batch)}).Warn("will be retried")
				return
			}
		}
	})
}

// departServers withdraws servers with a single log entry.
func (s *Service) departServers(ctx context.Context, ids []string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	c := &state.Command{Type: state.CommandWithdraw}
	for _, id := range ids {
		c.Withdrawals = append(c.Withdrawals, fleet.Withdrawal{ServerID: id, Phase: fleet.Departed})
	}
	if _, err := s.client.Propose(ctx, c); err != nil {
		return err
	}
	log.WithFields(log.Fields{"step": "depart silent servers", "servers": len(ids), "first": ids[0]}).Info("servers timed out and were withdrawn")
	return nil
}

// departStart withdraws one start of a server.
func (s *Service) departStart(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return s.withdraw(ctx, fleet.Withdrawal{ServerID: id, Phase: fleet.Departed}, nil)
}

// update changes the registry and notifies the watchers if its version changed.
func (s *Service) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.registry.Version()
	change()
	if s.registry.Version() != before {
		s.notifier.notify()
	}
}

// Declare commits a declaration; nil means that it or a higher version is in
// force durably. The error is a *routing.InvalidError for an invalid
// declaration; after any other error the declaration may or may not be in force.
func (s *Service) Declare(ctx context.Context, d *routing.Declaration, source []byte) error {
	if err := d.Check(); err != nil {
		return err
	}
	data, err := d.Encode()
	if err != nil {
		return eris.Wrap(err, "encode declaration")
	}
	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	compressedData, err := compress(data)
	if err != nil {
		return err
	}
	compressedSource, err := compress(source)
	if err != nil {
		return err
	}
	cmd := &state.Command{Type: state.CommandDeclare, Declare: &state.DeclareCommand{Version: d.Version, Declaration: compressedData, Source: compressedSource}}
	res, err := s.client.Propose(ctx, cmd)
	if err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "declare", "version": d.Version}).Warn("not acknowledged")
		return err
	}
	log.WithFields(log.Fields{"step": "declare", "version": d.Version, "in_force": res.Order.Version, "routes": len(d.Routes)}).Info("declaration acknowledged")
	return nil
}

// Source returns the declaration in force as the operator sent it, nil before the
// first.
func (s *Service) Source(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	compressed, err := s.client.Source(ctx)
	if err != nil || compressed == nil {
		return nil, err
	}
	return decompress(compressed)
}

// Announce forwards an announcement; nil acknowledges it. A draining server is
// withdrawn through the log, so that the withdrawal survives a change of leader.
func (s *Service) Announce(ctx context.Context, server fleet.Server) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if server.Phase == fleet.Ready && (s.recordHeartbeat(server) || s.enqueueAnnouncement(server)) {
		return nil
	}
	if server.Phase != fleet.Ready {
		return s.withdraw(ctx, fleet.Withdrawal{ServerID: server.ID, Phase: server.Phase}, &server)
	}
	return s.announceToLeader(ctx, server)
}

// Depart withdraws a server that has ended; nil acknowledges it. A start without a time
// denotes the server's newest known start.
func (s *Service) Depart(ctx context.Context, start fleet.Start) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	id := fleet.StartID(start)
	if start.StartedAt == 0 {
		var err error
		if id, err = s.newestStart(ctx, start.Name); err != nil {
			return err
		}
	}
	return s.departStart(ctx, id)
}

// newestStart returns the ID of a server's newest start. Unless the name itself is a
// registered ID, it asks the leader, which knows starts that the log lacks as yet.
func (s *Service) newestStart(ctx context.Context, name string) (string, error) {
	if v, _ := s.replica.View(); slices.ContainsFunc(v.Routing.Servers, func(x fleet.Server) bool { return x.ID == name }) {
		return name, nil
	}
	reply, err := replica.CallLeader[newestStartReply](ctx, s.client, methodNewestStart, name)
	return reply.ID, err
}

func (s *Service) handleNewestStart(_ context.Context, _ string, body []byte) (any, error) {
	var name string
	if err := wire.Decode(body, &name); err != nil {
		return nil, eris.Wrap(err, "decode name of server")
	}
	v, _ := s.replica.View()
	if !v.Leading {
		return newestStartReply{Redirect: replica.NotLeaderReply(v)}, nil
	}
	s.follow(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	return newestStartReply{ID: s.registry.NewestID(name)}, nil
}

func (s *Service) withdraw(ctx context.Context, w fleet.Withdrawal, server *fleet.Server) error {
	if v, _ := s.replica.View(); !isWithdrawn(v.Routing, w) {
		if _, err := s.client.Propose(ctx, &state.Command{Type: state.CommandWithdraw, Withdraw: &w}); err != nil {
			return err
		}
		log.WithFields(log.Fields{"step": "withdraw server", "server": w.ServerID, "phase": w.Phase.String()}).Info("server leaves")
	}
	if server == nil {
		return nil
	}
	return s.announceToLeader(ctx, *server)
}

func isWithdrawn(r state.Routing, w fleet.Withdrawal) bool {
	for _, x := range r.Withdrawals {
		if x.ServerID == w.ServerID {
			return x.Phase >= w.Phase
		}
	}
	return false
}

// follow applies the replicated log's state to the registry and to the relayed fleet. When
// this replica becomes the leader, every server's heartbeat timeout starts anew.
func (s *Service) follow(v replica.View) {
	if s.hasFollowed(v) {
		return
	}
	s.relay.applyLog(v)
	s.update(func() {
		if s.hasFollowed(v) {
			return
		}
		s.registry.RecordStarts(v.Routing.Starts)
		for _, w := range v.Routing.Withdrawals {
			s.registry.Withdraw(w.ServerID, w.Phase)
		}
		next := followedState{revision: v.Routing.Revision, lastLedTerm: s.followed.Load().lastLedTerm}
		if v.Leading && v.Term != next.lastLedTerm {
			next.lastLedTerm = v.Term
			s.registry.Restore(time.Now(), v.Routing.Servers)
		}
		s.followed.Store(&next)
	})
}

// hasFollowed reports whether the registry has the state of the log in a view.
func (s *Service) hasFollowed(v replica.View) bool {
	last := s.followed.Load()
	return last.revision == v.Routing.Revision && (!v.Leading || last.lastLedTerm == v.Term)
}
