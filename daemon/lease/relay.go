package lease

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/replica"
)

const (
	methodRelay = "lease.relay"
	// treeKey ranks the instances in the tree.
	treeKey = "tree/lease"
	// fanOut is how many instances one instance passes its lease on to, and how
	// many ask the leader itself.
	fanOut = 16
	// treeFrom is the number of instances from which the tree is used. Below,
	// everyone asks the leader.
	treeFrom = 24
	// relayTimeout bounds one question to a parent.
	relayTimeout = 300 * time.Millisecond
	// leastWorth is the shortest rest of a parent's lease that is taken.
	leastWorth = 900 * time.Millisecond
)

type relayRequest struct {
	Generation uint64 `msgpack:"g"`
}

type relayReply struct {
	Lease replica.Lease `msgpack:"l"`
	Ok    bool          `msgpack:"o"`
}

// Ranker orders the instances for a key; gossip.Service is one.
type Ranker interface {
	Rank(key string) []membership.Instance
	Self() membership.Instance
}

// Relay gets leases over a tree of instances, so that the leader answers a
// bounded number of them whatever the number of instances. A parent that does
// not answer, or whose lease is old, is passed over: the instance then asks the
// replicas itself.
type Relay struct {
	transport *frame.Transport
	ranker    Ranker
	direct    Source
}

// NewRelay returns a source and registers the handler that serves children
// from the holder's own lease.
func NewRelay(t *frame.Transport, r Ranker, direct Source, h *Holder) *Relay {
	t.HandleRequest(methodRelay, func(_ context.Context, _ string, body []byte) (any, error) {
		var req relayRequest
		if err := wire.Decode(body, &req); err != nil {
			return nil, eris.Wrap(err, "decode lease request")
		}
		l, ok := h.PassOn(req.Generation)
		return &relayReply{l, ok}, nil
	})
	return &Relay{t, r, direct}
}

// Lease implements Source.
func (r *Relay) Lease(ctx context.Context, generation uint64) (replica.Lease, error) {
	if parent := r.parent(); parent != "" {
		if l, ok := r.ask(ctx, parent, generation); ok {
			return l, nil
		}
	}
	return r.direct.Lease(ctx, generation)
}

// parent returns the peer address to ask, "" for the leader. The tree is a
// heap over the ranking: all instances with the same view build the same one.
func (r *Relay) parent() string {
	ranked := r.ranker.Rank(treeKey)
	if len(ranked) < treeFrom {
		return ""
	}
	for position, i := range ranked {
		if i.Name != r.ranker.Self().Name {
			continue
		}
		if position < fanOut {
			return ""
		}
		return ranked[position/fanOut-1].PeerAddress
	}
	return ""
}

func (r *Relay) ask(ctx context.Context, parent string, generation uint64) (replica.Lease, bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var reply relayReply
	err := r.transport.Call(ctx, parent, methodRelay, &relayRequest{generation}, &reply)
	if err != nil || !reply.Ok || reply.Lease.Valid < leastWorth {
		return replica.Lease{}, false
	}
	return reply.Lease, true
}
