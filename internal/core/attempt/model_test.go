package attempt

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
)

func TestMain(m *testing.M) {
	// A fixed seed makes failures reproducible. A -rapid.seed on the command line takes
	// precedence.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "200", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	modelSlots    = 2
	modelCapacity = 3
)

// modelLimits returns limits so low that eviction and full tables are common.
func modelLimits() Limits {
	limits := smallLimits()
	limits.Records, limits.RecordsPerIngress = modelSlots+modelCapacity, 3

	return limits
}

type frameKind int

const (
	hello frameKind = iota
	request
	cancel
)

// frame is a frame in transit from an ingress to the egress. It belongs to one
// connection, so it reaches only the egress incarnation to which it was sent.
type frame struct {
	kind    frameKind
	session fleet.Session
	// attempt is the attempt that is sent or cancelled; it is empty for hello.
	attempt fleet.Attempt
	// to is the egress incarnation at the other end of the connection.
	to   uint64
	sent time.Time
}

// confirmation is a message in transit from the egress to an ingress. It confirms that the
// attempt has not run and never will.
type confirmation struct{ id fleet.AttemptID }

// modelIngress simulates one ingress.
type modelIngress struct {
	session fleet.Session
	// to is the egress incarnation that the ingress is connected to.
	to       uint64
	sequence uint64
	paused   bool
	// open holds the attempts whose result the ingress has not received.
	unresolved []fleet.Attempt
}

// model simulates the ingresses, links and upstream around the registry and queue under
// test, and records which attempts really ran.
type model struct {
	now time.Time
	// incarnation is that of the egress.
	incarnation uint64
	// latest is the newest session of each ingress whose hello the egress has received.
	latest   map[string]fleet.Session
	registry *Registry
	queue    *queue.Queue
	// paused stops the egress.
	paused bool
	// running and waiting hold the attempts that run at the upstream or wait in the queue.
	running   []fleet.Attempt
	waiting   map[fleet.AttemptID]fleet.Attempt
	ingresses []*modelIngress
	toEgress  []frame
	toIngress []confirmation
	// dropToEgress and dropToIngress make the links lose all new messages in one direction.
	dropToEgress  bool
	dropToIngress bool
	// requests is the number of requests submitted so far.
	requests int
	// requestOf returns the number of an attempt's request.
	requestOf map[fleet.AttemptID]int
	// runs counts the runs of each request, by its number.
	runs map[int]int
	// started and notRun hold the attempts that ran and those confirmed as not run.
	started map[fleet.AttemptID]bool
	notRun  map[fleet.AttemptID]bool
	// keyRunning and keyLastEnded describe the runs with each idempotency key on the
	// current egress incarnation.
	keyRunning   map[string]bool
	keyLastEnded map[string]time.Time
}

func newModel() *model {
	m := &model{
		now: epoch, requestOf: map[fleet.AttemptID]int{}, runs: map[int]int{},
		started: map[fleet.AttemptID]bool{}, notRun: map[fleet.AttemptID]bool{},
	}
	for _, name := range []string{"a", "b", "c"} {
		m.ingresses = append(m.ingresses, &modelIngress{session: fleet.Session{Daemon: name, Incarnation: 1}})
	}
	m.restartEgress()
	for _, in := range m.ingresses {
		m.connect(in)
	}

	return m
}

// restartEgress replaces the egress by a new incarnation without any records.
func (m *model) restartEgress() {
	m.incarnation++
	m.registry = New(m.incarnation, modelLimits())
	m.latest = map[string]fleet.Session{}
	m.queue = queue.New(modelCapacity)
	m.running, m.waiting = nil, map[fleet.AttemptID]fleet.Attempt{}
	m.keyRunning, m.keyLastEnded = map[string]bool{}, map[string]time.Time{}
}

// send puts a frame on the link from the ingress to the egress.
func (m *model) send(in *modelIngress, kind frameKind, a fleet.Attempt) {
	if !m.dropToEgress {
		m.toEgress = append(m.toEgress, frame{kind, in.session, a, in.to, m.now})
	}
}

// submit sends a new attempt of the request with the number.
func (m *model) submit(t *rapid.T, in *modelIngress, req int) {
	in.sequence++
	a := attemptOf(in.session, in.sequence)
	a.EgressIncarnation = rapid.SampledFrom([]uint64{0, in.to, in.to, in.to, max(in.to, 2) - 1}).Draw(t, "egress incarnation")
	a.ClientAccount = rapid.SampledFrom([]string{"c", "d"}).Draw(t, "client account")
	a.IdempotencyKey = rapid.SampledFrom([]string{"", "", "k"}).Draw(t, "key")
	a.DeadlineRemaining = time.Duration(rapid.IntRange(1, 90).Draw(t, "deadline remaining")) * time.Second
	m.requestOf[a.ID] = req
	in.unresolved = append(in.unresolved, a)
	m.send(in, request, a)
}

// confirm sends the ingress a confirmation that the attempt has not run. It fails if the
// attempt ran.
func (m *model) confirm(t *rapid.T, id fleet.AttemptID) {
	if m.started[id] {
		t.Fatalf("%s was confirmed as not run, but it ran", id)
	}
	m.notRun[id] = true
	if !m.dropToIngress {
		m.toIngress = append(m.toIngress, confirmation{id})
	}
}

// refuse removes queued attempts and confirms that they have not run.
func (m *model) refuse(t *rapid.T, ids ...fleet.AttemptID) {
	for _, id := range ids {
		m.queue.Remove(id)
		delete(m.waiting, id)
		m.registry.Refuse(id, m.now)
		m.confirm(t, id)
	}
}

// receive handles a frame at the egress. Frames for an earlier incarnation are lost.
func (m *model) receive(t *rapid.T, f frame) {
	if f.to != m.incarnation {
		return
	}
	id := f.attempt.ID
	switch f.kind {
	case hello:
		if latest := m.latest[f.session.Daemon]; f.session.Incarnation > latest.Incarnation ||
			f.session.Incarnation == latest.Incarnation && f.session.Number > latest.Number {
			m.latest[f.session.Daemon] = f.session
		}
		m.refuse(t, m.registry.OpenSession(f.session, m.now).RemovedAttempts...)
	case cancel:
		relayed := rapid.Bool().Draw(t, "relayed")
		result, wasQueued := m.registry.Cancel(f.session, id, f.attempt.EgressIncarnation, m.now)
		if relayed && result == fleet.CancelUnknown {
			result, wasQueued = m.registry.CancelRelayed(id, f.attempt.EgressIncarnation, m.now)
		}
		if wasQueued {
			m.queue.Remove(id)
			delete(m.waiting, id)
		}
		if result == fleet.CancelNotRun {
			if !relayed {
				m.checkFence(t, f)
			}
			m.confirm(t, id)
		}
	case request:
		switch m.registry.Admit(f.session, f.attempt, m.now).Verdict {
		case Admitted:
			m.checkFence(t, f)
			m.enqueue(t, f.attempt)
		case Cancelled, WrongIncarnation, Full, KeyMisused:
			m.confirm(t, id)
		}
	}
}

// checkFence fails if the accepted frame belongs to an older session than the newest one
// or was sent to another incarnation of the egress.
func (m *model) checkFence(t *rapid.T, f frame) {
	if latest := m.latest[f.session.Daemon]; f.session != latest {
		t.Fatalf("accepted a frame of session %+v, the newest is %+v", f.session, latest)
	}
	if to := f.attempt.EgressIncarnation; to != 0 && to != m.incarnation {
		t.Fatalf("accepted a frame for incarnation %d in incarnation %d", to, m.incarnation)
	}
}

// enqueue queues an admitted attempt, or refuses it if the queue does.
func (m *model) enqueue(t *rapid.T, a fleet.Attempt) {
	m.waiting[a.ID] = a
	push := m.queue.Push(queue.Item{
		ID: a.ID, ClientAccount: a.ClientAccount, Weight: a.Weight, Deadline: m.now.Add(a.DeadlineRemaining),
	}, modelSlots, modelSlots-len(m.running), m.now)
	for _, item := range push.Displaced {
		m.refuse(t, item.ID)
	}
	if push.Verdict != queue.Queued {
		m.refuse(t, a.ID)
	}
}

// startNext starts the next attempt from the queue if a slot is free. One in 5 is then
// not sent to the upstream, which ends it as not run.
func (m *model) startNext(t *rapid.T) {
	if m.paused || len(m.running) >= modelSlots {
		return
	}
	item, found, expired := m.queue.Pop(m.now)
	for _, e := range expired {
		m.refuse(t, e.ID)
	}
	if !found || !m.registry.Start(item.ID) {
		return
	}
	a := m.waiting[item.ID]
	delete(m.waiting, item.ID)
	if rapid.IntRange(0, 4).Draw(t, "not sent") == 0 {
		m.registry.Finish(a.ID, Result{Outcome: fleet.NotRun}, m.now)
		m.confirm(t, a.ID)

		return
	}
	m.run(t, a)
}

// run records that the attempt runs. It fails if the attempt or its request ran before, or
// if a run with its idempotency key is in progress or ended less than 10 minutes ago.
func (m *model) run(t *rapid.T, a fleet.Attempt) {
	if m.started[a.ID] {
		t.Fatalf("%s started twice", a.ID)
	}
	if m.notRun[a.ID] {
		t.Fatalf("%s runs after it was confirmed as not run", a.ID)
	}
	m.started[a.ID] = true
	if m.runs[m.requestOf[a.ID]]++; m.runs[m.requestOf[a.ID]] > 1 {
		t.Fatalf("a request ran twice, the second time as %s", a.ID)
	}
	m.running = append(m.running, a)
	if a.IdempotencyKey == "" {
		return
	}
	key := a.ClientAccount + a.IdempotencyKey
	if ended, found := m.keyLastEnded[key]; m.keyRunning[key] || found && m.now.Sub(ended) < 10*time.Minute {
		t.Fatalf("%s ran although its idempotency key was recorded", a.ID)
	}
	m.keyRunning[key] = true
}

// finishOne ends one of the running attempts.
func (m *model) finishOne(t *rapid.T) {
	if m.paused || len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	a := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	outcome := rapid.SampledFrom([]fleet.Outcome{fleet.Ran, fleet.Unknown}).Draw(t, "outcome")
	if !m.registry.Finish(a.ID, Result{Outcome: outcome}, m.now) {
		t.Fatalf("%s ended without a record", a.ID)
	}
	m.queue.ObserveServiceTime(time.Second)
	if a.IdempotencyKey != "" {
		m.keyRunning[a.ClientAccount+a.IdempotencyKey] = false
		m.keyLastEnded[a.ClientAccount+a.IdempotencyKey] = m.now
	}
}

// deliver delivers or loses any of the frames in transit, so that frames are reordered. A
// delivered frame may stay in transit, to be delivered again.
func (m *model) deliver(t *rapid.T) {
	if m.paused || len(m.toEgress) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.toEgress)-1).Draw(t, "frame")
	f := m.toEgress[i]
	switch rapid.IntRange(0, 9).Draw(t, "fate") {
	case 0:
		m.toEgress = append(m.toEgress[:i], m.toEgress[i+1:]...)
	case 1, 2, 3:
		m.receive(t, f)
	default:
		m.toEgress = append(m.toEgress[:i], m.toEgress[i+1:]...)
		m.receive(t, f)
	}
}

// deliverConfirmation delivers any of the confirmations in transit and may keep a copy of
// it in transit. The ingress retries the request with a new attempt.
func (m *model) deliverConfirmation(t *rapid.T) {
	if len(m.toIngress) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.toIngress)-1).Draw(t, "confirmation")
	id := m.toIngress[i].id
	if rapid.IntRange(0, 3).Draw(t, "keep a copy") > 0 {
		m.toIngress = append(m.toIngress[:i], m.toIngress[i+1:]...)
	}
	for _, in := range m.ingresses {
		if in.paused || id.Ingress != in.session.Daemon || id.Incarnation != in.session.Incarnation {
			continue
		}
		for j, a := range in.unresolved {
			if a.ID == id {
				in.unresolved = append(in.unresolved[:j], in.unresolved[j+1:]...)
				m.submit(t, in, m.requestOf[id])

				return
			}
		}
	}
}

// ingress returns any of the ingresses.
func (m *model) ingress(t *rapid.T) *modelIngress {
	return rapid.SampledFrom(m.ingresses).Draw(t, "ingress")
}

// advance moves the clock forward and drops frames older than IngressRetention, which
// the registry may assume to be lost.
func (m *model) advance(t *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{
		time.Millisecond, time.Millisecond, time.Second, time.Second, 10 * time.Second, 5 * time.Minute,
	})
	m.now = m.now.Add(step.Draw(t, "time"))
	m.registry.ExpireKeys(m.now)
	kept := m.toEgress[:0]
	for _, f := range m.toEgress {
		if m.now.Sub(f.sent) < modelLimits().IngressRetention {
			kept = append(kept, f)
		}
	}
	m.toEgress = kept
}

// check fails if the registry or the queue exceeds its limits or miscounts its contents.
func (m *model) check(t *rapid.T) {
	limits := modelLimits()
	total := len(m.registry.detached)
	for _, in := range m.registry.ingresses {
		total += len(in.records)
		if got, most := in.finished.Len(), limits.RecordsPerIngress; got > most {
			t.Fatalf("got %d finished records of one ingress, want at most %d", got, most)
		}
	}
	if total != m.registry.Len() || total > limits.Records {
		t.Fatalf("got %d records, counted as %d, want at most %d", total, m.registry.Len(), limits.Records)
	}
	if got := len(m.registry.ingresses); got > limits.Ingresses {
		t.Fatalf("got %d ingresses, want at most %d", got, limits.Ingresses)
	}
	if got := m.queue.Len(); got > modelCapacity || got != len(m.waiting) {
		t.Fatalf("got %d queued, %d waiting, want equal and at most %d", got, len(m.waiting), modelCapacity)
	}
}

// fault causes one fault: a closed session, a restarted or paused process, or one
// direction of all links that loses its messages.
func (m *model) fault(t *rapid.T) {
	in := m.ingress(t)
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		if !m.paused && in.to == m.incarnation {
			m.refuse(t, m.registry.CloseSession(in.session, m.now)...)
		}
	case 1:
		*in = modelIngress{session: fleet.Session{Daemon: in.session.Daemon, Incarnation: in.session.Incarnation + 1}}
	case 2:
		m.restartEgress()
	case 3:
		in.paused = true
	case 4:
		m.paused = true
	case 5:
		m.dropToEgress = true
	case 6:
		m.dropToIngress = true
	}
}

// heal ends all faults and reconnects the ingresses.
func (m *model) heal(*rapid.T) {
	m.paused, m.dropToEgress, m.dropToIngress = false, false, false
	for _, in := range m.ingresses {
		in.paused = false
		if in.to != m.incarnation {
			m.connect(in)
		}
	}
}

// connect opens a new session between the ingress and the current egress incarnation.
func (m *model) connect(in *modelIngress) {
	in.session.Number++
	in.to = m.incarnation
	m.send(in, hello, fleet.Attempt{})
}

// TestAttemptsOverFaultyLinks guards against an attempt that starts twice or is
// confirmed as not run although it ran, against a repeated run of a request with an
// idempotency key, and against memory that grows with the traffic. It connects three
// simulated ingresses to the registry and the queue by links that lose, delay, reorder
// and duplicate frames, while either side is restarted, paused or receives nothing.
func TestAttemptsOverFaultyLinks(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		steps := map[string]func(*rapid.T){
			"":                     m.check,
			"fault":                m.fault,
			"heal":                 m.heal,
			"heal again":           m.heal,
			"advance":              m.advance,
			"deliver confirmation": m.deliverConfirmation,
			"new session": func(t *rapid.T) {
				if in := m.ingress(t); !in.paused {
					m.connect(in)
				}
			},
			"cancel": func(t *rapid.T) {
				if in := m.ingress(t); !in.paused && len(in.unresolved) > 0 {
					m.send(in, cancel, rapid.SampledFrom(in.unresolved).Draw(t, "attempt"))
				}
			},
		}
		// Traffic is more frequent than faults.
		for _, suffix := range []string{" 1", " 2", " 3", " 4", " 5"} {
			steps["deliver"+suffix] = m.deliver
			steps["start"+suffix] = m.startNext
			steps["finish"+suffix] = m.finishOne
			steps["request"+suffix] = func(t *rapid.T) {
				if in := m.ingress(t); !in.paused {
					m.requests++
					m.submit(t, in, m.requests)
				}
			}
			steps["deliver more"+suffix] = m.deliver
		}
		t.Repeat(steps)
	})
}
