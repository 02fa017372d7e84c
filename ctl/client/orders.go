package client

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
)

func uintText(n uint64) string { return strconv.FormatUint(n, 10) }

// maxRebase bounds how often an order is signed anew because the generation
// moved on meanwhile.
const maxRebase = 5

// PublishOrder returns the signed order for a bundle.
func (c *Client) PublishOrder(b *bundle.Bundle, expected uint64) *bundle.SignedOrder {
	o := &bundle.SignedOrder{Kind: bundle.OrderPublish, Version: b.Version, Digest: b.Digest(), Expected: expected, Content: b.Canonical()}
	c.Key.Sign(o)
	return o
}

// rebase signs and sends an order, again when only the generation has moved.
func (c *Client) rebase(ctx context.Context, make func(expected uint64) *bundle.SignedOrder) (state.Result, error) {
	var res state.Result
	for range maxRebase {
		st, err := c.Status(ctx)
		if err != nil {
			return res, err
		}
		if res, err = c.Order(ctx, make(st.Generation)); err != nil || res.Code != state.CodeStale {
			return res, err
		}
	}
	return res, nil
}

// Publish signs a bundle off and puts it in force. Publishing the same bundle
// again gives the same answer.
func (c *Client) Publish(ctx context.Context, b *bundle.Bundle) (state.Result, error) {
	return c.rebase(ctx, func(expected uint64) *bundle.SignedOrder { return c.PublishOrder(b, expected) })
}

// Change sends a roll-forward or withdraw.
func (c *Client) Change(ctx context.Context, kind bundle.OrderKind, version uint64) (state.Result, error) {
	return c.rebase(ctx, func(expected uint64) *bundle.SignedOrder {
		o := &bundle.SignedOrder{Kind: kind, Version: version, Expected: expected}
		c.Key.Sign(o)
		return o
	})
}

// Retire takes a backend server out.
func (c *Client) Retire(ctx context.Context, server string) (state.Result, error) {
	return c.rebase(ctx, func(expected uint64) *bundle.SignedOrder {
		o := &bundle.SignedOrder{Kind: bundle.OrderRetire, Server: server, Expected: expected}
		c.Key.Sign(o)
		return o
	})
}

const inForcePoll = 50 * time.Millisecond

// WaitInForce waits until every instance acts on a generation, or has no
// lease and so acts on nothing. progress is told each count.
func (c *Client) WaitInForce(ctx context.Context, generation uint64, progress func(done, all int)) error {
	for {
		list, err := c.Instances(ctx)
		if err != nil {
			return err
		}
		done := countInForce(list, generation)
		if progress != nil {
			progress(done, len(list))
		}
		if done == len(list) && done > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "generation %d in force on %d of %d instances", generation, done, len(list))
		case <-time.After(inForcePoll):
		}
	}
}

func countInForce(list []api.InstanceInfo, generation uint64) int {
	n := 0
	for _, i := range list {
		if i.Reachable && (i.Generation >= generation || !i.LeaseFresh) {
			n++
		}
	}
	return n
}
