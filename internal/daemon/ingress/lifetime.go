package ingress

import (
	"context"
	"time"
)

// lifetime is how long the attempts of a request may run: until the caller goes
// away, until the deadline if there is no answer by then, or until the answer's
// body is closed. Attempts that lost against a hedge run on until the deadline.
type lifetime struct {
	ctx      context.Context //nolint:containedctx // handed to the attempts
	cancel   context.CancelFunc
	deadline time.Time
	// unhook separates the attempts from the caller, whose context ends as
	// soon as the answer has been written.
	unhook func() bool
	timer  *time.Timer
	losers bool
}

func newLifetime(caller context.Context, deadline time.Time) *lifetime {
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))

	return &lifetime{
		ctx: ctx, cancel: cancel, deadline: deadline,
		unhook: context.AfterFunc(caller, cancel), timer: time.AfterFunc(time.Until(deadline), cancel),
	}
}

// answered lets a long answer run on past the deadline, which bounds only the
// time to its start. Losers says that other attempts are still running.
func (l *lifetime) answered(losers bool) {
	l.losers = losers

	if !l.timer.Stop() {
		l.cancel()
	}
}

// end is called when the request has no answer or its body has been closed.
func (l *lifetime) end() {
	if rest := time.Until(l.deadline); l.losers && rest > 0 && l.unhook() {
		time.AfterFunc(rest, l.cancel)

		return
	}

	l.unhook()
	l.timer.Stop()
	l.cancel()
}
