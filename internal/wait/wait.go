// Package wait pauses a duty until some time has passed or it is to end.
package wait

import (
	"context"
	"time"
)

// For waits and reports whether ctx is still open. A time of 0 or less does
// not wait.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
