package daemon

import (
	"os"
	"strings"
	"sync"
	"time"

	"cardamomwick.example/daemon/frame"
)

// partitionReloadInterval is how long the rules of a partition file are cached.
const partitionReloadInterval = 100 * time.Millisecond

// newPartitionFilter returns a filter that simulates network partitions by dropping the
// frames that the file names, nil without a file; see settings.Faults.
func newPartitionFilter(path string) frame.Filter {
	if path == "" {
		return nil
	}
	p := &partitionFile{path: path}
	return p.drops
}

// partitionFile holds the rules of a file with one "in ADDRESS" or "out ADDRESS" per
// line; the address * matches all peers.
type partitionFile struct {
	path   string
	mu     sync.Mutex
	loaded time.Time
	rules  map[string]bool
}

func (p *partitionFile) drops(peer string, incoming bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.loaded) > partitionReloadInterval {
		p.loaded = time.Now()
		p.rules = map[string]bool{}
		data, _ := os.ReadFile(p.path)
		for _, line := range strings.Split(string(data), "\n") {
			p.rules[strings.TrimSpace(line)] = true
		}
	}
	direction := "out "
	if incoming {
		direction = "in "
	}
	return p.rules[direction+peer] || p.rules[direction+"*"]
}
