package daemon

import (
	"os"
	"strings"
	"sync"
	"time"

	"cardamomwick.example/daemon/frame"
)

// cutReload is how long a cut file's content is kept.
const cutReload = 100 * time.Millisecond

// newCutFilter drops frames as the file says; see settings.Faults.
func newCutFilter(path string) frame.Filter {
	if path == "" {
		return nil
	}
	c := &cutFile{path: path}
	return c.drops
}

type cutFile struct {
	path   string
	mu     sync.Mutex
	loaded time.Time
	rules  map[string]bool
}

func (c *cutFile) drops(peer string, incoming bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.loaded) > cutReload {
		c.loaded = time.Now()
		c.rules = map[string]bool{}
		data, _ := os.ReadFile(c.path)
		for _, line := range strings.Split(string(data), "\n") {
			c.rules[strings.TrimSpace(line)] = true
		}
	}
	direction := "out "
	if incoming {
		direction = "in "
	}
	return c.rules[direction+peer] || c.rules[direction+"*"]
}
