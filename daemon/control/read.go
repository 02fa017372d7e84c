package control

import (
	"github.com/apex/log"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/routing"
)

// Servers lists the backend servers known to this replica; fresh is false while it has no
// contact with the leader.
func (s *Service) Servers() (list []fleet.Server, fresh bool) {
	v, _ := s.replica.View()
	if !v.Leading {
		return s.relay.servers(v)
	}
	s.follow(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Servers(), true
}

// Declaration returns the declaration in this replica's log, nil before the first. The
// caller must not change it.
func (s *Service) Declaration() *routing.Declaration {
	v, _ := s.replica.View()
	held := v.Routing.Declared
	s.mu.Lock()
	defer s.mu.Unlock()
	if held.Version == 0 || s.decoded != nil && s.decoded.Version == held.Version {
		return s.decoded
	}
	data, err := decompress(held.Declaration)
	if err == nil {
		s.decoded, err = routing.Decode(data)
	}
	if err != nil {
		log.WithError(err).WithField("step", "decode declaration").Error("the declaration in the log is invalid")
	}
	return s.decoded
}
