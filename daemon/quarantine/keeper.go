package quarantine

import (
	"sync"

	"github.com/apex/log"

	"cardamomwick.example/core/quarantine"
)

// Keeper is an instance's part in the quarantine. Safe for concurrent use.
type Keeper struct {
	checker *checker

	mu sync.Mutex
	// broken are the requests whose runs broke off at a server that is being checked.
	broken map[string][]quarantine.Digest
}

// New returns a keeper.
func New() *Keeper {
	k := &Keeper{broken: map[string][]quarantine.Digest{}}
	k.checker = newChecker(k.checked)
	return k
}

// Broke notes that a run of a request broke off, for no reason of this instance's or
// the caller's.
func (k *Keeper) Broke(server, address string, d quarantine.Digest) {
	k.mu.Lock()
	k.broken[server] = append(k.broken[server], d)
	k.mu.Unlock()
	k.checker.check(server, address)
}

func (k *Keeper) checked(server string, ended bool) {
	k.mu.Lock()
	under := k.broken[server]
	delete(k.broken, server)
	k.mu.Unlock()
	fields := log.Fields{"step": "check server", "server": server, "broken_calls": len(under), "requests": texts(under)}
	if ended {
		log.WithFields(fields).Info("server has ended with calls in flight")
		return
	}
	log.WithFields(fields).Debug("server lives on")
}

// mostTexts bounds the digests in one log line.
const mostTexts = 16

func texts(list []quarantine.Digest) []string {
	var out []string
	for _, d := range list[:min(len(list), mostTexts)] {
		out = append(out, d.String())
	}
	return out
}
