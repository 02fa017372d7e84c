package replica

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/frame"
)

const (
	// attemptTimeout bounds one request to one replica: a replica that is cut off may
	// not answer at all.
	attemptTimeout = 700 * time.Millisecond
	// retryPause is the pause before the first retry; it doubles up to maxRetryPause.
	// All calls retry this way while there is no leader; as soon as one call succeeds, the
	// others retry immediately.
	retryPause    = 15 * time.Millisecond
	maxRetryPause = 120 * time.Millisecond
)

// Client sends requests to the leader of the replica group from any instance.
// Safe for concurrent use.
type Client struct {
	transport *frame.Transport
	directory *Directory
	mu        sync.Mutex
	leader    string
	// pausing counts the calls in pause; succeeded is closed to end their pauses.
	pausing   int
	succeeded chan struct{}
}

// NewClient returns a client that finds replicas through the directory.
func NewClient(t *frame.Transport, d *Directory) *Client {
	return &Client{transport: t, directory: d, succeeded: make(chan struct{})}
}

// Directory returns the directory that the client finds replicas through.
func (c *Client) Directory() *Directory { return c.directory }

func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.leader = c.randomReplica()
	}
	return c.leader
}

// changeTarget selects another target after one that did not serve the request: hint, the leader
// that it named, or else a random replica.
func (c *Client) changeTarget(from, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != from {
		return
	}
	c.leader = hint
	if hint == "" || hint == from {
		c.leader = c.randomReplica(from)
	}
}

// randomReplica returns a random address, other than the given ones if possible.
func (c *Client) randomReplica(excluded ...string) string {
	list := c.directory.Addresses()
	candidates := slices.DeleteFunc(slices.Clone(list), func(a string) bool { return slices.Contains(excluded, a) })
	if len(candidates) == 0 {
		candidates = list
	}
	if len(candidates) == 0 {
		return "" // no seed is known yet; reloaded settings may name one
	}
	return candidates[rand.IntN(len(candidates))]
}

// call sends a request to replicas until the leader has answered or the context
// ends. All requests are idempotent. Each attempt decodes into a new reply.
func call[T redirectable](ctx context.Context, c *Client, method string, in any) (T, error) {
	return callWithin[T](ctx, c, method, in, noTimeLimit)
}

// noTimeLimit leaves the limit to the context.
const noTimeLimit = time.Duration(math.MaxInt64)

// callWithin is call with a time limit, after which it waits only for a response that is
// arriving then.
func callWithin[T redirectable](ctx context.Context, c *Client, method string, in any, limit time.Duration) (T, error) {
	var zero T
	var lastErr error
	wait := retryPause
	start := time.Now()
	for redirects := 0; ctx.Err() == nil && time.Since(start) < limit; {
		target := c.target()
		out, err := attempt[T](ctx, c.transport, target, method, in, min(attemptTimeout, limit-time.Since(start)))
		if errors.Is(ctx.Err(), context.Canceled) {
			break // cancelled by the caller; the target may be healthy
		}
		if err != nil {
			lastErr = err
			c.changeTarget(target, "")
			c.pause(ctx, &wait)
			continue
		}
		d := out.redirection()
		if !d.NotLeader && !d.Retry {
			c.endPauses()
			return out, nil
		}
		lastErr = eris.Errorf("%s: peer %s is not the leader", method, target)
		if d.NotLeader {
			c.changeTarget(target, d.Leader)
		}
		// The first redirect is followed immediately; later ones only after a pause, since
		// two replicas may redirect to each other.
		if redirects++; redirects > 1 || d.Leader == "" {
			c.pause(ctx, &wait)
		}
	}
	if lastErr == nil {
		lastErr = context.Cause(ctx)
	}
	return zero, eris.Wrapf(lastErr, "%s: no answer from the replicas", method)
}

func attempt[T any](ctx context.Context, t *frame.Transport, target, method string, in any, timeout time.Duration) (T, error) {
	ctx, cancel := t.WithResponseTimeout(ctx, target, timeout)
	defer cancel()
	var out T
	err := t.Call(ctx, target, method, in, &out)
	return out, err
}

// pause waits before the next attempt, twice as long each time, or until another call
// succeeds.
func (c *Client) pause(ctx context.Context, wait *time.Duration) {
	c.mu.Lock()
	succeeded := c.succeeded
	c.pausing++
	c.mu.Unlock()
	timer := time.NewTimer(*wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-succeeded:
	case <-timer.C:
	}
	*wait = min(maxRetryPause, 2**wait)
	c.mu.Lock()
	c.pausing--
	c.mu.Unlock()
}

// endPauses ends the pauses of the other calls, since there is a leader.
func (c *Client) endPauses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pausing > 0 {
		close(c.succeeded)
		c.succeeded = make(chan struct{})
	}
}

// Propose commits a command and returns its result. After an error the command
// may or may not be committed.
func (c *Client) Propose(ctx context.Context, cmd *state.Command) (state.Result, error) {
	reply, err := call[proposeReply](ctx, c, methodPropose, cmd)
	return reply.Result, err
}

// Source returns the declaration in force as the operator sent it, by a
// linearizable read; nil before the first one.
func (c *Client) Source(ctx context.Context) ([]byte, error) {
	reply, err := call[sourceReply](ctx, c, methodSource, struct{}{})
	return reply.Source, err
}

// OnlySoftware returns the version that all servers of a pool have had since the log began, by a
// linearizable read; ok is false if there were several, or none.
func (c *Client) OnlySoftware(ctx context.Context, pool string) (v fleet.SoftwareVersion, ok bool, err error) {
	reply, err := call[softwareReply](ctx, c, methodSoftware, pool)
	if err != nil || !reply.Known || reply.Software.Several {
		return "", false, err
	}
	return reply.Software.Software, true, nil
}

// Lease returns a lease with the configuration update since a generation, by a
// linearizable read.
func (c *Client) Lease(ctx context.Context, generation uint64) (Lease, error) {
	reply, err := call[leaseReply](ctx, c, methodLease, &leaseRequest{generation})
	return reply.Lease, err
}

// Status returns the group's state.
func (c *Client) Status(ctx context.Context) (api.GroupStatus, error) {
	reply, err := call[statusReply](ctx, c, methodStatus, struct{}{})
	return reply.Status, err
}

// Audit returns a page of the audit entries after a sequence number.
func (c *Client) Audit(ctx context.Context, after uint64) ([]state.AuditEntry, error) {
	reply, err := call[auditReply](ctx, c, methodAudit, &auditRequest{after})
	return reply.Entries, err
}

// Orphans lists open durable calls whose owner is not in alive.
func (c *Client) Orphans(ctx context.Context, alive []string, limit int) ([]state.Orphan, error) {
	reply, err := call[orphansReply](ctx, c, methodOrphans, &orphansRequest{alive, limit})
	return reply.Orphans, err
}

// Lookup returns the record of a call and whether there is one.
func (c *Client) Lookup(ctx context.Context, key state.CallKey) (state.CallRecord, bool, error) {
	reply, err := call[callReply](ctx, c, methodCall, &key)
	return reply.Record, reply.Found, err
}
