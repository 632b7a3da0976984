package claims

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// build collects the records of the next write and resolves the claims that
// need none. stale reports that a claim or note waits for a newer read.
func (s *shard) build(now time.Time) (b *batch, out []Effect, stale bool) {
	b = &batch{notes: map[*note]bool{}, encoded: append([]byte(nil), s.head.encoded...)}
	changed := map[hash]keyState{}
	out, stale = s.buildNotes(b, changed)
	keep := s.waiting[:0]
	for _, p := range s.waiting {
		effect, done, needsRead := s.decide(now, p, b, changed)
		if effect != nil {
			out = append(out, effect)
		}
		if !done {
			keep = append(keep, p)
		}
		stale = stale || needsRead
	}
	clear(s.waiting[len(keep):])
	s.waiting = keep
	return b, out, stale
}

// buildNotes adds the valid notes and drops those that a fresh state shows to
// be superseded.
func (s *shard) buildNotes(b *batch, changed map[hash]keyState) (out []Effect, stale bool) {
	keep := s.notes[:0]
	for _, n := range s.notes {
		next, valid := fold(s.state(n.hash, changed), n.record, s.head.window)
		switch {
		case (valid || n.fence) && s.fits(b, n.record):
			if valid {
				changed[n.hash] = next
			}
			b.add(n.record)
			b.notes[n] = true
		case valid || n.fence:
		case s.freshAt > n.sequence:
			out = append(out, n.stored())
			continue
		default:
			stale = true
		}
		keep = append(keep, n)
	}
	clear(s.notes[len(keep):])
	s.notes = keep
	return out, stale
}

func (s *shard) state(h hash, changed map[hash]keyState) keyState {
	if st, ok := changed[h]; ok {
		return st
	}
	return s.keys[h]
}

// decide resolves one claim, adds it to the batch, or leaves it waiting.
func (s *shard) decide(now time.Time, p *pending, b *batch, changed map[hash]keyState) (effect Effect, done, stale bool) {
	if _, ok := changed[p.hash]; ok && !changed[p.hash].free() {
		// The state depends on a record of this batch that is not stored yet.
		return nil, false, false
	}
	st := s.state(p.hash, changed)
	if st.free() {
		s.addClaim(now, p, b, changed)
		return nil, false, false
	}
	if st.state != stateCompleted && s.freshAt <= p.sequence {
		return nil, false, !now.Before(p.lookAgain)
	}
	r := Resolved{Key: p.claim.Key, Request: p.claim.Request}
	switch {
	case st.body != 0 && st.body != digest(p.claim.BodyDigest):
		r.Result = KeyReused
	case st.state == stateCompleted:
		return s.answer(p, st)
	case st.state == stateClaimed && now.UnixMilli() < st.until:
		if giveUp := p.arrived.Add(s.opts.RepeatWait); now.Before(giveUp) {
			p.sequence = s.sequence
			p.lookAgain = earlier(now.Add(s.opts.RepeatPoll), giveUp)
			return nil, false, false
		}
		r.Result, r.RetryAfter = InProgress, s.opts.RetryAfter
	default:
		r.Result = OutcomeUnknown
	}
	return r, true, false
}

func (s *shard) addClaim(now time.Time, p *pending, b *batch, changed map[hash]keyState) {
	c := p.claim
	until := c.Until
	if until.IsZero() {
		until = now.Add(s.opts.RunTimeout)
	}
	r := api.ClaimRecord{
		Key: c.Key.Record(), Request: c.Request, State: api.ClaimStateClaimed, Body: c.BodyDigest, Entry: s.self,
		Sidecar: c.Sidecar, SidecarIncarnation: int(c.SidecarIncarnation), Until: int(until.UnixMilli()),
	}
	if !s.fits(b, r) {
		return
	}
	changed[p.hash], _ = fold(s.state(p.hash, changed), r, s.head.window)
	b.add(r)
}

// answer resolves a claim of a completed key, reading the stored answer when it
// lies in an older segment.
func (s *shard) answer(p *pending, st keyState) (effect Effect, done, stale bool) {
	if st.window == s.head.window {
		return resolveAnswer(p, s.head.records), true, false
	}
	s.answering[st.window] = append(s.answering[st.window], p)
	if len(s.answering[st.window]) > 1 {
		return nil, true, false
	}
	return ReadObject{segmentKey(st.window, s.index)}, true, false
}

func resolveAnswer(p *pending, records []api.ClaimRecord) Effect {
	key := p.claim.Key.Record()
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Key == key && records[i].State == api.ClaimStateCompleted {
			return Resolved{Key: p.claim.Key, Request: p.claim.Request, Result: AlreadyCompleted, Answer: answerOf(records[i])}
		}
	}
	return nil
}

// finishAnswers resolves the claims that wait for the answers of a segment.
func (s *shard) finishAnswers(window int, e StoreRead) []Effect {
	waiting := s.answering[window]
	delete(s.answering, window)
	if len(waiting) == 0 {
		return nil
	}
	var records []api.ClaimRecord
	if !e.Failed && !e.NotFound {
		if got, err := decodeSegment(e.Value, e.Version); err == nil {
			records = got.records
		}
	}
	var out []Effect
	for _, p := range waiting {
		effect := resolveAnswer(p, records)
		if effect == nil {
			effect = s.refusal(p.claim)
		}
		out = append(out, effect)
	}
	return out
}

func (b *batch) add(r api.ClaimRecord) {
	b.records = append(b.records, r)
	b.encoded = appendEncoded(b.encoded, encodeRecord(r))
}

// fits reports whether a record stays within the store's bound of a value.
func (s *shard) fits(b *batch, r api.ClaimRecord) bool {
	size := len(b.encoded) + len(r.Answer) + len(r.Request) + len(r.Body) + len(r.Sidecar) + recordOverhead
	return size <= hardSegmentBytes || len(b.records)+len(s.head.records) == 0
}

// write sends a batch, sealing the segment when it is large or old.
func (s *shard) write(now time.Time, b *batch) Effect {
	s.sequence++
	b.sequence = s.sequence
	b.sealed = len(b.encoded) >= s.opts.SegmentBytes || s.headIsOld(now)
	if b.sealed {
		b.sealedAt = now.UnixMilli()
	}
	s.writing, s.wroteAt = b, now
	return WriteObject{
		ObjectKey: segmentKey(s.head.window, s.index),
		Value:     encodeSegment(s.head.window, s.index, b.sealed, b.sealedAt, b.encoded),
		IfVersion: s.head.version,
	}
}

// headIsOld reports whether the segment before was sealed long ago.
func (s *shard) headIsOld(now time.Time) bool {
	if len(s.sealed) == 0 {
		return s.head.version > 0 && now.Sub(s.load.readyAt) >= s.opts.SegmentAge
	}
	return now.UnixMilli()-s.sealed[len(s.sealed)-1].sealedAt >= s.opts.SegmentAge.Milliseconds()
}
