package control

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/replica"
)

const (
	// registerPeriod is the interval between the leader's checks for unregistered servers.
	registerPeriod = time.Second
	// registerPause is the pause between two registrations; servers announced meanwhile
	// share the next log entry.
	registerPause = 100 * time.Millisecond
	// maxServersPerRegistration bounds the servers in one log entry: 512 are some 80 KB.
	maxServersPerRegistration = 512
)

// registerServers adds newly announced servers to the log, while this replica is the
// leader, until the context ends. Announcements are acknowledged before that: when
// thousands of engines start simultaneously, replicating a log entry for each takes the leader
// longer than engines wait.
func (s *Service) registerServers(ctx context.Context) {
	ticker := time.NewTicker(registerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.unregistered:
		case <-ticker.C:
		}
		if v, _ := s.replica.View(); v.Leading {
			s.registerPending(ctx, v)
		}
		wait(ctx, registerPause)
	}
}

// registerPending registers servers with a single log entry and schedules another round if
// servers are left.
func (s *Service) registerPending(ctx context.Context, v replica.View) {
	servers := s.unregisteredServers(v)
	if len(servers) == 0 {
		return
	}
	if len(servers) > maxServersPerRegistration {
		servers = servers[:maxServersPerRegistration]
		signal(s.unregistered)
	}
	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	if _, err := s.client.Propose(ctx, &state.Command{Type: state.CommandRegister, Servers: servers}); err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "register servers", "servers": len(servers)}).Warn("will be retried")
	}
}

// unregisteredServers lists the ready servers that the log lacks.
func (s *Service) unregisteredServers(v replica.View) []fleet.Server {
	logged := make(map[string]bool, len(v.Routing.Servers))
	for _, x := range v.Routing.Servers {
		logged[x.ID] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.Server
	for _, x := range s.registry.Servers() {
		if !logged[x.ID] && x.Phase == fleet.Ready {
			out = append(out, x)
		}
	}
	return out
}
