package control

import (
	"github.com/apex/log"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/routing"
)

// Servers lists the backend servers that this replica knows; fresh is false while it is
// out of touch with the leader.
func (s *Service) Servers() (list []fleet.Server, fresh bool) {
	v, _ := s.replica.View()
	if v.Leading {
		s.follow(v)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Leading {
		return s.registry.Servers(), true
	}
	return s.relay.fleet.Servers(), s.relay.inTouch(v)
}

// Declaration returns the declaration that this replica holds, nil before the first. Read
// only.
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
		log.WithError(err).WithField("step", "decode declaration").Error("the declaration in the log can't be read")
	}
	return s.decoded
}
