package claims

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// buildBatch collects the records of the next write and resolves the claims that
// need no write. needsRead reports that a claim or update can only be decided
// after another read of the head segment.
func (s *shard) buildBatch(now time.Time) (b *batch, out []Effect, needsRead bool) {
	b = &batch{updates: map[*pendingUpdate]bool{}, encoded: append([]byte(nil), s.head.encoded...)}
	changed := map[keyHash]keyState{}
	out, needsRead = s.batchUpdates(b, changed)
	remaining := s.claims[:0]
	for _, p := range s.claims {
		effect, done, claimNeedsRead := s.decideClaim(now, p, b, changed)
		if effect != nil {
			out = append(out, effect)
		}
		if !done {
			remaining = append(remaining, p)
		}
		needsRead = needsRead || claimNeedsRead
	}
	clear(s.claims[len(remaining):])
	s.claims = remaining
	return b, out, needsRead
}

// batchUpdates adds the valid updates to the batch. It drops an update that is
// superseded according to a state read after the update arrived.
func (s *shard) batchUpdates(b *batch, changed map[keyHash]keyState) (out []Effect, needsRead bool) {
	remaining := s.updates[:0]
	for _, u := range s.updates {
		next, valid := nextState(s.currentState(u.hash, changed), u.record, s.head.number)
		switch {
		case (valid || u.isFence) && s.fits(b, u.record):
			if valid {
				changed[u.hash] = next
			}
			b.add(u.record)
			b.updates[u] = true
		case valid || u.isFence:
			// The update does not fit into this write and stays queued.
		case s.syncedSequence > u.sequence:
			out = append(out, u.settledEffect())
			continue
		default:
			needsRead = true
		}
		remaining = append(remaining, u)
	}
	clear(s.updates[len(remaining):])
	s.updates = remaining
	return out, needsRead
}

// currentState returns the state of a key, including the records of the batch
// being built, which changed holds.
func (s *shard) currentState(h keyHash, changed map[keyHash]keyState) keyState {
	if st, ok := changed[h]; ok {
		return st
	}
	return s.keys[h]
}

// decideClaim resolves one claim, adds it to the batch, or leaves it pending. A
// duplicate of a running request stays pending for up to DuplicateWait.
func (s *shard) decideClaim(now time.Time, p *pendingClaim, b *batch, changed map[keyHash]keyState) (effect Effect, done, needsRead bool) {
	if _, ok := changed[p.hash]; ok && !changed[p.hash].claimable() {
		// The state depends on a record of this batch, which is not stored yet.
		return nil, false, false
	}
	st := s.currentState(p.hash, changed)
	if st.claimable() {
		s.batchClaim(now, p, b, changed)
		return nil, false, false
	}
	if st.state != stateCompleted && s.syncedSequence <= p.sequence {
		return nil, false, !now.Before(p.pollAt)
	}
	r := Resolved{Key: p.claim.Key, Request: p.claim.Request}
	switch {
	case st.body != 0 && st.body != hash64(p.claim.BodyDigest):
		r.Result = KeyReused
	case st.state == stateCompleted:
		return s.resolveCompleted(p, st)
	case st.state == stateClaimed && now.UnixMilli() < st.untilMs:
		if waitUntil := p.arrivedAt.Add(s.opts.DuplicateWait); now.Before(waitUntil) {
			p.sequence = s.lastSequence
			p.pollAt = earlierNonZero(now.Add(s.opts.DuplicatePollInterval), waitUntil)
			return nil, false, false
		}
		r.Result, r.RetryAfter = InProgress, s.opts.RetryAfter
	default:
		r.Result = OutcomeUnknown
	}
	return r, true, false
}

// batchClaim adds a claim record to the batch, or nothing if the segment is full.
func (s *shard) batchClaim(now time.Time, p *pendingClaim, b *batch, changed map[keyHash]keyState) {
	c := p.claim
	runDeadline := c.RunDeadline
	if runDeadline.IsZero() {
		runDeadline = now.Add(s.opts.RunTimeout)
	}
	r := api.ClaimRecord{
		Key: c.Key.HashHex(), Request: c.Request, State: api.ClaimStateClaimed, Body: c.BodyDigest, Entry: s.incarnationID,
		Sidecar: c.Sidecar, SidecarIncarnation: int(c.SidecarIncarnation), Until: int(runDeadline.UnixMilli()),
	}
	if !s.fits(b, r) {
		return
	}
	changed[p.hash], _ = nextState(s.currentState(p.hash, changed), r, s.head.number)
	b.add(r)
}

// resolveCompleted resolves a claim of a completed key. It reads the stored answer
// from the store when that lies in an older segment; claims that need the same
// segment share the read.
func (s *shard) resolveCompleted(p *pendingClaim, st keyState) (effect Effect, done, needsRead bool) {
	if st.segmentNumber == s.head.number {
		return resolveFromRecords(p, s.head.records), true, false
	}
	s.answerWaiters[st.segmentNumber] = append(s.answerWaiters[st.segmentNumber], p)
	if len(s.answerWaiters[st.segmentNumber]) > 1 {
		return nil, true, false
	}
	return ReadObject{segmentKey(st.segmentNumber, s.index)}, true, false
}

// resolveFromRecords returns the Resolved with the stored answer, or nil when the
// records hold no completion of the key.
func resolveFromRecords(p *pendingClaim, records []api.ClaimRecord) Effect {
	key := p.claim.Key.HashHex()
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Key == key && records[i].State == api.ClaimStateCompleted {
			return Resolved{Key: p.claim.Key, Request: p.claim.Request, Result: AlreadyCompleted, Answer: decodeAnswer(records[i])}
		}
	}
	return nil
}

// resolveAnswerWaiters resolves the claims whose answers are in the segment that
// was read. A claim whose answer cannot be read gets StoreUnavailable.
func (s *shard) resolveAnswerWaiters(number int, e ObjectRead) []Effect {
	waiting := s.answerWaiters[number]
	delete(s.answerWaiters, number)
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
		effect := resolveFromRecords(p, records)
		if effect == nil {
			effect = s.unavailable(p.claim)
		}
		out = append(out, effect)
	}
	return out
}

func (b *batch) add(r api.ClaimRecord) {
	b.records = append(b.records, r)
	b.encoded = appendEncoded(b.encoded, encodeRecord(r))
}

// fits reports whether the segment stays below maxSegmentBytes with another
// record. The first record of a segment always fits.
func (s *shard) fits(b *batch, r api.ClaimRecord) bool {
	size := len(b.encoded) + len(r.Answer) + len(r.Request) + len(r.Body) + len(r.Sidecar) + recordOverheadBytes
	return size <= maxSegmentBytes || len(b.records)+len(s.head.records) == 0
}

// startWrite returns the conditional write of a batch and seals the segment if it
// has reached SegmentBytes or MaxSegmentAge.
func (s *shard) startWrite(now time.Time, b *batch) Effect {
	s.lastSequence++
	b.sequence = s.lastSequence
	b.sealed = len(b.encoded) >= s.opts.SegmentBytes || s.headExceedsMaxAge(now)
	if b.sealed {
		b.sealedAtMs = now.UnixMilli()
	}
	s.writeInFlight, s.lastWriteAt = b, now
	return WriteObject{
		ObjectKey: segmentKey(s.head.number, s.index),
		Value:     encodeSegment(s.head.number, s.index, b.sealed, b.sealedAtMs, b.encoded),
		IfVersion: s.head.version,
	}
}

// headExceedsMaxAge reports whether the head segment is at least MaxSegmentAge old.
// Its age counts from the sealing of the segment before it, or from the load of
// the shard when no sealed segment is known.
func (s *shard) headExceedsMaxAge(now time.Time) bool {
	if len(s.sealed) == 0 {
		return s.head.version > 0 && now.Sub(s.loader.loadedAt) >= s.opts.MaxSegmentAge
	}
	return now.UnixMilli()-s.sealed[len(s.sealed)-1].sealedAtMs >= s.opts.MaxSegmentAge.Milliseconds()
}
