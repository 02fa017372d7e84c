// Package loop provides the periodic loop of supervised services.
package loop

import (
	"context"
	"time"
)

// Every calls f once per period until the context ends, and returns the context's error.
// A slow f delays the next call; missed calls are not made up for.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			f(now)
		}
	}
}
