package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/reachability"
	"cardamomwick.example/daemon/upstream"
)

// pathMonitor knows which pools this instance reaches by its own paths; see package
// reachability. Safe for concurrent use.
type pathMonitor struct {
	// count returns the number of a pool's servers, servers those that are ready, and open
	// opens a connection to one of them that calls may use.
	count   func(pool string) int
	servers func(pool string) []fleet.Server
	open    func(pool string, s fleet.Server) error
	// onChange is called when a pool becomes unreachable or is reached again.
	onChange func()
	// onPartition is called with true when peers reach a pool that this instance can't reach,
	// and with false once there is no such pool any more.
	onPartition func(partitioned bool)
	// probes counts the connections that probes opened or tried to.
	probes atomic.Int64

	mu    sync.Mutex
	pools map[string]*reachability.Detector
	// partitioned holds the pools that peers reach and this instance does not.
	partitioned map[string]bool
}

// detector returns the pool's detector. The caller holds m.mu.
func (m *pathMonitor) detector(pool string) *reachability.Detector {
	d := m.pools[pool]
	if d == nil {
		d = &reachability.Detector{}
		m.pools[pool] = d
	}
	return d
}

// responded records that a server of the pool has sent something.
func (m *pathMonitor) responded(pool string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector(pool).Responded(time.Now())
}

// dialled records the result of opening a connection for a call.
func (m *pathMonitor) dialled(pool, server string, err error) {
	if err != nil {
		m.failed(pool, server, reachability.NotConnected)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector(pool).Connected(time.Now(), server)
}

// failed records a failed attempt, and probes the pool if it is a sign of a partition.
func (m *pathMonitor) failed(pool, server string, kind reachability.Failure) {
	m.mu.Lock()
	m.detector(pool).Failed(time.Now(), server, kind)
	m.mu.Unlock()
	m.startProbe(pool)
}

// usesOwnPath decides whether a call for the pool uses this instance's own paths.
func (m *pathMonitor) usesOwnPath(pool string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector(pool).UsesOwnPath(time.Now(), rand.Float64())
}

// unreachable reports whether the pool can't be reached by own paths.
func (m *pathMonitor) unreachable(pool string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector(pool).Unreachable()
}

// unreachablePools counts the pools that can't be reached by own paths.
func (m *pathMonitor) unreachablePools() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, d := range m.pools {
		if d.Unreachable() {
			n++
		}
	}
	return n
}

// startProbe begins a probe in the background if one is due.
func (m *pathMonitor) startProbe(pool string) {
	if m.begin(pool) {
		go m.probeUntilReached(pool)
	}
}

// begin reports whether a probe is due, and records that it begins.
func (m *pathMonitor) begin(pool string) bool {
	servers := m.count(pool)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector(pool).StartProbe(time.Now(), servers)
}

// probeUntilReached probes once, and then until the pool is reached or has no servers.
func (m *pathMonitor) probeUntilReached(pool string) {
	for {
		servers := m.servers(pool)
		if len(servers) == 0 {
			m.forget(pool)
			return
		}
		next, again := m.probe(pool, servers)
		if !again {
			return
		}
		time.Sleep(time.Until(next))
		if !m.begin(pool) {
			m.forget(pool) // it has no servers
			return
		}
	}
}

// forget forgets a pool that has no servers any more.
func (m *pathMonitor) forget(pool string) {
	m.mu.Lock()
	delete(m.pools, pool)
	m.mu.Unlock()
	m.reportReturn()
}

// probe opens connections to some servers and applies the result. It returns the time of the
// next probe if the pool is unreachable.
func (m *pathMonitor) probe(pool string, servers []fleet.Server) (next time.Time, again bool) {
	attempted, opened := m.openSome(pool, servers)
	now := time.Now()
	m.mu.Lock()
	d := m.detector(pool)
	changed := d.EndProbe(now, attempted, opened)
	next, again = d.NextProbe(), d.Unreachable()
	m.mu.Unlock()
	if changed {
		m.handleChange(pool, again)
	}
	return next, again
}

// openSome opens connections to servers, those without a recent failure first. It returns how
// many were tried, and how many of them opened.
func (m *pathMonitor) openSome(pool string, servers []fleet.Server) (attempted, opened int) {
	results := make(chan error)
	for _, s := range m.pickServers(pool, servers) {
		attempted++
		go func() { results <- m.open(pool, s) }()
	}
	for range attempted {
		if err := <-results; err == nil {
			opened++
		}
	}
	m.probes.Add(int64(attempted))
	return attempted, opened
}

func (m *pathMonitor) pickServers(pool string, servers []fleet.Server) []fleet.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, now := m.detector(pool), time.Now()
	var first, rest []fleet.Server
	for _, i := range rand.Perm(len(servers)) {
		if d.HasFailed(now, servers[i].ID) {
			rest = append(rest, servers[i])
			continue
		}
		if first = append(first, servers[i]); len(first) == reachability.ProbeServers {
			return first
		}
	}
	all := append(first, rest...)
	return all[:min(len(all), reachability.ProbeServers)]
}

// handleChange logs a change. When a pool becomes unreachable, the other pools are probed, as
// the whole instance may be partitioned.
func (m *pathMonitor) handleChange(pool string, unreachable bool) {
	m.onChange()
	fields := log.Fields{"step": "probe servers", "pool": pool}
	if !unreachable {
		log.WithFields(fields).Info("servers are reachable again from this instance")
		time.AfterFunc(reachability.ReturnTime, m.reportReturn)
		return
	}
	log.WithFields(fields).Warn("no server can be reached from this instance; its calls are offered to peers")
	m.mu.Lock()
	var others []string
	for name, d := range m.pools {
		if name != pool {
			d.Suspect(time.Now())
			others = append(others, name)
		}
	}
	m.mu.Unlock()
	for _, name := range others {
		m.startProbe(name)
	}
}

// reachedByPeer records that a peer's call was answered by a server of the pool.
func (m *pathMonitor) reachedByPeer(pool string) {
	m.mu.Lock()
	before := len(m.partitioned)
	if m.detector(pool).Unreachable() {
		m.partitioned[pool] = true
	}
	began := before == 0 && len(m.partitioned) > 0
	m.mu.Unlock()
	if began {
		m.onPartition(true)
	}
}

// reportReturn ends the partition from the pools that are reached by all calls again, or have
// no servers any more.
func (m *pathMonitor) reportReturn() {
	m.mu.Lock()
	before := len(m.partitioned)
	for pool := range m.partitioned {
		if d := m.pools[pool]; d == nil || d.Returned(time.Now()) {
			delete(m.partitioned, pool)
		}
	}
	ended := before > 0 && len(m.partitioned) == 0
	m.mu.Unlock()
	if ended {
		m.onPartition(false)
	}
}

// respondedSince reports whether any server of the pool has responded after the given time.
func (m *pathMonitor) respondedSince(pool string, t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector(pool).RespondedSince(t)
}

const (
	// reachWait is how long Reaches waits for a response to a call before it opens a
	// connection, and reachPoll the time between two looks.
	reachWait = 60 * time.Millisecond
	reachPoll = 5 * time.Millisecond
)

// Reaches reports whether any server of the given one's pool has responded to this instance
// since a time. Without responses it opens a connection to another one, which calls may use.
func (r *Router) Reaches(ctx context.Context, server string, since time.Time) bool {
	r.mu.Lock()
	pool, other, ok := r.balancer.OtherReady(server, rand.Float64)
	r.mu.Unlock()
	if pool == "" {
		return false
	}
	for limit := time.Now().Add(reachWait); time.Now().Before(limit); time.Sleep(reachPoll) {
		if r.paths.respondedSince(pool, since) {
			return true
		}
	}
	return ok && ctx.Err() == nil && r.openConnection(pool, other) == nil
}

// openConnection opens a connection to a server for calls to use.
func (r *Router) openConnection(pool string, s fleet.Server) error {
	maxConnections := 0
	if t := r.opt.Table(); t != nil {
		if p := t.Pool(pool); p != nil {
			maxConnections = p.MaxConnections
		}
	}
	return r.upstream.Open(r.target(s, maxConnections), reachability.ProbeTimeout)
}

func (r *Router) countServers(pool string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.ServerCount(pool)
}

// readyServers returns the servers of a pool that accept calls.
func (r *Router) readyServers(pool string) []fleet.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.ReadyServers(pool)
}

// recordDial records the result of opening a connection for a call.
func (r *Router) recordDial(t upstream.Target, err error) { r.paths.dialled(t.Pool, t.ID, err) }

// UnreachablePools returns the number of pools whose servers can't be reached from this
// instance.
func (r *Router) UnreachablePools() int { return r.paths.unreachablePools() }

// PathProbes returns the number of connections that probes have opened or tried to.
func (r *Router) PathProbes() int64 { return r.paths.probes.Load() }

// watchSilence records a sign of a partition if the attempt brings nothing for
// reachability.SilenceTime. stop ends that.
func (c *call) watchSilence(server string) (stop func() bool) {
	return time.AfterFunc(reachability.SilenceTime, func() {
		c.router.paths.failed(c.pool.Name, server, reachability.Broken)
	}).Stop
}
