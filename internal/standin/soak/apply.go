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

// drainBound is the time after which a draining upstream must receive no new requests.
const drainBound = 3 * time.Second

// runStep carries out a step, waits for its duration and undoes it.
func (s *soak) runStep(ctx context.Context, planned step) {
	daemon := s.cluster.Daemons[planned.daemon]

	switch planned.kind { //nolint:exhaustive // kindCount is not a kind
	case killDaemon, pauseDaemon, stopDaemon:
		s.disturbDaemon(ctx, planned, daemon)
	case reloadDaemon:
		s.reloadDaemon(planned, daemon)
	case holdPeers, delayPeers, resetPeers:
		s.disturbConnections(ctx, planned, daemon.PeerProxy)
	case holdStore, delayStore, resetStore:
		s.disturbConnections(ctx, planned, daemon.PlatformProxy)
	case pausePlatform:
		s.pauseProcess(ctx, planned, allDaemons, &s.platformLock, s.cluster.PausePlatform, s.cluster.ResumePlatform)
	case pauseUpstreams:
		s.pauseProcess(ctx, planned, planned.daemon, &s.upstreamLocks[planned.daemon],
			func() error { return s.cluster.PauseUpstreams(daemon) }, func() error { return s.cluster.ResumeUpstreams(daemon) })
	case storeOutage, storeSlow, storeLosesAnswers:
		s.disturbStore(ctx, planned)
	case grayUpstream, silentUpstream, drainUpstream:
		s.disturbUpstream(ctx, planned, daemon)
	case publish:
		s.publishRoute(ctx, planned)
	case withdrawKey:
		s.withdrawKeyOnce(ctx)
	}
}

// disturbDaemon kills, stops or pauses a daemon, and starts or resumes it again. It does
// nothing if another step is disturbing the daemon.
func (s *soak) disturbDaemon(ctx context.Context, planned step, daemon *cluster.Daemon) {
	if !s.daemonLocks[planned.daemon].TryLock() {
		return
	}
	defer s.daemonLocks[planned.daemon].Unlock()

	end := s.timeline.beginDisturbance(planned.kind, planned.daemon)
	defer end()

	switch planned.kind { //nolint:exhaustive // the others are not about processes
	case pauseDaemon:
		s.reportFailure(s.cluster.PauseDaemon(daemon))
		sleep(ctx, planned.duration)
		s.reportFailure(s.cluster.ResumeDaemon(daemon))

		return
	case killDaemon:
		s.reportFailure(s.cluster.KillDaemon(daemon))
		sleep(ctx, planned.duration)
	default:
		s.reportFailure(s.cluster.StopDaemon(daemon))
	}

	s.restartCounts[planned.daemon].Add(1)
	s.reportFailure(s.cluster.StartDaemon(daemon))
}

// reloadDaemon makes a daemon reload its settings, unless a step is disturbing the daemon.
func (s *soak) reloadDaemon(planned step, daemon *cluster.Daemon) {
	if s.daemonLocks[planned.daemon].TryLock() {
		defer s.daemonLocks[planned.daemon].Unlock()

		s.reportFailure(s.cluster.ReloadDaemon(daemon))
	}
}

// disturbConnections resets, delays or holds back the connections through a proxy. Faults
// of overlapping steps replace each other, and each step that ends removes the current
// one. No fault remains after the last step has ended.
func (s *soak) disturbConnections(ctx context.Context, planned step, connections *proxy.Proxy) {
	end := s.timeline.beginDisturbance(planned.kind, planned.daemon)
	defer end()

	switch planned.kind { //nolint:exhaustive // the others are not about connections
	case resetPeers, resetStore:
		connections.ResetConnections()

		return
	case holdPeers, holdStore:
		connections.SetFaults([...]proxy.Faults{{HoldToTarget: true}, {HoldToCaller: true}, {HoldToTarget: true, HoldToCaller: true}}[planned.variant%3])
	default:
		connections.SetFaults(proxy.Faults{Delay: [...]time.Duration{5, 30, 200, 700}[planned.variant%4] * time.Millisecond})
	}

	sleep(ctx, planned.duration)

	if planned.variant%2 == 1 {
		connections.ResetConnections() // the held data is lost
	}

	connections.SetFaults(proxy.Faults{})
}

// pauseProcess suspends a process for the step's duration. It does nothing if another step
// holds the process's lock.
func (s *soak) pauseProcess(ctx context.Context, planned step, daemon int, lock interface {
	TryLock() bool
	Unlock()
}, pause, resume func() error,
) {
	if !lock.TryLock() {
		return
	}
	defer lock.Unlock()

	end := s.timeline.beginDisturbance(planned.kind, daemon)
	defer end()

	s.reportFailure(pause())
	sleep(ctx, planned.duration)
	s.reportFailure(resume())
}

// disturbStore injects a fault into the stand-in platform's store, unless another step
// disturbs it.
func (s *soak) disturbStore(ctx context.Context, planned step) {
	if !s.platformLock.TryLock() {
		return
	}
	defer s.platformLock.Unlock()

	end := s.timeline.beginDisturbance(planned.kind, allDaemons)
	defer end()

	faults := map[stepKind]string{
		storeOutage: `{"Outage": true}`, storeSlow: `{"Latency": "600ms"}`, storeLosesAnswers: `{"LoseAnswers": 0.5}`,
	}
	s.reportFailure(s.cluster.SetPlatformFaults(ctx, faults[planned.kind]))
	sleep(ctx, planned.duration)
	s.reportFailure(s.cluster.SetPlatformFaults(context.WithoutCancel(ctx), `{}`))
}

// disturbUpstream makes an upstream gray, silent or draining for a time. It does nothing
// if another step disturbs the upstreams beside the daemon.
func (s *soak) disturbUpstream(ctx context.Context, planned step, daemon *cluster.Daemon) {
	if !s.upstreamLocks[planned.daemon].TryLock() {
		return
	}
	defer s.upstreamLocks[planned.daemon].Unlock()

	mode, duration := upstream.Mode{Silent: true}, planned.duration

	switch planned.kind { //nolint:exhaustive // the others are not about upstreams
	case grayUpstream:
		mode = [...]upstream.Mode{
			{SlowFactor: 20},
			{CutFraction: 0.5},
			{BrokenFraction: 0.7},
			{ShedFraction: 0.8},
			{Freeze: true},
			{BrokenFraction: 1, FlapPeriodMilliseconds: 1400},
		}[planned.variant%6]
	case drainUpstream:
		mode, duration = upstream.Mode{Drain: true}, planned.duration+drainBound
	}

	service := services[planned.service]
	began := time.Now()
	end := s.timeline.beginDisturbance(planned.kind, planned.daemon)

	defer end()

	s.reportFailure(daemon.SetMode(ctx, service, mode))
	sleep(ctx, duration)

	if planned.kind == drainUpstream {
		s.checkDrain(daemon, planned, service, began)
	}

	s.reportFailure(daemon.SetMode(context.WithoutCancel(ctx), service, upstream.Mode{}))
}

// checkDrain adds a finding if a draining upstream received a request after drainBound. It
// ignores a drain during which the daemon beside the upstream was killed, paused or stopped.
func (s *soak) checkDrain(daemon *cluster.Daemon, planned step, service string, began time.Time) {
	record, err := s.cluster.UpstreamRecord(context.Background(), daemon.Name+"-"+service)
	s.reportFailure(err)

	lastArrival := time.Duration(record.LastDrainingMilliseconds) * time.Millisecond
	if lastArrival <= drainBound || time.Since(began) <= drainBound ||
		s.timeline.wasDisturbed(planned.daemon, began, time.Now(), 0, killDaemon, pauseDaemon, stopDaemon) {
		return
	}

	s.timeline.addFinding(fmt.Sprintf("upstream %s-%s got a request %s after it began to drain", daemon.Name, service, lastArrival))
}

// publishRoute publishes a team with one route. It adds the team of the step's variant or,
// if that team exists, changes its route. The publication fails while the store is
// unavailable, which is not a finding.
func (s *soak) publishRoute(ctx context.Context, planned step) {
	number := s.publicationCount.Add(1)
	file := filepath.Join(s.WorkDir, fmt.Sprintf("soak-%d.ini", number))
	text := fmt.Sprintf("Team = Soak%d\n[Route Soak%d]\nService = Calendar\nHost = %s\nPathPrefix = /soak-%d\nMethods = GET\n"+
		"Idempotent = true\nOpen = true\n", planned.variant, planned.variant, host, number)

	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.reportFailure(fmt.Errorf("write team file: %w", err))

		return
	}

	// A conflict or an outage is an allowed outcome. The run checks only that all daemons
	// end up with the same version.
	_, _ = s.cluster.RunClient(ctx, "--operator", "soak", "publish", file)
}

// withdrawKeyOnce withdraws the key of withdrawnAccount, at most once in a run.
func (s *soak) withdrawKeyOnce(ctx context.Context) {
	if !s.withdrawalStarted.CompareAndSwap(false, true) {
		return
	}

	output, err := s.cluster.RunClientWithInput(ctx, s.keys[withdrawnAccount]+"\n", "--operator", "soak", "key", "withdraw")
	if err != nil {
		s.logf("key withdrawal failed: %v", err)

		return
	}

	s.logf("%s", strings.TrimSpace(output))

	now := time.Now()
	s.withdrawnAt.Store(&now)
}

// reportFailure adds a finding if an action failed, since the run then no longer tests what
// its schedule lists.
func (s *soak) reportFailure(err error) {
	if err != nil {
		s.timeline.addFinding("action failed: " + err.Error())
	}
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
