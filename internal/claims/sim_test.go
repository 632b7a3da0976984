package claims

import (
	"container/heap"
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"time"
)

// TestMain sets a fixed rapid seed for reproducible runs; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("20261203")
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

type storedObject struct {
	version int64
	value   []byte
}

// callPlan is the simulated course of one store call. Any fault makes a read fail;
// the comments of the faults describe a write.
type callPlan struct {
	requestDelay, responseDelay time.Duration
	// isRefused means that the write has no effect and returns WriteUnavailable.
	isRefused bool
	// isDropped means that the write has no effect and returns WriteAmbiguous.
	isDropped bool
	// isAnsweredEarly means that the write returns WriteAmbiguous after responseDelay and
	// takes effect after responseDelay plus requestDelay.
	isAnsweredEarly bool
	// losesAnswer means that the write takes effect and returns WriteAmbiguous.
	losesAnswer bool
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simEntry is one entry instance. A crash replaces its state machine; a pause holds
// back its events.
type simEntry struct {
	name           string
	incarnation    int64
	machine        *StateMachine
	skew           time.Duration
	isPaused       bool
	deferredEvents []func()
	// tickAt is when the last scheduled Tick is due.
	tickAt time.Duration
}

// sim runs several state machines against an in-memory store in virtual time.
type sim struct {
	now     time.Duration
	seq     int
	queue   simQueue
	objects map[string]storedObject
	entries []*simEntry
	opts    Options
	// planCall returns the plan of the next store call.
	planCall func(write bool) callPlan
	// onResolved is called for every decision on a claim.
	onResolved    func(entry *simEntry, r Resolved)
	reads         int
	writes        int
	alarms        []string
	maxValueBytes int
	writtenBytes  int
}

func newSim(entries int, opts Options) *sim {
	s := &sim{objects: map[string]storedObject{}, opts: opts, onResolved: func(*simEntry, Resolved) {}}
	s.planCall = func(bool) callPlan { return callPlan{requestDelay: time.Millisecond, responseDelay: time.Millisecond} }
	for i := range entries {
		e := &simEntry{name: fmt.Sprintf("entry-%d", i), incarnation: 1}
		e.machine = NewStateMachine(e.name, 1, opts)
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, run})
}

// advance runs the events due within d and moves the virtual time on by d.
func (s *sim) advance(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) clock(e *simEntry) time.Time { return epoch.Add(s.now + e.skew) }

// deliver passes an event to the state machine that caused it. It drops the event
// when a crash has replaced that state machine.
func (s *sim) deliver(e *simEntry, machine *StateMachine, ev Event) {
	if e.machine != machine {
		return
	}
	if e.isPaused {
		e.deferredEvents = append(e.deferredEvents, func() { s.deliver(e, machine, ev) })
		return
	}
	s.apply(e, machine.Handle(s.clock(e), ev))
}

func (s *sim) send(e *simEntry, ev Event) { s.deliver(e, e.machine, ev) }

func (s *sim) apply(e *simEntry, effects []Effect) {
	machine := e.machine
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ReadObject:
			s.read(e, machine, effect)
		case WriteObject:
			s.write(e, machine, effect)
		case Resolved:
			s.onResolved(e, effect)
		case Alarm:
			s.alarms = append(s.alarms, effect.Message)
		}
	}
	s.scheduleTick(e)
}

func (s *sim) scheduleTick(e *simEntry) {
	next := e.machine.NextTick()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(epoch)-e.skew, s.now)
	if e.tickAt > s.now && e.tickAt <= at {
		return
	}
	e.tickAt = at
	machine := e.machine
	s.after(at-s.now, func() { s.deliver(e, machine, Tick{}) })
}

func (s *sim) read(e *simEntry, machine *StateMachine, r ReadObject) {
	s.reads++
	plan := s.planCall(false)
	s.after(plan.requestDelay, func() {
		out := ObjectRead{ObjectKey: r.ObjectKey}
		o, ok := s.objects[r.ObjectKey]
		switch {
		case plan.isRefused || plan.isDropped || plan.isAnsweredEarly || plan.losesAnswer:
			out.Failed = true
		case !ok:
			out.NotFound = true
		default:
			out.Version, out.Value = o.version, o.value
		}
		s.after(plan.responseDelay, func() { s.deliver(e, machine, out) })
	})
}

func (s *sim) write(e *simEntry, machine *StateMachine, w WriteObject) {
	s.writes++
	s.writtenBytes += len(w.Value)
	s.maxValueBytes = max(s.maxValueBytes, len(w.Value))
	plan := s.planCall(true)
	answer := func(o WriteOutcome, version int64) {
		s.deliver(e, machine, ObjectWritten{ObjectKey: w.ObjectKey, Version: version, Outcome: o})
	}
	if plan.isAnsweredEarly {
		s.after(plan.responseDelay, func() { answer(WriteAmbiguous, 0) })
		s.after(plan.requestDelay+plan.responseDelay, func() { s.put(w) })
		return
	}
	s.after(plan.requestDelay, func() {
		outcome, version := WriteUnavailable, int64(0)
		if !plan.isRefused && !plan.isDropped {
			outcome, version = s.put(w)
		}
		if plan.isDropped || plan.losesAnswer {
			outcome, version = WriteAmbiguous, 0
		}
		s.after(plan.responseDelay, func() { answer(outcome, version) })
	})
}

func (s *sim) put(w WriteObject) (WriteOutcome, int64) {
	o := s.objects[w.ObjectKey]
	if o.version != w.IfVersion {
		return WriteConflict, 0
	}
	s.objects[w.ObjectKey] = storedObject{o.version + 1, w.Value}
	return WriteSucceeded, o.version + 1
}

// crash replaces an entry's state machine by a new one of the next incarnation.
func (s *sim) crash(e *simEntry) {
	e.incarnation++
	e.machine = NewStateMachine(e.name, e.incarnation, s.opts)
	e.isPaused, e.deferredEvents, e.tickAt = false, nil, 0
}

func (s *sim) resume(e *simEntry) {
	deferred := e.deferredEvents
	e.isPaused, e.deferredEvents = false, nil
	for _, run := range deferred {
		run()
	}
}

func percentile(v []time.Duration, p float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	sort.Slice(v, func(i, j int) bool { return v[i] < v[j] })
	return v[int(p*float64(len(v)-1))]
}
