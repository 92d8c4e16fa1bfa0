package accounts

import (
	"slices"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	core "github.com/kumquatshelf/kumquatshelf/internal/core/health"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
)

// dispatch sends a request as internal/daemon/ingress does.
func (m *model) dispatch(r *request) {
	in := m.ingresses[r.ingress]
	in.retries.Request()
	in.hedges.Request()
	m.fleet.After(max(0, r.arrived+deadline-m.fleet.Now), func() {
		m.finish(r, false)
	})
	m.next(r)
}

// next starts the next attempt or gives the request up.
func (m *model) next(r *request) {
	if r.done || r.running > 0 {
		return
	}
	if len(r.tried) >= maxAttempts || !m.mayRetry(r) {
		m.finish(r, false)

		return
	}
	if !m.start(r, false) {
		m.fleet.After(noUpstreamPause, func() { m.next(r) })

		return
	}
	m.hedge(r)
}

// hedge starts a second attempt when the first takes longer than most.
func (m *model) hedge(r *request) {
	in := m.ingresses[r.ingress]
	if !r.idempotent || len(r.tried) > 1 || m.policy == roundRobin || m.policy == leastQueue || !in.hedges.Available() {
		return
	}
	delay, ok := in.latency.At(hedgeQuantile)
	if !ok {
		return
	}
	m.fleet.After(delay, func() {
		if !r.done && r.running == 1 && len(r.tried) == 1 && in.hedges.Spend() {
			m.start(r, true)
		}
	})
}

func (m *model) mayRetry(r *request) bool {
	switch {
	case len(r.tried) == 0:
		return true
	case r.last.Outcome == fleet.Unknown && !r.idempotent:
		return false
	case r.last.Outcome == fleet.NotRun:
		return true
	}

	return m.ingresses[r.ingress].retries.Spend()
}

func (m *model) candidates(ingress int) []balance.Candidate {
	list := make([]balance.Candidate, len(m.upstreams))
	for i, u := range m.upstreams {
		state := m.arbitration.State(i, m.fleet.Now)
		list[i] = balance.Candidate{
			Upstream: upstreamNames[i], Slots: slots, State: u.state, StateSince: u.since,
			SameZone: ingress%m.Zones == i%m.Zones,
			Ejected:  state == core.Ejected, Probation: state == core.Probation,
		}
	}

	return list
}

func (m *model) choose(r *request, hedge bool) (int, bool) {
	in, list := m.ingresses[r.ingress], m.candidates(r.ingress)
	if m.policy == thisPolicy || m.policy == evenSplit {
		return in.tracker.Choose(list, balance.Request{Idempotent: r.idempotent, Tried: r.tried, Hedge: hedge}, m.now(), m.random)
	}
	var eligible []int
	for i := range list {
		if !list[i].Ejected && !slices.Contains(r.tried, list[i].Upstream) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return 0, false
	}
	in.turn++
	if m.policy == roundRobin {
		return eligible[in.turn%len(eligible)], true
	}
	best := eligible[in.turn%len(eligible)]
	for _, i := range eligible {
		if in.depth(i) < in.depth(best) {
			best = i
		}
	}

	return best, true
}

// depth is the queue as an ingress knows it without the balancer.
func (in *ingress) depth(i int) int {
	load := in.tracker.Load(upstreamNames[i])

	return max(in.inFlight[i], load.InFlight+load.Queued)
}

func (m *model) start(r *request, hedge bool) bool {
	i, ok := m.choose(r, hedge)
	if !ok {
		return false
	}
	in := m.ingresses[r.ingress]
	in.tracker.Started(upstreamNames[i])
	in.inFlight[i]++
	r.tried = append(r.tried, upstreamNames[i])
	r.running++
	m.sequence++
	a := &attempt{request: r, upstream: i, began: m.fleet.Now, id: fleet.AttemptID{Sequence: m.sequence}}
	m.fleet.After(m.hop(r.ingress, i), func() { m.enqueue(a) })

	return true
}

// enqueue puts an attempt into the queue of its egress.
func (m *model) enqueue(a *attempt) {
	u, owner := m.upstreams[a.upstream], m.accounts[a.request.account]
	item := queue.Item{
		ID: a.id, ClientAccount: owner.name, Weight: max(1, int(owner.limit.Rate)),
		Deadline: epoch.Add(a.request.arrived + deadline),
	}
	if m.policy == roundRobin {
		item.ClientAccount, item.Weight, item.Deadline = fifoAccount, 1, never
	}
	m.waiting[a.id] = a
	push := u.queue.Push(item, slots, max(0, slots-len(u.running)), m.now())
	for _, displaced := range push.Displaced {
		m.refuse(displaced.ID, fleet.ReasonQueueFull)
	}
	switch push.Verdict {
	case queue.Late:
		m.refuse(a.id, fleet.ReasonDeadline)
	case queue.Full:
		m.refuse(a.id, fleet.ReasonQueueFull)
	case queue.Queued:
		m.serve(a.upstream)
	}
}

func (m *model) refuse(id fleet.AttemptID, reason fleet.Reason) {
	a := m.waiting[id]
	delete(m.waiting, id)
	m.respond(a, fleet.Refuse(reason, ""))
}

// serve starts queued attempts while slots are free.
func (m *model) serve(i int) {
	u := m.upstreams[i]
	for len(u.running) < slots {
		item, found, expired := u.queue.Pop(m.now())
		for _, late := range expired {
			m.refuse(late.ID, fleet.ReasonDeadline)
		}
		if !found {
			return
		}
		a := m.waiting[item.ID]
		delete(m.waiting, item.ID)
		u.running = append(u.running, a)
		a.request.started = true
		m.execute(a, u, item)
	}
}

// execute runs an attempt in a slot, at most until its deadline.
func (m *model) execute(a *attempt, u *upstream, item queue.Item) {
	_, cut, _ := m.conditionOf(m.deployment, a.upstream, m.since())
	served := m.serviceTime(a.upstream)
	o := fleet.Observation{
		State: u.state, Status: 200, ClientAccount: m.accounts[a.request.account].name, Route: "Route",
		Truncated: m.random.Float64() < cut,
	}
	reply := fleet.Reply{Outcome: fleet.Ran}
	if o.Truncated {
		reply = fleet.Fail(fleet.ReasonTruncated, "")
	}
	if left := item.Deadline.Sub(m.now()); served > left {
		served, o.Result = left, fleet.CallTimedOut
		reply = fleet.Fail(fleet.ReasonDeadline, "")
	}
	m.fleet.After(served, func() {
		i := slices.Index(u.running, a)
		if i < 0 {
			return
		}
		u.running = slices.Delete(u.running, i, i+1)
		u.queue.Served(served)
		o.Served = served
		m.arbitration.Observe(a.upstream, o)
		m.respond(a, reply)
		m.serve(a.upstream)
	})
}

// respond carries a reply back to the ingress.
func (m *model) respond(a *attempt, reply fleet.Reply) {
	u, r := m.upstreams[a.upstream], a.request
	reply.Load = fleet.Load{InFlight: len(u.running), Queued: u.queue.Len(), Slots: slots, State: u.state}
	if reply.Outcome != fleet.NotRun {
		// The attempt itself is counted, as at the egress.
		reply.Load.InFlight++
	}
	m.fleet.After(m.hop(r.ingress, a.upstream), func() { m.settle(a, reply) })
}

// settle takes a reply at the ingress.
func (m *model) settle(a *attempt, reply fleet.Reply) {
	r, in := a.request, m.ingresses[a.request.ingress]
	elapsed := m.fleet.Now - a.began
	in.inFlight[a.upstream]--
	m.arbitration.ObservePath(r.ingress, a.upstream, true)
	switch {
	case reply.Outcome == fleet.Ran:
		in.latency.Add(elapsed)
		in.tracker.Finished(upstreamNames[a.upstream], reply.Load, elapsed, m.now())
	case m.fleet.Now >= r.arrived+deadline:
		in.tracker.Abandoned(upstreamNames[a.upstream], elapsed, m.now())
	default:
		in.tracker.Finished(upstreamNames[a.upstream], reply.Load, 0, m.now())
	}
	r.running--
	if r.done {
		return
	}
	if reply.Outcome == fleet.Ran {
		m.finish(r, true)

		return
	}
	if r.last.Outcome != fleet.Unknown || reply.Outcome == fleet.Unknown || len(r.tried) == 1 {
		r.last = reply
	}
	m.next(r)
}

// finish ends a request. Late answers count as none.
func (m *model) finish(r *request, answered bool) {
	if r.done {
		return
	}
	r.done = true
	since := r.arrived - warmUp
	if since < 0 || since >= length || m.greedy && r.account == greedyAccount {
		return
	}
	t := &m.result.accounts[r.account]
	t.offered++
	switch {
	case answered && m.fleet.Now <= r.arrived+deadline:
		t.answered++
		t.latencies = append(t.latencies, m.fleet.Now-r.arrived)
	case !r.started:
		t.refused++
	}
}
