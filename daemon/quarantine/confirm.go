package quarantine

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/membership"
)

// methodProbe is the frame method that asks an instance to probe a server.
const methodProbe = "quarantine.probe"

// Confirmation by peers. An instance that is partitioned from a server sees the same as one
// whose server has ended, while other instances reach the server.
const (
	// peerProbeTimeout bounds an instance's probe and its message.
	peerProbeTimeout = 400 * time.Millisecond
	// maxProbesForPeers bounds the probes for others that run at the same time.
	maxProbesForPeers = 64
)

// probeRequest asks an instance to probe a server.
type probeRequest struct {
	Server  string `msgpack:"s"`
	Address string `msgpack:"a"`
}

// probeResponse is the result. Reliable is set if a failure lies with the server and not with
// the instance's paths.
type probeResponse struct {
	Result   probeResult `msgpack:"r"`
	Reliable bool        `msgpack:"o"`
}

// verdict is what peers say about the termination of a server.
type verdict uint8

const (
	// unconfirmed: no instance could tell.
	unconfirmed verdict = iota
	confirmed
	// denied: an instance reaches the server.
	denied
)

// String returns the name used in logs and metrics.
func (v verdict) String() string { return [...]string{"unconfirmed", "confirmed", "denied"}[v] }

// confirm asks other instances whether a server has terminated that this one can't reach. A
// single instance relies on its own probe.
func (m *Manager) confirm(server, address string) verdict {
	peers := m.pickPeers()
	if len(peers) == 0 {
		return confirmed
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerProbeTimeout)
	defer cancel()
	responses := make(chan probeResponse, len(peers))
	for _, p := range peers {
		go func() {
			var r probeResponse
			if err := m.opt.Transport.Call(ctx, p.PeerAddress, methodProbe, &probeRequest{server, address}, &r); err != nil {
				log.WithError(err).WithFields(log.Fields{"step": "confirm ended server", "server": server, "peer": p.Name}).Debug("peer could not be asked")
				r = probeResponse{Result: noAnswer}
			}
			responses <- r
		}()
	}
	v := unconfirmed
	for range peers {
		switch r := <-responses; {
		case r.Result == accepted:
			return denied
		case r.Reliable && (r.Result == refused || r.Result == closed):
			v = confirmed
		}
	}
	return v
}

// pickPeers returns two other instances: one that serves callers, and one that does not, since
// a partition of those that do leaves its paths to the servers alone.
func (m *Manager) pickPeers() []membership.Instance {
	if m.opt.Transport == nil {
		return nil
	}
	var out []membership.Instance
	for _, serving := range []bool{true, false} {
		if i, ok := m.pickPeer(func(i *membership.Instance) bool { return (i.CallerAddress != "") == serving }); ok {
			out = append(out, i)
		}
	}
	return out
}

// pickPeer returns a random other instance that is not known to be partitioned.
func (m *Manager) pickPeer(suits func(*membership.Instance) bool) (membership.Instance, bool) {
	all := m.opt.Instances()
	for _, k := range rand.Perm(len(all)) {
		if i := &all[k]; i.PeerAddress != m.self() && !i.Partitioned && i.State == membership.Alive && suits(i) {
			return *i, true
		}
	}
	return membership.Instance{}, false
}

// handleProbe probes a server for another instance.
func (m *Manager) handleProbe(ctx context.Context, from string, body []byte) (any, error) {
	var q probeRequest
	if !decode(from, body, &q) {
		return nil, errMalformedProbe
	}
	if m.probesForPeers.Add(1) > maxProbesForPeers {
		m.probesForPeers.Add(-1)
		return probeResponse{}, nil
	}
	defer m.probesForPeers.Add(-1)
	since := time.Now()
	r, _ := m.prober.probe(q.Address, 0) // the server ended a while ago: no delay is needed
	out := probeResponse{Result: r}
	if r == refused || r == closed {
		out.Reliable = m.opt.Reaches == nil || m.opt.Reaches(ctx, q.Server, since)
	}
	return out, nil
}

var (
	errMalformedProbe = eris.New("malformed request to probe a server")
	errMalformedTrial = eris.New("malformed request for a trial")
)

// verdicts counts the answers of peers.
type verdicts [denied + 1]atomic.Int64
