package router

import (
	"context"
	"errors"
	"sync"

	"cardamomwick.example/core/fleet"
)

// errStartedAgain ends the attempts at a server that has started again.
var errStartedAgain = errors.New("the server has started again")

// attempts holds what is in flight by server. A server that has started again
// knows nothing of its former calls: waiting for their answers, on connections
// that may never be reset, would use up the time in which another server can
// answer. Safe for concurrent use.
type attempts struct {
	mu       sync.Mutex
	next     int
	byServer map[string]map[int]context.CancelCauseFunc
}

// add notes an attempt; call the result when it is over.
func (a *attempts) add(server string, end context.CancelCauseFunc) (done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byServer == nil {
		a.byServer = map[string]map[int]context.CancelCauseFunc{}
	}
	if a.byServer[server] == nil {
		a.byServer[server] = map[int]context.CancelCauseFunc{}
	}
	a.next++
	id := a.next
	a.byServer[server][id] = end
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.byServer[server], id)
		if len(a.byServer[server]) == 0 {
			delete(a.byServer, server)
		}
	}
}

// endAt ends the attempts at a start of a server and returns how many there were.
func (a *attempts) endAt(server string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, end := range a.byServer[server] {
		end(errStartedAgain)
	}
	return len(a.byServer[server])
}

// superseded lists the starts that newer ones of the same servers have followed. Both lists
// are sorted by ID.
func superseded(before, now []fleet.Server) []fleet.Server {
	born := map[string]int64{} // of the starts that are new
	rest := before
	for _, s := range now {
		for len(rest) > 0 && rest[0].ID < s.ID {
			rest = rest[1:]
		}
		if len(rest) == 0 || rest[0].ID != s.ID {
			born[s.StableName()] = max(born[s.StableName()], s.StartedAt)
		}
	}
	if len(born) == 0 {
		return nil
	}
	var out []fleet.Server
	for _, s := range before {
		if s.StartedAt < born[s.StableName()] {
			out = append(out, s)
		}
	}
	return out
}
