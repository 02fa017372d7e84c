// Package control takes routing declarations and the backend servers'
// announcements on any instance that callers of control reach, and hands both
// on: what must not be lost goes through the replica group's log, the rest to
// its leader, which the entries watch.
package control

import (
	"context"
	"slices"
	"sync"
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
	// expirePeriod is how often silent servers are looked for.
	expirePeriod = 200 * time.Millisecond
	// declareTimeout bounds the commit of a declaration. Operators go on to
	// another instance after about a second; a later commit is harmless.
	declareTimeout = 2 * time.Second
	// readTimeout bounds a linearizable read, for the same reason.
	readTimeout = 900 * time.Millisecond
	// maxHold bounds how long a watching instance may be kept waiting.
	maxHold = time.Second
)

// Service runs on the instances that hold replicas. It is a suture service.
type Service struct {
	replica *replica.Replica
	client  *replica.Client

	mu       sync.Mutex
	registry *fleet.Registry
	revision uint64
	changed  chan struct{}
	// woken is when those that watch were last woken; waking: they will be after a pause.
	woken  time.Time
	waking bool
	// ledTerm is the last term that this replica led.
	ledTerm uint64
	foreign foreign
	relay   relay
	alive   alive
	// watching counts the instances that are kept waiting for news.
	watching   int
	announcing announcing
	// announced wakes the loop that tells the leader what is announced, unlogged the
	// one that looks for servers that the log lacks.
	announced, unlogged chan struct{}
	// instances lists the instances that are alive.
	instances func() []membership.Instance
	// homes are the replicas that announcements may go to.
	homes []membership.Instance
	// packed is what replicas without a leader tell entries that have just started.
	packed packedNews
	// shared are the listings that several instances were told.
	shared shared
	// decoded is the declaration that was decoded last.
	decoded *routing.Declaration
}

// New registers the frame handlers.
func New(t *frame.Transport, r *replica.Replica, c *replica.Client) *Service {
	s := &Service{replica: r, client: c, registry: fleet.NewRegistry(), changed: make(chan struct{}), alive: alive{},
		announced: make(chan struct{}, 1), unlogged: make(chan struct{}, 1), relay: relay{began: boottime.Now()},
		instances: func() []membership.Instance { return nil }}
	t.HandleRequest(methodAnnounce, s.handleAnnounce)
	t.HandleRequest(methodAlive, s.handleAlive)
	t.HandleRequest(methodNewest, s.handleNewest)
	t.HandleRequest(methodWatch, s.handleWatch)
	return s
}

// String names the service in the supervisor's log.
func (s *Service) String() string { return "control" }

// Serve notes silent servers, and follows the leader's fleet for those that watch here,
// until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait() // nothing may go on once the service has stopped
	loops.Go(func() { s.followLeader(ctx) })
	loops.Go(func() { s.tellAnnounced(ctx) })
	loops.Go(func() { s.registerServers(ctx) })
	loops.Go(func() { _ = s.departSilent(ctx) }) // ends with the context
	loops.Go(func() { _ = s.tellAlive(ctx) })    // ends with the context
	return loop.Every(ctx, expirePeriod, func(now time.Time) {
		v, _ := s.replica.View()
		s.client.Directory().Learn(v.Members)
		s.noteHomes(v.Members)
		s.follow(v)
		if !v.Leading {
			return
		}
		s.update(func() {
			s.relay.led = boottime.Now()
			s.registry.MarkOverdue(now)
		})
	})
}

// mostDeparting bounds the withdrawals of one entry of the log: 512 are some 20 KB.
const mostDeparting = 512

// departSilent ends servers that neither announce nor depart for long, while this replica
// leads, until the context ends. They are ended together: thousands that were lost at once
// fall silent at once.
func (s *Service) departSilent(ctx context.Context) error {
	return loop.Every(ctx, expirePeriod, func(now time.Time) {
		if v, _ := s.replica.View(); !v.Leading {
			return
		}
		s.mu.Lock()
		silent := s.registry.TimedOut(now)
		s.mu.Unlock()
		for batch := range slices.Chunk(silent, mostDeparting) {
			if err := s.departAll(ctx, batch); err != nil {
				log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "depart silent servers", "servers": len(batch)}).Warn("will be tried again")
				return
			}
		}
	})
}

// departAll ends servers by one entry of the log.
func (s *Service) departAll(ctx context.Context, ids []string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	c := &state.Command{Type: state.CommandWithdraw}
	for _, id := range ids {
		c.Withdrawals = append(c.Withdrawals, fleet.Withdrawal{ServerID: id, Phase: fleet.Departed})
	}
	if _, err := s.client.Propose(ctx, c); err != nil {
		return err
	}
	log.WithFields(log.Fields{"step": "depart silent servers", "servers": len(ids), "first": ids[0]}).Info("servers that were silent for long have gone")
	return nil
}

// departStart ends one start of a server.
func (s *Service) departStart(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return s.withdraw(ctx, fleet.Withdrawal{ServerID: id, Phase: fleet.Departed}, nil)
}

// update changes the registry and wakes the watchers if that mattered.
func (s *Service) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.registry.Version()
	change()
	if s.registry.Version() != before {
		s.wake()
	}
}

// wakePause is the least time between two wakings of those that watch. While thousands of
// servers announce themselves, the fleet changes with each message of another replica, and
// each waking costs as many looks at it as there are instances that watch.
const wakePause = 100 * time.Millisecond

// wake tells those that wait that there is something new: at once, or as soon as the pause
// after the last time is over. Call it with the lock held.
func (s *Service) wake() {
	if s.waking {
		return
	}
	if left := wakePause - time.Since(s.woken); left > 0 {
		s.waking = true
		time.AfterFunc(left, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.waking = false
			s.wakeNow()
		})
		return
	}
	s.wakeNow()
}

func (s *Service) wakeNow() {
	s.woken = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Declare commits a declaration; nil means that it or a higher version is in
// force and stays so. The error is an *routing.InvalidError for a declaration
// that can't be in force, else it leaves open what happened.
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
	packedData, err := compress(data)
	if err != nil {
		return err
	}
	packedSource, err := compress(source)
	if err != nil {
		return err
	}
	cmd := &state.Command{Type: state.CommandDeclare, Declare: &state.DeclareCommand{Version: d.Version, Declaration: packedData, Source: packedSource}}
	res, err := s.client.Propose(ctx, cmd)
	if err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "declare", "version": d.Version}).Warn("not acknowledged")
		return err
	}
	log.WithFields(log.Fields{"step": "declare", "version": d.Version, "in_force": res.Order.Version, "routes": len(d.Routes)}).Info("declaration acknowledged")
	return nil
}

// Source returns the declaration in force as it was sent, nil before the first.
func (s *Service) Source(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	packed, err := s.client.Source(ctx)
	if err != nil || packed == nil {
		return nil, err
	}
	return decompress(packed)
}

// Announce hands an announcement on; nil acknowledges it. A server that drains
// is withdrawn through the log, so that no change of the leader forgets it.
func (s *Service) Announce(ctx context.Context, server fleet.Server) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if server.Phase == fleet.Ready && (s.noteAlive(server) || s.announceLater(server)) {
		return nil
	}
	if server.Phase != fleet.Ready {
		return s.withdraw(ctx, fleet.Withdrawal{ServerID: server.ID, Phase: server.Phase}, &server)
	}
	return s.announceAtLeader(ctx, server)
}

// Depart notes that a server has gone; nil acknowledges it. Where the start has no
// time, the newest one that is known is meant.
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

// newestStart returns the ID of a server's newest start. The leader knows of
// starts that the log does not have yet.
func (s *Service) newestStart(ctx context.Context, name string) (string, error) {
	if v, _ := s.replica.View(); slices.ContainsFunc(v.Routing.Servers, func(x fleet.Server) bool { return x.ID == name }) {
		return name, nil
	}
	reply, err := replica.CallLeader[newestReply](ctx, s.client, methodNewest, name)
	return reply.ID, err
}

func (s *Service) handleNewest(_ context.Context, _ string, body []byte) (any, error) {
	var name string
	if err := wire.Decode(body, &name); err != nil {
		return nil, eris.Wrap(err, "decode name of server")
	}
	v, _ := s.replica.View()
	if !v.Leading {
		return newestReply{Redirect: replica.NotLeaderReply(v)}, nil
	}
	s.follow(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	return newestReply{ID: s.registry.NewestID(name)}, nil
}

func (s *Service) withdraw(ctx context.Context, w fleet.Withdrawal, server *fleet.Server) error {
	if v, _ := s.replica.View(); !withdrawn(v.Routing, w) {
		if _, err := s.client.Propose(ctx, &state.Command{Type: state.CommandWithdraw, Withdraw: &w}); err != nil {
			return err
		}
		log.WithFields(log.Fields{"step": "withdraw server", "server": w.ServerID, "phase": w.Phase.String()}).Info("server leaves")
	}
	if server == nil {
		return nil
	}
	return s.announceAtLeader(ctx, *server)
}

func withdrawn(r state.Routing, w fleet.Withdrawal) bool {
	for _, x := range r.Withdrawals {
		if x.ServerID == w.ServerID {
			return x.Phase >= w.Phase
		}
	}
	return false
}

// follow applies what the log says to the registry. At the beginning of a term
// that this replica leads, all servers count as just heard.
func (s *Service) follow(v replica.View) {
	s.update(func() {
		newTerm := v.Leading && v.Term != s.ledTerm
		if v.Routing.Revision == s.revision && !newTerm {
			return
		}
		s.revision = v.Routing.Revision
		s.relay.fleet.ApplyLog(v.Routing.Servers, v.Routing.Withdrawals, v.Routing.Revision)
		s.registry.RecordStarts(v.Routing.Starts)
		for _, w := range v.Routing.Withdrawals {
			s.registry.Withdraw(w.ServerID, w.Phase)
		}
		if newTerm {
			s.ledTerm = v.Term
			s.registry.Restore(time.Now(), v.Routing.Servers)
		}
	})
}
