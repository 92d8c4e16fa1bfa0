package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/proxy"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/upstream"
)

// drainBound is within which an upstream that drains must get nothing new.
const drainBound = 3 * time.Second

// run carries out a step and heals it.
func (s *soak) run(ctx context.Context, one step) {
	daemon := s.cluster.Daemons[one.daemon]

	switch one.kind { //nolint:exhaustive // kinds counts them
	case killDaemon, pauseDaemon, stopDaemon:
		s.process(ctx, one, daemon)
	case reloadDaemon:
		s.reload(one, daemon)
	case holdPeers, delayPeers, resetPeers:
		s.link(ctx, one, daemon.PeerProxy)
	case holdStore, delayStore, resetStore:
		s.link(ctx, one, daemon.PlatformProxy)
	case pausePlatform:
		s.pause(ctx, one, everywhere, &s.platform, s.cluster.PausePlatform, s.cluster.ResumePlatform)
	case pauseUpstreams:
		s.pause(ctx, one, one.daemon, &s.upstreams[one.daemon],
			func() error { return s.cluster.PauseUpstreams(daemon) }, func() error { return s.cluster.ResumeUpstreams(daemon) })
	case storeOutage, storeSlow, storeLosesAnswers:
		s.store(ctx, one)
	case grayUpstream, silentUpstream, drainUpstream:
		s.mode(ctx, one, daemon)
	case publish:
		s.publish(ctx, one)
	case withdrawKey:
		s.withdraw(ctx)
	}
}

// process ends or pauses a daemon, and starts or resumes it. A daemon that another
// step has taken is left alone.
func (s *soak) process(ctx context.Context, one step, daemon *cluster.Daemon) {
	if !s.daemons[one.daemon].TryLock() {
		return
	}
	defer s.daemons[one.daemon].Unlock()

	end := s.timeline.begin(one.kind, one.daemon)
	defer end()

	switch one.kind { //nolint:exhaustive // the others are not about processes
	case pauseDaemon:
		s.check(s.cluster.PauseDaemon(daemon))
		wait(ctx, one.lasts)
		s.check(s.cluster.ResumeDaemon(daemon))

		return
	case killDaemon:
		s.check(s.cluster.KillDaemon(daemon))
		wait(ctx, one.lasts)
	default:
		s.check(s.cluster.StopDaemon(daemon))
	}

	s.starts[one.daemon].Add(1)
	s.check(s.cluster.StartDaemon(daemon))
}

func (s *soak) reload(one step, daemon *cluster.Daemon) {
	if s.daemons[one.daemon].TryLock() {
		defer s.daemons[one.daemon].Unlock()

		s.check(s.cluster.ReloadDaemon(daemon))
	}
}

// link disturbs the connections through a proxy. Faults of several steps replace
// one another; the last one to end heals.
func (s *soak) link(ctx context.Context, one step, link *proxy.Proxy) {
	end := s.timeline.begin(one.kind, one.daemon)
	defer end()

	switch one.kind { //nolint:exhaustive // the others are not about links
	case resetPeers, resetStore:
		link.ResetConnections()

		return
	case holdPeers, holdStore:
		link.SetFaults([...]proxy.Faults{{HoldToTarget: true}, {HoldToCaller: true}, {HoldToTarget: true, HoldToCaller: true}}[one.variant%3])
	default:
		link.SetFaults(proxy.Faults{Delay: [...]time.Duration{5, 30, 200, 700}[one.variant%4] * time.Millisecond})
	}

	wait(ctx, one.lasts)

	if one.variant%2 == 1 {
		link.ResetConnections() // what was held is lost
	}

	link.SetFaults(proxy.Faults{})
}

// pause freezes a process and resumes it, unless it is frozen already.
func (s *soak) pause(ctx context.Context, one step, daemon int, lock interface {
	TryLock() bool
	Unlock()
}, freeze, resume func() error,
) {
	if !lock.TryLock() {
		return
	}
	defer lock.Unlock()

	end := s.timeline.begin(one.kind, daemon)
	defer end()

	s.check(freeze())
	wait(ctx, one.lasts)
	s.check(resume())
}

func (s *soak) store(ctx context.Context, one step) {
	if !s.platform.TryLock() {
		return
	}
	defer s.platform.Unlock()

	end := s.timeline.begin(one.kind, everywhere)
	defer end()

	faults := map[kind]string{
		storeOutage: `{"Outage": true}`, storeSlow: `{"Latency": "600ms"}`, storeLosesAnswers: `{"LoseAnswers": 0.5}`,
	}
	s.check(s.cluster.SetPlatformFaults(ctx, faults[one.kind]))
	wait(ctx, one.lasts)
	s.check(s.cluster.SetPlatformFaults(context.WithoutCancel(ctx), `{}`))
}

// mode makes an upstream gray, silent or draining, and well again.
func (s *soak) mode(ctx context.Context, one step, daemon *cluster.Daemon) {
	if !s.upstreams[one.daemon].TryLock() {
		return
	}
	defer s.upstreams[one.daemon].Unlock()

	mode, lasts := upstream.Mode{Silent: true}, one.lasts

	switch one.kind { //nolint:exhaustive // the others are not about upstreams
	case grayUpstream:
		mode = [...]upstream.Mode{
			{SlowFactor: 20},
			{CutFraction: 0.5},
			{BrokenFraction: 0.7},
			{ShedFraction: 0.8},
			{Freeze: true},
			{BrokenFraction: 1, FlapPeriodMilliseconds: 1400},
		}[one.variant%6]
	case drainUpstream:
		mode, lasts = upstream.Mode{Drain: true}, one.lasts+drainBound
	}

	service := services[one.service]
	began := time.Now()
	end := s.timeline.begin(one.kind, one.daemon)

	defer end()

	s.check(daemon.SetMode(ctx, service, mode))
	wait(ctx, lasts)

	if one.kind == drainUpstream {
		s.checkDrain(daemon, one, service, began)
	}

	s.check(daemon.SetMode(context.WithoutCancel(ctx), service, upstream.Mode{}))
}

// checkDrain checks that a draining upstream has got nothing new after the bound.
func (s *soak) checkDrain(daemon *cluster.Daemon, one step, service string, began time.Time) {
	record, err := s.cluster.UpstreamRecord(context.Background(), daemon.Name+"-"+service)
	s.check(err)

	late := time.Duration(record.LastDrainingMilliseconds) * time.Millisecond
	if late <= drainBound || time.Since(began) <= drainBound ||
		s.timeline.disturbed(one.daemon, began, time.Now(), 0, killDaemon, pauseDaemon, stopDaemon) {
		return
	}

	s.timeline.found(fmt.Sprintf("upstream %s-%s got a request %s after it began to drain", daemon.Name, service, late))
}

// publish publishes a version with one route more, which does not succeed while the
// store is away.
func (s *soak) publish(ctx context.Context, one step) {
	number := s.published.Add(1)
	file := filepath.Join(s.WorkDir, fmt.Sprintf("soak-%d.ini", number))
	text := fmt.Sprintf("Team = Soak%d\n[Route Soak%d]\nService = Calendar\nHost = %s\nPathPrefix = /soak-%d\nMethods = GET\n"+
		"Idempotent = true\nOpen = true\n", one.variant, one.variant, host, number)

	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.check(fmt.Errorf("write a team file: %w", err))

		return
	}

	// Conflicts and outages are allowed outcomes. What counts is what the store has.
	_, _ = s.cluster.RunClient(ctx, "--operator", "soak", "publish", file)
}

// withdraw withdraws the key of one account, once in a run.
func (s *soak) withdraw(ctx context.Context) {
	if !s.withdrawing.CompareAndSwap(false, true) {
		return
	}

	output, err := s.cluster.RunClientWithInput(ctx, s.keys[withdrawnAccount]+"\n", "--operator", "soak", "key", "withdraw")
	if err != nil {
		s.say("the key was not withdrawn: %v", err)

		return
	}

	s.say("%s", strings.TrimSpace(output))

	now := time.Now()
	s.withdrawnAt.Store(&now)
}

// check notes an action that failed. The run then tests something else than it says.
func (s *soak) check(err error) {
	if err != nil {
		s.timeline.found("action failed: " + err.Error())
	}
}

// wait waits, or until the run ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
