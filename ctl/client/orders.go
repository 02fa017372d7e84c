package client

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
)

// maxSignAttempts limits how often an order is signed for the current generation when
// other orders keep changing it.
const maxSignAttempts = 5

// SignPublishOrder returns a signed order that publishes a bundle if the generation in
// force is the expected one.
func (c *Client) SignPublishOrder(b *bundle.Bundle, expected uint64) *bundle.SignedOrder {
	o := &bundle.SignedOrder{Kind: bundle.OrderPublish, Version: b.Version, Digest: b.Digest(), Expected: expected, Content: b.Canonical()}
	c.Key.Sign(o)
	return o
}

// sendAtCurrentGeneration signs and sends an order for the current generation, and again
// if the generation changed in between.
func (c *Client) sendAtCurrentGeneration(ctx context.Context, sign func(expected uint64) *bundle.SignedOrder) (state.Result, error) {
	var res state.Result
	for range maxSignAttempts {
		st, err := c.Status(ctx)
		if err != nil {
			return res, err
		}
		if res, err = c.SendOrder(ctx, sign(st.Generation)); err != nil || res.Code != state.CodeStale {
			return res, err
		}
	}
	return res, nil
}

// Publish signs a bundle and puts it in force. Publishing the same bundle again returns
// the same result.
func (c *Client) Publish(ctx context.Context, b *bundle.Bundle) (state.Result, error) {
	return c.sendAtCurrentGeneration(ctx, func(expected uint64) *bundle.SignedOrder { return c.SignPublishOrder(b, expected) })
}

// SendVersionOrder signs and sends an order about a published version: a roll-forward or
// a withdrawal.
func (c *Client) SendVersionOrder(ctx context.Context, kind bundle.OrderKind, version uint64) (state.Result, error) {
	return c.sendAtCurrentGeneration(ctx, func(expected uint64) *bundle.SignedOrder {
		o := &bundle.SignedOrder{Kind: kind, Version: version, Expected: expected}
		c.Key.Sign(o)
		return o
	})
}

// Retire signs and sends the order that retires a backend server.
func (c *Client) Retire(ctx context.Context, server string) (state.Result, error) {
	return c.sendAtCurrentGeneration(ctx, func(expected uint64) *bundle.SignedOrder {
		o := &bundle.SignedOrder{Kind: bundle.OrderRetire, Server: server, Expected: expected}
		c.Key.Sign(o)
		return o
	})
}

const inForcePollInterval = 50 * time.Millisecond

// WaitInForce waits until every instance is reachable and either has reached a generation
// or has no valid configuration lease, without which it does not act on any. After each
// poll, progress, which may be nil, gets the number of such instances and of all.
func (c *Client) WaitInForce(ctx context.Context, generation uint64, progress func(inForce, total int)) error {
	for {
		list, err := c.Instances(ctx)
		if err != nil {
			return err
		}
		inForce := countInForce(list, generation)
		if progress != nil {
			progress(inForce, len(list))
		}
		if inForce == len(list) && inForce > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "generation %d in force on %d of %d instances", generation, inForce, len(list))
		case <-time.After(inForcePollInterval):
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
