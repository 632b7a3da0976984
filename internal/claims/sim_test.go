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

// TestMain fixes the seed of rapid, so that runs repeat; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("20261203")
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

type object struct {
	version int64
	value   []byte
}

// fate says what becomes of one call of the store.
type fate struct {
	// out and back are the delays of the request and of the response.
	out, back time.Duration
	// refused calls have no effect and are answered Unavailable or Failed.
	refused bool
	// lost calls have no effect and are answered Ambiguous.
	lost bool
	// early calls are answered Ambiguous after back, before they take effect.
	early bool
	// silent calls take effect and are answered Ambiguous.
	silent bool
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

// simEntry is one entry instance; a crash replaces its Book.
type simEntry struct {
	name        string
	incarnation int64
	book        *Book
	skew        time.Duration
	paused      bool
	held        []func()
	ticking     time.Duration
}

// sim runs Books over an in-memory store on virtual time.
type sim struct {
	now     time.Duration
	seq     int
	queue   simQueue
	objects map[string]object
	entries []*simEntry
	opts    Options
	// fate is asked for every call of the store.
	fate func(write bool) fate
	// resolved is called for every decision.
	resolved func(entry *simEntry, r Resolved)
	reads    int
	writes   int
	alarms   []string
	maxValue int
	written  int
}

func newSim(entries int, opts Options) *sim {
	s := &sim{objects: map[string]object{}, opts: opts, resolved: func(*simEntry, Resolved) {}}
	s.fate = func(bool) fate { return fate{out: time.Millisecond, back: time.Millisecond} }
	for i := range entries {
		e := &simEntry{name: fmt.Sprintf("entry-%d", i), incarnation: 1}
		e.book = NewBook(e.name, 1, opts)
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, run})
}

// advance runs everything due within d.
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

// deliver hands an event to the Book that was current when it was caused.
func (s *sim) deliver(e *simEntry, book *Book, ev Event) {
	if e.book != book {
		return
	}
	if e.paused {
		e.held = append(e.held, func() { s.deliver(e, book, ev) })
		return
	}
	s.apply(e, book.Handle(s.clock(e), ev))
}

func (s *sim) send(e *simEntry, ev Event) { s.deliver(e, e.book, ev) }

func (s *sim) apply(e *simEntry, effects []Effect) {
	book := e.book
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ReadObject:
			s.read(e, book, effect)
		case WriteObject:
			s.write(e, book, effect)
		case Resolved:
			s.resolved(e, effect)
		case Alarm:
			s.alarms = append(s.alarms, effect.Message)
		}
	}
	s.arm(e)
}

func (s *sim) arm(e *simEntry) {
	next := e.book.NextTick()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(epoch)-e.skew, s.now)
	if e.ticking > s.now && e.ticking <= at {
		return
	}
	e.ticking = at
	book := e.book
	s.after(at-s.now, func() { s.deliver(e, book, Tick{}) })
}

func (s *sim) read(e *simEntry, book *Book, r ReadObject) {
	s.reads++
	f := s.fate(false)
	s.after(f.out, func() {
		out := StoreRead{ObjectKey: r.ObjectKey}
		o, ok := s.objects[r.ObjectKey]
		switch {
		case f.refused || f.lost || f.early || f.silent:
			out.Failed = true
		case !ok:
			out.NotFound = true
		default:
			out.Version, out.Value = o.version, o.value
		}
		s.after(f.back, func() { s.deliver(e, book, out) })
	})
}

func (s *sim) write(e *simEntry, book *Book, w WriteObject) {
	s.writes++
	s.written += len(w.Value)
	s.maxValue = max(s.maxValue, len(w.Value))
	f := s.fate(true)
	answer := func(o WriteOutcome, version int64) {
		s.deliver(e, book, StoreWritten{ObjectKey: w.ObjectKey, Version: version, Outcome: o})
	}
	if f.early {
		s.after(f.back, func() { answer(Ambiguous, 0) })
		s.after(f.out+f.back, func() { s.put(w) })
		return
	}
	s.after(f.out, func() {
		outcome, version := Unavailable, int64(0)
		if !f.refused && !f.lost {
			outcome, version = s.put(w)
		}
		if f.lost || f.silent {
			outcome, version = Ambiguous, 0
		}
		s.after(f.back, func() { answer(outcome, version) })
	})
}

func (s *sim) put(w WriteObject) (WriteOutcome, int64) {
	o := s.objects[w.ObjectKey]
	if o.version != w.IfVersion {
		return Conflict, 0
	}
	s.objects[w.ObjectKey] = object{o.version + 1, w.Value}
	return Written, o.version + 1
}

// crash replaces an entry's Book by that of its next incarnation.
func (s *sim) crash(e *simEntry) {
	e.incarnation++
	e.book = NewBook(e.name, e.incarnation, s.opts)
	e.paused, e.held, e.ticking = false, nil, 0
}

func (s *sim) resume(e *simEntry) {
	held := e.held
	e.paused, e.held = false, nil
	for _, run := range held {
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
