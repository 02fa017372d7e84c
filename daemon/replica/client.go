package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/frame"
)

const (
	// attemptTimeout bounds one try at one replica: a replica that is cut off
	// silently does not answer at all.
	attemptTimeout = 700 * time.Millisecond
	// retryPause is the pause before a replica is asked again, twice as long each time up
	// to mostRetryPause. While there is no leader, everything that waits for one asks so;
	// once one call has been served, the others go on at once.
	retryPause     = 15 * time.Millisecond
	mostRetryPause = 120 * time.Millisecond
)

// Client reaches the leader of the replica group from any instance. Safe for
// concurrent use.
type Client struct {
	transport *frame.Transport
	directory *Directory
	mu        sync.Mutex
	leader    string
	// pausing counts the calls that pause; served is closed for them.
	pausing int
	served  chan struct{}
}

// NewClient returns a client that looks for replicas in the directory.
func NewClient(t *frame.Transport, d *Directory) *Client {
	return &Client{transport: t, directory: d, served: make(chan struct{})}
}

// Directory returns where the client looks for replicas.
func (c *Client) Directory() *Directory { return c.directory }

func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.leader = c.anyReplica()
	}
	return c.leader
}

// moveOn forgets a target that did not serve; hint is the leader it named.
func (c *Client) moveOn(from, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != from {
		return
	}
	c.leader = hint
	if hint == "" || hint == from {
		c.leader = c.anyReplica(from)
	}
}

// anyReplica draws an address, other than the given one if there is another.
func (c *Client) anyReplica(other ...string) string {
	list := c.directory.Addresses()
	kept := slices.DeleteFunc(slices.Clone(list), func(a string) bool { return slices.Contains(other, a) })
	if len(kept) == 0 {
		kept = list
	}
	if len(kept) == 0 {
		return "" // no seed is known yet; the settings may name one later
	}
	return kept[rand.IntN(len(kept))]
}

// call tries replicas until the leader has answered or the context ends. All
// requests are safe to send again. Each attempt decodes into a fresh reply.
func call[T redirected](ctx context.Context, c *Client, method string, in any) (T, error) {
	var none T
	var last error
	wait := retryPause
	for redirects := 0; ctx.Err() == nil; {
		target := c.target()
		out, err := attempt[T](ctx, c.transport, target, method, in)
		if errors.Is(ctx.Err(), context.Canceled) {
			break // nobody waits any more; that says nothing about the target
		}
		if err != nil {
			last = err
			c.moveOn(target, "")
			c.pause(ctx, &wait)
			continue
		}
		d := out.where()
		if !d.NotLeader && !d.Retry {
			c.goOn()
			return out, nil
		}
		last = eris.Errorf("%s: peer %s is not the leader", method, target)
		if d.NotLeader {
			c.moveOn(target, d.Leader)
		}
		// The first hint is followed at once; two replicas that name each other
		// are not asked in turn without end.
		if redirects++; redirects > 1 || d.Leader == "" {
			c.pause(ctx, &wait)
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return none, eris.Wrapf(last, "%s: no answer from the replicas", method)
}

func attempt[T any](ctx context.Context, t *frame.Transport, target, method string, in any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var out T
	err := t.Call(ctx, target, method, in, &out)
	return out, err
}

// pause waits before the next try, longer each time, or until another call was served.
func (c *Client) pause(ctx context.Context, wait *time.Duration) {
	c.mu.Lock()
	served := c.served
	c.pausing++
	c.mu.Unlock()
	timer := time.NewTimer(*wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-served:
	case <-timer.C:
	}
	*wait = min(mostRetryPause, 2**wait)
	c.mu.Lock()
	c.pausing--
	c.mu.Unlock()
}

// goOn ends the pauses of the other calls: there is a leader.
func (c *Client) goOn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pausing > 0 {
		close(c.served)
		c.served = make(chan struct{})
	}
}

// Propose commits a command and returns its result. An error leaves open
// whether it was committed.
func (c *Client) Propose(ctx context.Context, cmd *state.Command) (state.Result, error) {
	reply, err := call[proposeReply](ctx, c, methodPropose, cmd)
	return reply.Result, err
}

// Source returns what the operator sent as the declaration in force, as of a
// moment after the call began; nil before the first one.
func (c *Client) Source(ctx context.Context) ([]byte, error) {
	reply, err := call[sourceReply](ctx, c, methodSource, struct{}{})
	return reply.Source, err
}

// Lease asks for what a holder of a generation lacks, as of a moment after the
// call began.
func (c *Client) Lease(ctx context.Context, generation uint64) (Lease, error) {
	reply, err := call[leaseReply](ctx, c, methodLease, &leaseRequest{generation})
	return reply.Lease, err
}

// Status returns the group's state.
func (c *Client) Status(ctx context.Context) (api.GroupStatus, error) {
	reply, err := call[statusReply](ctx, c, methodStatus, struct{}{})
	return reply.Status, err
}

// Audit returns a page of audit entries above a sequence.
func (c *Client) Audit(ctx context.Context, after uint64) ([]state.AuditEntry, error) {
	reply, err := call[auditReply](ctx, c, methodAudit, &auditRequest{after})
	return reply.Entries, err
}

// Orphans lists open durable calls whose owner is not among the living.
func (c *Client) Orphans(ctx context.Context, alive []string, limit int) ([]state.Orphan, error) {
	reply, err := call[orphansReply](ctx, c, methodOrphans, &orphansRequest{alive, limit})
	return reply.Orphans, err
}

// Lookup returns what is recorded about a call.
func (c *Client) Lookup(ctx context.Context, key state.CallKey) (state.CallRecord, bool, error) {
	reply, err := call[callReply](ctx, c, methodCall, &key)
	return reply.Record, reply.Found, err
}
