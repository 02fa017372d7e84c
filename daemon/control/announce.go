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

// announcementQueue queues announcements for the leader, with the callers that wait for the
// result. Announcements are sent in batches: after a full restart thousands of engines
// announce themselves to replicas without a leader, and a search for the leader for each
// of them, 80 messages and more, would delay the election. Guarded by Service.mu.
type announcementQueue struct {
	servers map[string]announcement
	waiters []chan error
}

// announcement is a server's announcement with the time of its arrival.
type announcement struct {
	fleet.Server
	at time.Time
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
	if !s.queue.add(announcement{server, time.Now()}) {
		return false
	}
	signal(s.queued)
	return true
}

// add queues an announcement unless the queue is full; only the latest of each server
// is kept.
func (q *announcementQueue) add(server announcement) bool {
	old, known := q.servers[server.ID]
	if !known && len(q.servers) >= maxQueuedAnnouncements {
		return false
	}
	if q.servers == nil {
		q.servers = map[string]announcement{}
	}
	if !known || server.Sequence >= old.Sequence {
		q.servers[server.ID] = server
	}
	return true
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
	if !s.queue.add(announcement{server, time.Now()}) {
		return nil, errQueueFull
	}
	result := make(chan error, 1)
	s.queue.waiters = append(s.queue.waiters, result)
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
		s.mu.Lock()
		batch := s.queue
		s.queue = announcementQueue{}
		s.mu.Unlock()
		sentAt := time.Now()
		err := s.sendToLeader(ctx, batch.list())
		for _, result := range batch.waiters {
			result <- err
		}
		if err != nil {
			log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "forward announcements", "servers": len(batch.servers), "ms": time.Since(sentAt).Milliseconds()}).Warn("told again with the next ones")
			s.requeueAnnouncements(batch.servers)
		}
		wait(ctx, announceBatchPause)
	}
}

func (q *announcementQueue) list() []fleet.Server {
	out := make([]fleet.Server, 0, len(q.servers))
	for _, server := range q.servers {
		out = append(out, server.Server)
	}
	return out
}

// requeueAnnouncements puts announcements that were not forwarded back into the queue.
func (s *Service) requeueAnnouncements(servers map[string]announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range servers {
		if time.Since(server.at) < announcementMaxAge {
			s.queue.add(server) // if the queue is full, the server's next heartbeat brings it again
		}
	}
	signal(s.queued)
}

func (s *Service) sendToLeader(ctx context.Context, servers []fleet.Server) error {
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
