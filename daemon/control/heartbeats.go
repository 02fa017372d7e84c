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
	// heartbeatBatchPeriod is the interval at which a replica forwards heartbeats without new
	// content to the leader: a twelfth of the time after which a silent server counts
	// as overdue.
	heartbeatBatchPeriod = 300 * time.Millisecond
)

// heartbeatBatch is a batch of heartbeats: the latest sequence of each server whose
// announcement matches what the leader lists. 3,000 engines announce themselves every
// 1.2 s; forwarding each announcement separately needed more than the leader's CPU, and
// the waiting calls filled its memory. Guarded by Service.mu.
type heartbeatBatch map[string]uint64

func (b heartbeatBatch) record(id string, sequence uint64) { b[id] = max(b[id], sequence) }

// recordHeartbeat records a heartbeat that changes nothing in the fleet and reports whether
// the announcement needs no further handling. A replica that lost the leader rejects
// heartbeats, so that the server tries another one, but only after heartbeatGrace: while
// a group elects a leader after a full restart, thousands of unanswered engines would
// try one replica after the other, each time over a new connection, and starve the
// election.
func (s *Service) recordHeartbeat(server fleet.Server) bool {
	v, _ := s.replica.View()
	if v.Leading {
		return s.recordHeartbeatAsLeader(v, server)
	}
	if !s.relay.recentlyConnected() || !s.relay.isUpToDate(server) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeats.record(server.ID, server.Sequence)
	return true
}

func (s *Service) recordHeartbeatAsLeader(v replica.View, server fleet.Server) bool {
	s.follow(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.IsUpToDate(server) && s.registry.RecordHeartbeat(time.Now(), server.ID, server.Sequence)
}

// forwardHeartbeats forwards batches of heartbeats to the leader until the context ends.
func (s *Service) forwardHeartbeats(ctx context.Context) error {
	return loop.Every(ctx, heartbeatBatchPeriod, func(time.Time) {
		s.mu.Lock()
		batch := s.heartbeats
		s.heartbeats = heartbeatBatch{}
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		sentAt := time.Now()
		if _, err := replica.CallLeader[announceReply](ctx, s.client, methodHeartbeats, batch); err != nil {
			log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "tell heartbeats", "servers": len(batch), "ms": time.Since(sentAt).Milliseconds()}).Warn("told again with the next ones")
			s.requeueHeartbeats(batch)
		}
	})
}

// requeueHeartbeats puts heartbeats that were not forwarded back into the batch.
func (s *Service) requeueHeartbeats(list heartbeatBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, sequence := range list {
		s.heartbeats.record(id, sequence)
	}
}

func (s *Service) handleHeartbeats(_ context.Context, _ string, body []byte) (any, error) {
	var list heartbeatBatch
	return s.applyAsLeader(body, &list, func(now time.Time) {
		for id, sequence := range list {
			s.registry.RecordHeartbeat(now, id, sequence)
		}
	})
}
