package claims

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

type phase int

const (
	cold phase = iota
	findingHint
	loading
	ready
)

// pending is an undecided claim.
type pending struct {
	claim    Claim
	hash     hash
	arrived  time.Time
	sequence uint64
	// lookAgain is when a repeat that waits for the end of another call asks the
	// store again; zero when it does not wait.
	lookAgain time.Time
	// exposed means that a write of the claim may still take effect.
	exposed bool
}

// note is a state change that is not yet known to be stored.
type note struct {
	record   api.ClaimRecord
	hash     hash
	arrived  time.Time
	sequence uint64
	// fence notes are written even when the claim is not in the log: the new
	// object version stops a delayed write of the claim.
	fence bool
}

// batch is one write of the head segment in flight.
type batch struct {
	records  []api.ClaimRecord
	encoded  []byte
	notes    map[*note]bool
	sealed   bool
	sealedAt int64
	sequence uint64
}

// kept is a sealed segment whose keys are remembered.
type kept struct {
	window   int
	sealedAt int64
	keys     []hash
}

// shard is one log as this entry knows it. At most one call of the store is in
// flight for its head, so that a late read is never mistaken for lost records.
type shard struct {
	index int
	self  string
	opts  Options
	phase phase

	keys     map[hash]keyState
	head     segment
	headKeys []hash
	sealed   []kept

	sequence  uint64
	freshAt   uint64
	headRead  uint64
	mustRead  bool
	writing   *batch
	wroteAt   time.Time
	retryAt   time.Time
	failures  int
	waiting   []*pending
	notes     []*note
	answering map[int][]*pending

	load loader
	hint hint
}

func newShard(index int, self string, opts Options) *shard {
	return &shard{
		index: index, self: self, opts: opts,
		keys: map[hash]keyState{}, answering: map[int][]*pending{},
	}
}

func (s *shard) onClaim(now time.Time, c Claim) []Effect {
	if len(s.waiting)+len(s.notes) >= s.opts.MaxPending {
		return []Effect{s.refusal(c)}
	}
	s.sequence++
	s.waiting = append(s.waiting, &pending{claim: c, hash: c.Key.hash(), arrived: now, sequence: s.sequence})
	return s.step(now)
}

func (s *shard) addNote(now time.Time, r api.ClaimRecord, fence bool) {
	h, ok := recordHash(r)
	if !ok {
		return
	}
	s.sequence++
	s.notes = append(s.notes, &note{record: r, hash: h, arrived: now, sequence: s.sequence, fence: fence})
}

func (n *note) stored() Noted { return Noted{Record: n.record.Key, Request: n.record.Request} }

// cancel refuses the waiting claim of a request that its owner has given up: its
// release would be dropped while the claim is not in the log yet.
func (s *shard) cancel(now time.Time, e Released) {
	if p := s.find(api.ClaimRecord{Key: e.Key.Record(), Request: e.Request}); p != nil {
		p.arrived = now.Add(-s.opts.ClaimTimeout)
	}
}

func releaseOf(r api.ClaimRecord) api.ClaimRecord {
	return api.ClaimRecord{Key: r.Key, Request: r.Request, State: api.ClaimStateReleased}
}

func (s *shard) refusal(c Claim) Resolved {
	return Resolved{Key: c.Key, Request: c.Request, Result: StoreUnavailable, RetryAfter: s.opts.RetryAfter}
}

// step does whatever the state allows at time now.
func (s *shard) step(now time.Time) []Effect {
	out := s.dropLate(now)
	s.expire(now)
	if now.Before(s.retryAt) {
		return out
	}
	switch s.phase {
	case cold:
		if len(s.waiting)+len(s.notes) > 0 {
			s.phase = findingHint
			out = append(out, ReadObject{hintKey(s.index)})
		}
	case loading:
		out = append(out, s.loadMore()...)
	case ready:
		out = append(out, s.settle(now)...)
	}
	return out
}

// dropLate refuses claims that waited too long. A claim that was already
// written is released when its record turns up.
func (s *shard) dropLate(now time.Time) []Effect {
	var out []Effect
	keep := s.waiting[:0]
	for _, p := range s.waiting {
		if now.Sub(p.arrived) >= s.opts.ClaimTimeout {
			out = append(out, s.refusal(p.claim))
			if p.exposed {
				s.addNote(now, api.ClaimRecord{Key: p.claim.Key.Record(), Request: p.claim.Request, State: api.ClaimStateReleased}, true)
			}
			continue
		}
		keep = append(keep, p)
	}
	clear(s.waiting[len(keep):])
	s.waiting = keep
	return out
}

// backOff delays the next call of the store after a failure, doubling up to 16
// times the base.
func (s *shard) backOff(now time.Time) {
	s.retryAt = now.Add(s.opts.BackOff << min(s.failures, 4))
	s.failures++
}

func (s *shard) settle(now time.Time) []Effect {
	if s.writing != nil || s.headRead != 0 {
		return nil
	}
	if s.mustRead {
		return s.readHead()
	}
	b, out, stale := s.build(now)
	if len(b.records) > 0 {
		if now.Before(s.dueAt()) {
			return out
		}
		return append(out, s.write(now, b))
	}
	if stale {
		out = append(out, s.readHead()...)
	}
	return out
}

func (s *shard) readHead() []Effect {
	s.sequence++
	s.headRead = s.sequence
	return []Effect{ReadObject{segmentKey(s.head.window, s.index)}}
}

// dueAt is when the oldest waiting claim or note has waited its window and the
// pace of writes permits the next one.
func (s *shard) dueAt() time.Time {
	var due time.Time
	for _, p := range s.waiting {
		due = earlier(due, later(p.arrived.Add(s.opts.Window), p.lookAgain))
	}
	if len(s.notes) > 0 {
		due = earlier(due, s.notes[0].arrived.Add(s.opts.NoteWindow))
	}
	return later(due, s.wroteAt.Add(s.opts.Pace))
}

// nextTick is never in the past once step has run, so a timer on it cannot spin.
func (s *shard) nextTick() time.Time {
	if len(s.waiting)+len(s.notes) == 0 {
		return time.Time{}
	}
	var next time.Time
	if len(s.waiting) > 0 {
		next = s.waiting[0].arrived.Add(s.opts.ClaimTimeout)
	}
	switch {
	case s.phase == ready && s.writing == nil && s.headRead == 0:
		next = earlier(next, later(s.dueAt(), s.retryAt))
	case s.phase == cold, s.phase == loading && len(s.load.reading) == 0:
		next = earlier(next, s.retryAt)
	}
	return next
}

func (s *shard) onRead(now time.Time, window int, e StoreRead) []Effect {
	if window < 0 {
		return append(s.onHintRead(now, e), s.step(now)...)
	}
	out := s.finishAnswers(window, e)
	switch {
	case s.phase == loading:
		out = append(out, s.onLoadRead(now, window, e)...)
	case s.phase == ready && window == s.head.window && s.headRead != 0:
		out = append(out, s.onHeadRead(now, e)...)
	}
	return append(out, s.step(now)...)
}

func (s *shard) onHeadRead(now time.Time, e StoreRead) []Effect {
	issued := s.headRead
	s.headRead = 0
	if e.Failed {
		s.mustRead = true
		s.backOff(now)
		return nil
	}
	got := segment{window: s.head.window}
	if !e.NotFound {
		var err error
		if got, err = decodeSegment(e.Value, e.Version); err != nil || got.window != s.head.window {
			s.mustRead = true
			s.backOff(now)
			return []Effect{Alarm{"claim segment " + e.ObjectKey + " is damaged"}}
		}
	}
	if got.version < s.head.version || len(got.records) < len(s.head.records) {
		return s.reload(e.ObjectKey)
	}
	s.failures, s.mustRead, s.freshAt = 0, false, issued
	known := len(s.head.records)
	s.head = got
	out := s.applyAll(now, got.records[known:])
	if got.sealed {
		s.roll()
		s.mustRead = true
	}
	return out
}

// reload reads the log again after the store went back. The keys known so far
// stay, so that this entry grants none of them twice.
func (s *shard) reload(objectKey string) []Effect {
	s.phase, s.mustRead, s.sealed, s.headKeys = findingHint, false, nil, nil
	s.load, s.hint = loader{}, hint{}
	return []Effect{Alarm{"claim segment " + objectKey + " went back to an older state"}, ReadObject{hintKey(s.index)}}
}

func (s *shard) onWritten(now time.Time, window int, e StoreWritten) []Effect {
	if window < 0 {
		s.onHintWritten(e)
		return nil
	}
	if s.writing == nil || window != s.head.window {
		return nil
	}
	b := s.writing
	s.writing = nil
	var out []Effect
	switch e.Outcome {
	case Written:
		out = s.commit(now, b, e.Version)
	case Conflict:
		s.mustRead = true
	case Ambiguous:
		s.mustRead = true
		s.expose(now, b)
	default:
		s.backOff(now)
	}
	return append(out, s.step(now)...)
}

// expose marks the claims of a write that may still take effect. Those that were
// refused meanwhile are fenced at once.
func (s *shard) expose(now time.Time, b *batch) {
	for _, r := range b.records {
		if r.State != api.ClaimStateClaimed {
			continue
		}
		if p := s.find(r); p != nil {
			p.exposed = true
			continue
		}
		s.addNote(now, releaseOf(r), true)
	}
}

func (s *shard) find(r api.ClaimRecord) *pending {
	for _, p := range s.waiting {
		if p.claim.Request == r.Request && p.claim.Key.Record() == r.Key {
			return p
		}
	}
	return nil
}

// commit folds the records of a confirmed write.
func (s *shard) commit(now time.Time, b *batch, version int64) []Effect {
	s.failures, s.freshAt = 0, b.sequence
	s.head.version, s.head.sealed, s.head.sealedAt = version, b.sealed, b.sealedAt
	s.head.records = append(s.head.records, b.records...)
	s.head.encoded = b.encoded
	var out []Effect
	keep := s.notes[:0]
	for _, n := range s.notes {
		if b.notes[n] {
			out = append(out, n.stored())
			continue
		}
		keep = append(keep, n)
	}
	clear(s.notes[len(keep):])
	s.notes = keep
	out = append(out, s.applyAll(now, b.records)...)
	if b.sealed {
		s.roll()
		out = append(out, s.hintAfterRoll()...)
	}
	return out
}

// roll moves on to the window after a sealed one.
func (s *shard) roll() {
	s.sealed = append(s.sealed, kept{s.head.window, s.head.sealedAt, s.headKeys})
	s.headKeys = nil
	s.head = segment{window: s.head.window + 1}
}

// applyAll folds records of the head segment and reports grants. A claim of
// this incarnation that nobody waits for was never granted and is released.
func (s *shard) applyAll(now time.Time, records []api.ClaimRecord) []Effect {
	var out []Effect
	for _, r := range records {
		h, ok := recordHash(r)
		if !ok {
			continue
		}
		next, valid := fold(s.keys[h], r, s.head.window)
		if !valid {
			continue
		}
		if s.keys[h].window != s.head.window || s.keys[h].state == stateNone {
			s.headKeys = append(s.headKeys, h)
		}
		s.keys[h] = next
		if r.State != api.ClaimStateClaimed || r.Entry != s.self {
			continue
		}
		if p := s.take(h, r.Request); p != nil {
			out = append(out, Resolved{Key: p.claim.Key, Request: r.Request, Result: Granted})
			continue
		}
		s.addNote(now, releaseOf(r), false)
	}
	return out
}

// take removes and returns the waiting claim of a request.
func (s *shard) take(h hash, request string) *pending {
	for i, p := range s.waiting {
		if p.hash == h && p.claim.Request == request {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return p
		}
	}
	return nil
}
