package control

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/daemon/loop"
	"cardamomwick.example/daemon/replica"
)

const (
	// alivePeriod is how long a replica gathers the heartbeats of servers that say
	// nothing new, before it tells the leader: a twelfth of the time after which a
	// server without news counts as overdue.
	alivePeriod = 300 * time.Millisecond
)

// alive are the servers that announced themselves here as the leader lists them, with
// their latest sequence. The load pattern it answers: 3,000 engines announce themselves
// every 1.2 s. Each handed to the leader by itself took more than its processor; the
// calls that waited for it filled its memory. Guarded by Service.mu.
type alive map[string]uint64

func (a alive) note(id string, sequence uint64) { a[id] = max(a[id], sequence) }

// noteAlive takes the heartbeat of a server that says nothing new and reports whether
// that is all there is to do. A replica that is out of touch with the leader for longer
// takes none: the server then finds another one. For a short time it does: while a group
// that has lost everything elects a leader, thousands of engines that nobody answers ask
// one replica after the other, each time over a new connection, and leave the group no
// time for the election.
func (s *Service) noteAlive(server fleet.Server) bool {
	v, _ := s.replica.View()
	if v.Leading {
		return s.heardAtLeader(v, server)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.relay.lately() || !s.relay.fleet.IsUpToDate(server) {
		return false
	}
	s.alive.note(server.ID, server.Sequence)
	return true
}

func (s *Service) heardAtLeader(v replica.View, server fleet.Server) bool {
	s.follow(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.IsUpToDate(server) && s.registry.RecordHeartbeat(time.Now(), server.ID, server.Sequence)
}

// tellAlive hands what has gathered to the leader, until the context ends.
func (s *Service) tellAlive(ctx context.Context) error {
	return loop.Every(ctx, alivePeriod, func(time.Time) {
		s.mu.Lock()
		gathered := s.alive
		s.alive = alive{}
		s.mu.Unlock()
		if len(gathered) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		if _, err := replica.CallLeader[announceReply](ctx, s.client, methodAlive, gathered); err != nil {
			log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "tell heartbeats", "servers": len(gathered)}).Warn("told again with the next ones")
			s.keepAlive(gathered)
		}
	})
}

// keepAlive puts back what could not be told.
func (s *Service) keepAlive(list alive) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, sequence := range list {
		s.alive.note(id, sequence)
	}
}

func (s *Service) handleAlive(_ context.Context, _ string, body []byte) (any, error) {
	var list alive
	return s.takeAtLeader(body, &list, func(now time.Time) {
		for id, sequence := range list {
			s.registry.RecordHeartbeat(now, id, sequence)
		}
	})
}
