package ingress

import (
	"context"
	"time"
)

// lifetime is how long an attempt may run: as long as its request, unless it is
// detached from it.
type lifetime struct {
	ctx    context.Context //nolint:containedctx // handed to the attempt's goroutine
	cancel context.CancelFunc
	// unhook separates the attempt from its request.
	unhook func() bool
}

func newLifetime(request context.Context) *lifetime {
	ctx, cancel := context.WithCancel(context.WithoutCancel(request))

	return &lifetime{ctx: ctx, cancel: cancel, unhook: context.AfterFunc(request, cancel)}
}

// detach lets the attempt outlive its request by at most the given time.
func (l *lifetime) detach(limit time.Duration) {
	if l.unhook() {
		time.AfterFunc(limit, l.cancel)
	}
}
