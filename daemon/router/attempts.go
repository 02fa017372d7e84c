package router

import (
	"context"
	"errors"
	"sync"

	"cardamomwick.example/core/fleet"
)

// errServerRestarted is the cancellation cause of attempts at a server that has restarted.
var errServerRestarted = errors.New("the server has started again")

// attemptTracker holds the attempts in flight by server ID. A restarted server has
// lost its earlier calls. Waiting for their answers, on connections that may never be
// reset, would use up the time in which another server can answer. Safe for
// concurrent use.
type attemptTracker struct {
	mu       sync.Mutex
	next     int
	byServer map[string]map[int]context.CancelCauseFunc
}

// add registers an attempt; the caller must call done when the attempt has ended.
func (a *attemptTracker) add(server string, cancel context.CancelCauseFunc) (done func()) {
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
	a.byServer[server][id] = cancel
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.byServer[server], id)
		if len(a.byServer[server]) == 0 {
			delete(a.byServer, server)
		}
	}
}

// cancelAll cancels the attempts at the server with this ID and returns their number.
func (a *attemptTracker) cancelAll(server string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, cancel := range a.byServer[server] {
		cancel(errServerRestarted)
	}
	return len(a.byServer[server])
}

// superseded returns the entries of before whose server has started again in now.
// Both lists are sorted by ID, which is distinct for each start of a server.
func superseded(before, now []fleet.Server) []fleet.Server {
	restartedAt := map[string]int64{} // start time by stable name, for IDs that only now has
	rest := before
	for i := range now {
		s := &now[i]
		for len(rest) > 0 && rest[0].ID < s.ID {
			rest = rest[1:]
		}
		if s.StartedAt > 0 && (len(rest) == 0 || rest[0].ID != s.ID) {
			restartedAt[s.StableName()] = max(restartedAt[s.StableName()], s.StartedAt)
		}
	}
	if len(restartedAt) == 0 {
		return nil
	}
	var out []fleet.Server
	for i := range before {
		if s := &before[i]; s.StartedAt < restartedAt[s.StableName()] {
			out = append(out, *s)
		}
	}
	return out
}
