package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/replica"
)

const (
	// announceTimeout bounds the hand-over of an announcement: a server waits a
	// second for its acknowledgement and then tries another instance.
	announceTimeout = 900 * time.Millisecond
	// mostAnnouncing bounds the servers whose announcements wait: twice those of the
	// largest deployment aimed at.
	mostAnnouncing = 4096
)

// errAnnouncing: too many announcements wait for the leader.
var errAnnouncing = eris.New("too many announcements wait")

// announcing are the announcements that the leader has to be told, and who waits for
// that. The load pattern it answers: after a loss of everything thousands of engines
// announce themselves to replicas without a leader. Each of them that looked for it by
// itself cost 80 messages and more, which left no time to elect one. Guarded by
// Service.mu.
type announcing struct {
	servers map[string]fleet.Server
	waiting []chan error
}

// announceAtLeader hands an announcement to the leader, with all others that wait.
func (s *Service) announceAtLeader(ctx context.Context, server fleet.Server) error {
	told, err := s.gather(server)
	if err != nil {
		return err
	}
	select {
	case err := <-told:
		return err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "no leader took the announcement")
	}
}

// gather adds an announcement; what comes from the channel says whether the leader was
// told.
func (s *Service) gather(server fleet.Server) (<-chan error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.announcing.servers[server.ID]
	if !known && len(s.announcing.servers) >= mostAnnouncing {
		return nil, errAnnouncing
	}
	if s.announcing.servers == nil {
		s.announcing.servers = map[string]fleet.Server{}
	}
	if !known || server.Sequence >= old.Sequence {
		s.announcing.servers[server.ID] = server
	}
	told := make(chan error, 1)
	s.announcing.waiting = append(s.announcing.waiting, told)
	signal(s.announced)
	return told, nil
}

// tellAnnounced tells the leader what has gathered, one message after the other, until
// the context ends.
func (s *Service) tellAnnounced(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announced:
		}
		s.mu.Lock()
		gathered := s.announcing
		s.announcing = announcing{}
		s.mu.Unlock()
		err := s.tellLeader(ctx, slices.Collect(maps.Values(gathered.servers)))
		for _, told := range gathered.waiting {
			told <- err
		}
	}
}

func (s *Service) tellLeader(ctx context.Context, servers []fleet.Server) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := replica.CallLeader[announceReply](ctx, s.client, methodAnnounce, servers)
	return err
}

func (s *Service) handleAnnounce(_ context.Context, _ string, body []byte) (any, error) {
	var servers []fleet.Server
	return s.takeAtLeader(body, &servers, func(now time.Time) {
		for _, server := range servers {
			s.registry.Announce(now, server)
		}
		signal(s.unlogged)
	})
}

// takeAtLeader decodes what a replica tells the leader of servers, and takes it into the
// registry if this replica leads.
func (s *Service) takeAtLeader(body []byte, told any, take func(now time.Time)) (any, error) {
	if err := wire.Decode(body, told); err != nil {
		return nil, eris.Wrap(err, "decode what is told of servers")
	}
	v, _ := s.replica.View()
	if !v.Leading {
		return announceReply{replica.NotLeaderReply(v)}, nil
	}
	s.follow(v)
	s.update(func() { take(time.Now()) })
	return announceReply{}, nil
}

// signal wakes the loop that waits on a channel of one element.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
