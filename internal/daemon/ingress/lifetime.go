package ingress

import (
	"context"
	"time"
)

// lifetime bounds the time for which the attempts of a request may run. Its context
// ends when the caller goes away, at the deadline if there is no answer by then, or
// when the answer's body is closed. If a hedged request is answered while another of
// its attempts is running, that attempt may run until the deadline.
type lifetime struct {
	ctx      context.Context //nolint:containedctx // passed to the attempts
	cancel   context.CancelFunc
	deadline time.Time
	// detachCaller lets the attempts outlive the caller's context, which ends as soon as
	// the answer has been written. It returns false if the context has ended already.
	detachCaller func() bool
	timer        *time.Timer
	// othersRunning is true if other attempts were running when the answer arrived.
	othersRunning bool
}

func newLifetime(caller context.Context, deadline time.Time) *lifetime {
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))

	return &lifetime{
		ctx: ctx, cancel: cancel, deadline: deadline,
		detachCaller: context.AfterFunc(caller, cancel), timer: time.AfterFunc(time.Until(deadline), cancel),
	}
}

// keepAnswer lets an answer continue after the deadline, which bounds only the time to
// its start. If the deadline has passed already, it ends the attempts.
func (l *lifetime) keepAnswer(othersRunning bool) {
	l.othersRunning = othersRunning

	if !l.timer.Stop() {
		l.cancel()
	}
}

// end is called when the request ends without an answer, or when the body of its answer
// has been closed.
func (l *lifetime) end() {
	if remaining := time.Until(l.deadline); l.othersRunning && remaining > 0 && l.detachCaller() {
		time.AfterFunc(remaining, l.cancel)

		return
	}

	l.detachCaller()
	l.timer.Stop()
	l.cancel()
}
