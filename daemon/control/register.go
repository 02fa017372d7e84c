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
	// registerPeriod is how often the leader looks for servers that its log lacks.
	registerPeriod = time.Second
	// registerPause is the pause between two registrations; what is announced meanwhile
	// goes into the log together.
	registerPause = 100 * time.Millisecond
	// mostRegistering bounds the servers of one entry of the log: 512 are some 80 KB.
	mostRegistering = 512
)

// registerServers puts the servers into the log that it lacks, while this replica
// leads, until the context ends: announcements are acknowledged without it. The load
// pattern it answers: thousands of engines start at once, and an entry of the log for
// each, sent to all replicas, takes the leader longer than engines wait.
func (s *Service) registerServers(ctx context.Context) {
	look := time.NewTicker(registerPeriod)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.unlogged:
		case <-look.C:
		}
		if v, _ := s.replica.View(); v.Leading {
			s.registerMissing(ctx, v)
		}
		wait(ctx, registerPause)
	}
}

// registerMissing registers servers in one entry of the log, and asks for another round
// where more are left.
func (s *Service) registerMissing(ctx context.Context, v replica.View) {
	servers := s.missing(v)
	if len(servers) == 0 {
		return
	}
	if len(servers) > mostRegistering {
		servers = servers[:mostRegistering]
		signal(s.unlogged)
	}
	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	if _, err := s.client.Propose(ctx, &state.Command{Type: state.CommandRegister, Servers: servers}); err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "register servers", "servers": len(servers)}).Warn("will be tried again")
	}
}

// missing lists the servers that take work and that the log lacks.
func (s *Service) missing(v replica.View) []fleet.Server {
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
