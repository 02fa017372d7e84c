package control

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/replica"
)

const (
	// announceTimeout bounds the forwarding of an announcement: a server waits a
	// second for its acknowledgement and then tries another instance.
	announceTimeout = 900 * time.Millisecond
	// maxQueuedAnnouncements bounds the queued announcements: twice the number of servers of the
	// largest supported deployment.
	maxQueuedAnnouncements = 4096
	// maxAnnouncementsPerBatch bounds the announcements in one message to the leader, 40 KB. A
	// message that is late is sent again: it must not grow with all that arrives meanwhile.
	maxAnnouncementsPerBatch = 512
	// announceBatchPause is the pause between two batches to the leader.
	announceBatchPause = 50 * time.Millisecond
	// announcementMaxAge bounds how long the forwarding of an announcement is retried. A
	// running server has announced itself again by then; one that has ended must not
	// reappear when a replica that was cut off reaches the leader.
	announcementMaxAge = 5 * time.Second
)

// errQueueFull reports that the queue of announcements for the leader is full. Its text
// reaches the sender.
var errQueueFull = eris.New("too many announcements wait")

// announcementQueue queues announcements for the leader. They are sent in batches: after a full
// restart thousands of engines announce themselves to replicas without a leader, and a search
// for the leader for each of them, 80 messages and more, would delay the election. Guarded by
// Service.mu.
type announcementQueue map[string]announcement

// announcement is a server's announcement with the time of its arrival and the callers that
// wait for the result of forwarding it.
type announcement struct {
	fleet.Server
	at      time.Time
	waiters []chan error
}

// enqueueAnnouncement queues an announcement and reports whether this replica may acknowledge
// it immediately: it recently was in contact with the leader, and retries until the leader
// has accepted the announcement. Engines that had to wait for the leader's reply sent the
// same announcement to one replica after the other, each time over a new connection, as
// long as the leader was overloaded.
func (s *Service) enqueueAnnouncement(server fleet.Server) bool {
	if v, _ := s.replica.View(); !v.Leading && !s.relay.recentlyConnected() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.add(announcement{Server: server, at: time.Now()}) {
		return false
	}
	signal(s.queued)
	return true
}

// add queues an announcement unless the queue is full; only the latest of each server
// is kept.
func (q announcementQueue) add(a announcement) bool {
	old, known := q[a.ID]
	if !known && len(q) >= maxQueuedAnnouncements {
		return false
	}
	if known && a.Sequence < old.Sequence {
		a.Server, a.at = old.Server, old.at
	}
	a.waiters = append(old.waiters, a.waiters...)
	q[a.ID] = a
	return true
}

// take removes the announcements of the next batch, those with waiters first.
func (q announcementQueue) take() []announcement {
	var batch []announcement
	for _, waited := range []bool{true, false} {
		for id, a := range q {
			if len(batch) == maxAnnouncementsPerBatch {
				return batch
			}
			if (len(a.waiters) > 0) == waited {
				batch = append(batch, a)
				delete(q, id)
			}
		}
	}
	return batch
}

// announceToLeader queues an announcement and waits until the leader has accepted it.
func (s *Service) announceToLeader(ctx context.Context, server fleet.Server) error {
	result, err := s.enqueueAndNotify(server)
	if err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "no leader accepted the announcement")
	}
}

// enqueueAndNotify queues an announcement; the channel returns the result of forwarding it.
func (s *Service) enqueueAndNotify(server fleet.Server) (<-chan error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := make(chan error, 1)
	if !s.queue.add(announcement{server, time.Now(), []chan error{result}}) {
		return nil, errQueueFull
	}
	signal(s.queued)
	return result, nil
}

// forwardAnnouncements forwards the queued announcements to the leader in batches, one at a
// time, until the context ends.
func (s *Service) forwardAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.queued:
		}
		batch := s.nextBatch()
		sentAt := time.Now()
		err := s.sendToLeader(ctx, batch)
		for _, a := range batch {
			for _, result := range a.waiters {
				result <- err
			}
		}
		if err != nil {
			log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "forward announcements", "servers": len(batch), "ms": time.Since(sentAt).Milliseconds()}).Warn("told again with the next ones")
			s.requeueAnnouncements(batch)
		}
		wait(ctx, announceBatchPause)
	}
}

// nextBatch takes the next batch from the queue and schedules another one if announcements are
// left.
func (s *Service) nextBatch() []announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.queue.take()
	if len(s.queue) > 0 {
		signal(s.queued)
	}
	return batch
}

// requeueAnnouncements puts announcements that were not forwarded back into the queue.
func (s *Service) requeueAnnouncements(batch []announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range batch {
		if time.Since(a.at) < announcementMaxAge {
			a.waiters = nil
			s.queue.add(a) // if the queue is full, the server's next heartbeat brings it again
		}
	}
	signal(s.queued)
}

func (s *Service) sendToLeader(ctx context.Context, batch []announcement) error {
	servers := make([]fleet.Server, 0, len(batch))
	for _, a := range batch {
		servers = append(servers, a.Server)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := replica.CallLeader[announceReply](ctx, s.client, methodAnnounce, servers)
	return err
}

func (s *Service) handleAnnounce(_ context.Context, _ string, body []byte) (any, error) {
	var servers []fleet.Server
	return s.applyAsLeader(body, &servers, func(now time.Time) {
		for _, server := range servers {
			s.registry.Announce(now, server)
		}
		signal(s.unregistered)
	})
}

// applyAsLeader decodes a message from another replica and applies it to the registry if
// this replica is the leader; otherwise the reply names the leader.
func (s *Service) applyAsLeader(body []byte, message any, apply func(now time.Time)) (any, error) {
	if err := wire.Decode(body, message); err != nil {
		return nil, eris.Wrap(err, "decode what is told of servers") // the text reaches the sender
	}
	v, _ := s.replica.View()
	if !v.Leading {
		return announceReply{replica.NotLeaderReply(v)}, nil
	}
	arrived := time.Now()
	s.follow(v)
	waited := time.Since(arrived)
	s.update(func() { apply(time.Now()) })
	if total := time.Since(arrived); total > slowMessage {
		now := time.Now()
		s.lastSlow.Store(&now)
		log.WithFields(log.Fields{"step": "apply message of a replica", "bytes": len(body), "waited_ms": waited.Milliseconds(), "ms": total.Milliseconds()}).Warn("the leader is slow; the sender may send the message again")
	}
	return announceReply{}, nil
}

// slowMessage is the handling time from which a leader counts as slow: the sender gives up
// within announceTimeout.
const slowMessage = announceTimeout / 3

// signal wakes the loop that waits on a channel with a buffer of one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
