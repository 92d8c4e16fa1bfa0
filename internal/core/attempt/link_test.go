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
	// A fixed seed makes a failure repeatable; -rapid.seed on the command line
	// takes precedence.
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

// modelLimits are so low that eviction and full tables are common.
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

// frame is on its way from an ingress to the egress. It belongs to one
// connection, so it reaches only the egress incarnation it was sent to.
type frame struct {
	kind    frameKind
	session fleet.Session
	attempt fleet.Attempt
	to      uint64
	sent    time.Time
}

// confirmation is on its way from the egress to an ingress.
type confirmation struct{ id fleet.AttemptID }

type modelIngress struct {
	session  fleet.Session
	to       uint64
	sequence uint64
	paused   bool
	// open holds the attempts whose end the ingress does not know.
	open []fleet.Attempt
}

// model is the fleet around the registry and queue under test, with the truth
// about what ran.
type model struct {
	now         time.Time
	incarnation uint64
	// latest is the newest session of each ingress that said hello.
	latest       map[string]fleet.Session
	registry     *Registry
	queue        *queue.Queue
	paused       bool
	running      []fleet.Attempt
	waiting      map[fleet.AttemptID]fleet.Attempt
	ingresses    []*modelIngress
	toEgress     []frame
	toIngress    []confirmation
	deafEgress   bool
	deafIngress  bool
	requests     int
	requestOf    map[fleet.AttemptID]int
	runs         map[int]int
	started      map[fleet.AttemptID]bool
	notRun       map[fleet.AttemptID]bool
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

func (m *model) restartEgress() {
	m.incarnation++
	m.registry = New(m.incarnation, modelLimits())
	m.latest = map[string]fleet.Session{}
	m.queue = queue.New(modelCapacity)
	m.running, m.waiting = nil, map[fleet.AttemptID]fleet.Attempt{}
	m.keyRunning, m.keyLastEnded = map[string]bool{}, map[string]time.Time{}
}

func (m *model) send(in *modelIngress, kind frameKind, a fleet.Attempt) {
	if !m.deafEgress {
		m.toEgress = append(m.toEgress, frame{kind, in.session, a, in.to, m.now})
	}
}

// submit sends a new attempt of a request.
func (m *model) submit(t *rapid.T, in *modelIngress, req int) {
	in.sequence++
	a := attemptOf(in.session, in.sequence)
	a.EgressIncarnation = rapid.SampledFrom([]uint64{0, in.to, in.to, in.to, max(in.to, 2) - 1}).Draw(t, "egress incarnation")
	a.ClientAccount = rapid.SampledFrom([]string{"c", "d"}).Draw(t, "client account")
	a.IdempotencyKey = rapid.SampledFrom([]string{"", "", "k"}).Draw(t, "key")
	a.DeadlineRemaining = time.Duration(rapid.IntRange(1, 90).Draw(t, "budget")) * time.Second
	m.requestOf[a.ID] = req
	in.open = append(in.open, a)
	m.send(in, request, a)
}

// confirm is every statement of the egress that an attempt has not run.
func (m *model) confirm(t *rapid.T, id fleet.AttemptID) {
	if m.started[id] {
		t.Fatalf("%s was confirmed as not run, but it ran", id)
	}
	m.notRun[id] = true
	if !m.deafIngress {
		m.toIngress = append(m.toIngress, confirmation{id})
	}
}

func (m *model) refuse(t *rapid.T, ids ...fleet.AttemptID) {
	for _, id := range ids {
		m.queue.Remove(id)
		delete(m.waiting, id)
		m.registry.Refuse(id, m.now)
		m.confirm(t, id)
	}
}

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
		result, wasQueued := m.registry.Cancel(f.session, id, f.attempt.EgressIncarnation, m.now)
		if wasQueued {
			m.queue.Remove(id)
			delete(m.waiting, id)
		}
		if result == fleet.CancelNotRun {
			m.checkFence(t, f)
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

// checkFence fails if a frame was accepted that belongs to an older session
// than the newest one, or is meant for another incarnation of the egress.
func (m *model) checkFence(t *rapid.T, f frame) {
	if latest := m.latest[f.session.Daemon]; f.session != latest {
		t.Fatalf("accepted a frame of session %+v, the newest is %+v", f.session, latest)
	}
	if to := f.attempt.EgressIncarnation; to != 0 && to != m.incarnation {
		t.Fatalf("accepted a frame for incarnation %d in incarnation %d", to, m.incarnation)
	}
}

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

func (m *model) run(t *rapid.T, a fleet.Attempt) {
	if m.started[a.ID] {
		t.Fatalf("%s started twice", a.ID)
	}
	if m.notRun[a.ID] {
		t.Fatalf("%s runs after it was confirmed as not run", a.ID)
	}
	m.started[a.ID] = true
	if m.runs[m.requestOf[a.ID]]++; m.runs[m.requestOf[a.ID]] > 1 {
		t.Fatalf("a received request ran twice, last as %s", a.ID)
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

// deliver takes any frame, so frames overtake one another; it may keep a copy.
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

// deliverConfirmation makes the ingress retry the request as a new attempt.
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
		for j, a := range in.open {
			if a.ID == id {
				in.open = append(in.open[:j], in.open[j+1:]...)
				m.submit(t, in, m.requestOf[id])

				return
			}
		}
	}
}

func (m *model) ingress(t *rapid.T) *modelIngress {
	return rapid.SampledFrom(m.ingresses).Draw(t, "ingress")
}

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

// fault breaks one thing: a process, a connection, or one direction of a link.
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
		m.deafEgress = true
	case 6:
		m.deafIngress = true
	}
}

func (m *model) heal(*rapid.T) {
	m.paused, m.deafEgress, m.deafIngress = false, false, false
	for _, in := range m.ingresses {
		in.paused = false
		if in.to != m.incarnation {
			m.connect(in)
		}
	}
}

func (m *model) connect(in *modelIngress) {
	in.session.Number++
	in.to = m.incarnation
	m.send(in, hello, fleet.Attempt{})
}

// Drives three model ingresses against the registry and the queue over links
// that lose, delay, reorder and duplicate frames, with either side restarted,
// paused or deaf. Guards against a second start, a false NotRun, a repeated
// run of a keyed request, and memory that grows with the traffic.
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
				if in := m.ingress(t); !in.paused && len(in.open) > 0 {
					m.send(in, cancel, rapid.SampledFrom(in.open).Draw(t, "attempt"))
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
