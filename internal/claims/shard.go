package claims

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// loadPhase is the progress of a shard towards its first decision.
type loadPhase int

const (
	// phaseUnloaded lasts until the first claim or update of the shard arrives, or until
	// this entry becomes the preferred writer of the shard.
	phaseUnloaded loadPhase = iota
	phaseReadingHint
	phaseLoading
	phaseReady
)

// pendingClaim is an undecided claim.
type pendingClaim struct {
	claim     Claim
	hash      keyHash
	arrivedAt time.Time
	// refuseAt is when the claim is refused if it is still undecided.
	refuseAt time.Time
	// sequence is compared with shard.syncedSequence: a claim of a key in use is
	// only decided on a state that was read or written later.
	sequence uint64
	// pollAt is when a duplicate that waits for the end of another call reads the
	// head segment again; zero when it does not wait.
	pollAt time.Time
	// writeAmbiguous means that an earlier write of the claim may yet take effect.
	writeAmbiguous bool
}

// pendingUpdate is a completion, release or unknown outcome that is not yet known
// to be stored.
type pendingUpdate struct {
	record    api.ClaimRecord
	hash      keyHash
	arrivedAt time.Time
	sequence  uint64
	// isFence means that the update is written even when the claim is not in the
	// log, because the new object version makes a delayed write of the claim fail.
	isFence bool
}

// batch is one write of the head segment, being built or in flight.
type batch struct {
	// records are the records to add.
	records []api.ClaimRecord
	// encoded holds all records of the segment, the older ones included, as JSON
	// joined by commas.
	encoded []byte
	// updates are the pending updates that are in records.
	updates    map[*pendingUpdate]bool
	sealed     bool
	sealedAtMs int64
	sequence   uint64
}

// sealedSegment is a sealed segment whose retention has not passed. keys are the
// keys that have valid records in it.
type sealedSegment struct {
	number     int
	sealedAtMs int64
	keys       []keyHash
}

// shard is this entry's copy of one log. At most one store call is in flight for
// its head segment, because a late read could otherwise look like lost records.
type shard struct {
	index         int
	incarnationID string
	opts          Options
	phase         loadPhase

	keys map[keyHash]keyState
	// head is the newest segment, to which records are added. headKeys are the keys
	// that have valid records in it.
	head     segment
	headKeys []keyHash
	// sealed holds the older segments within the retention, oldest first.
	sealed []sealedSegment

	// lastSequence numbers claims, updates, reads and writes in order of arrival or
	// issue.
	lastSequence uint64
	// syncedSequence is the number of the newest head read or write whose result is
	// in keys.
	syncedSequence uint64
	// headReadSequence is the number of the head read in flight, 0 without one.
	headReadSequence uint64
	// needsHeadRead means that the head must be read before the next write.
	needsHeadRead bool
	writeInFlight *batch
	lastWriteAt   time.Time
	// retryAt is the end of the backoff after a failed store call.
	retryAt             time.Time
	consecutiveFailures int
	claims              []*pendingClaim
	updates             []*pendingUpdate
	// answerWaiters holds the claims that wait for a stored answer, by the number
	// of the segment that holds it.
	answerWaiters map[int][]*pendingClaim

	loader loader
	hint   headHint
}

func newShard(index int, incarnationID string, opts Options) *shard {
	return &shard{
		index: index, incarnationID: incarnationID, opts: opts,
		keys: map[keyHash]keyState{}, answerWaiters: map[int][]*pendingClaim{},
	}
}

func (s *shard) onClaim(now time.Time, c Claim) []Effect {
	if len(s.claims)+len(s.updates) >= s.opts.MaxPending {
		return []Effect{s.unavailable(c)}
	}
	s.lastSequence++
	s.claims = append(s.claims, &pendingClaim{
		claim: c, hash: c.Key.hash(), arrivedAt: now, refuseAt: now.Add(s.opts.claimWait(now, c.RunDeadline)), sequence: s.lastSequence,
	})
	return s.step(now)
}

// addUpdate queues a record for the next write and ignores it if its key is
// malformed.
func (s *shard) addUpdate(now time.Time, r api.ClaimRecord, isFence bool) {
	h, ok := decodeKeyHash(r)
	if !ok {
		return
	}
	s.lastSequence++
	s.updates = append(s.updates, &pendingUpdate{record: r, hash: h, arrivedAt: now, sequence: s.lastSequence, isFence: isFence})
}

func (u *pendingUpdate) settledEffect() OutcomeSettled {
	return OutcomeSettled{KeyHash: u.record.Key, Request: u.record.Request}
}

// cancelClaim makes the pending claim of a released request time out at the next
// step. A release alone would be dropped as long as the claim is not in the log.
func (s *shard) cancelClaim(now time.Time, e Released) {
	if p := s.findClaim(api.ClaimRecord{Key: e.Key.HashHex(), Request: e.Request}); p != nil {
		p.refuseAt = now
	}
}

func releaseRecord(r api.ClaimRecord) api.ClaimRecord {
	return api.ClaimRecord{Key: r.Key, Request: r.Request, State: api.ClaimStateReleased}
}

// unavailable returns the refusal of a claim that was not decided.
func (s *shard) unavailable(c Claim) Resolved {
	return Resolved{Key: c.Key, Request: c.Request, Result: StoreUnavailable, RetryAfter: s.opts.RetryAfter}
}

// step refuses timed-out claims, expires keys and, unless the shard is backing off,
// issues the next store calls.
func (s *shard) step(now time.Time) []Effect {
	out := s.refuseTimedOut(now)
	s.expireKeys(now)
	if now.Before(s.retryAt) {
		return out
	}
	switch s.phase {
	case phaseUnloaded:
		if len(s.claims)+len(s.updates) > 0 {
			out = append(out, s.startLoad(now)...)
		}
	case phaseLoading:
		out = append(out, s.readSegments()...)
	case phaseReady:
		out = append(out, s.readOrWrite(now)...)
	}
	return out
}

// startLoad starts to load a shard that is not loaded yet, unless it is backing off.
func (s *shard) startLoad(now time.Time) []Effect {
	if s.phase != phaseUnloaded || now.Before(s.retryAt) {
		return nil
	}
	s.phase = phaseReadingHint
	return []Effect{ReadObject{hintKey(s.index)}}
}

// readOrWrite starts the next read or write of the head segment, if one is needed
// and none is in flight, and resolves the claims that need neither.
func (s *shard) readOrWrite(now time.Time) []Effect {
	if s.writeInFlight != nil || s.headReadSequence != 0 {
		return nil
	}
	if s.needsHeadRead {
		return s.readHead()
	}
	b, out, needsRead := s.buildBatch(now)
	if len(b.records) > 0 {
		if now.Before(s.nextWriteAt()) {
			return out
		}
		return append(out, s.startWrite(now, b))
	}
	if needsRead {
		out = append(out, s.readHead()...)
	}
	return out
}

func (s *shard) readHead() []Effect {
	s.lastSequence++
	s.headReadSequence = s.lastSequence
	return []Effect{ReadObject{segmentKey(s.head.number, s.index)}}
}

func (s *shard) onRead(now time.Time, number int, e ObjectRead) []Effect {
	if number < 0 {
		return append(s.onHintRead(now, e), s.step(now)...)
	}
	out := s.resolveAnswerWaiters(number, e)
	switch {
	case s.phase == phaseLoading:
		out = append(out, s.onSegmentRead(now, number, e)...)
	case s.phase == phaseReady && number == s.head.number && s.headReadSequence != 0:
		out = append(out, s.onHeadRead(now, e)...)
	}
	return append(out, s.step(now)...)
}

func (s *shard) onHeadRead(now time.Time, e ObjectRead) []Effect {
	readSequence := s.headReadSequence
	s.headReadSequence = 0
	if e.Failed {
		s.needsHeadRead = true
		s.scheduleRetry(now)
		return nil
	}
	got := segment{number: s.head.number}
	if !e.NotFound {
		var err error
		if got, err = decodeSegment(e.Value, e.Version); err != nil || got.number != s.head.number {
			s.needsHeadRead = true
			s.scheduleRetry(now)
			return []Effect{Alarm{"claim segment " + e.ObjectKey + " is damaged"}}
		}
	}
	if got.version < s.head.version || len(got.records) < len(s.head.records) {
		return s.reload(e.ObjectKey)
	}
	s.consecutiveFailures, s.needsHeadRead, s.syncedSequence = 0, false, readSequence
	known := len(s.head.records)
	s.head = got
	out := s.applyRecords(now, got.records[known:])
	if got.sealed {
		s.startNextSegment()
		s.needsHeadRead = true
	}
	return out
}

// reload reads the log again after the store returned an older state than before.
// The known keys are kept, so that this entry grants none of them twice.
func (s *shard) reload(objectKey string) []Effect {
	s.phase, s.needsHeadRead, s.sealed, s.headKeys = phaseReadingHint, false, nil, nil
	s.loader, s.hint = loader{}, headHint{}
	return []Effect{Alarm{"claim segment " + objectKey + " went back to an older state"}, ReadObject{hintKey(s.index)}}
}

func (s *shard) onWritten(now time.Time, number int, e ObjectWritten) []Effect {
	if number < 0 {
		s.onHintWritten(e)
		return nil
	}
	if s.writeInFlight == nil || number != s.head.number {
		return nil
	}
	b := s.writeInFlight
	s.writeInFlight = nil
	var out []Effect
	switch e.Outcome {
	case WriteSucceeded:
		out = s.applyWrittenBatch(now, b, e.Version)
	case WriteConflict:
		s.needsHeadRead = true
	case WriteAmbiguous:
		s.needsHeadRead = true
		s.markAmbiguous(now, b)
	default:
		s.scheduleRetry(now)
	}
	return append(out, s.step(now)...)
}

// markAmbiguous marks the pending claims of a write that may yet take effect. For
// the claims that were refused in the meantime it queues fencing releases.
func (s *shard) markAmbiguous(now time.Time, b *batch) {
	for _, r := range b.records {
		if r.State != api.ClaimStateClaimed {
			continue
		}
		if p := s.findClaim(r); p != nil {
			p.writeAmbiguous = true
			continue
		}
		s.addUpdate(now, releaseRecord(r), true)
	}
}

func (s *shard) findClaim(r api.ClaimRecord) *pendingClaim {
	for _, p := range s.claims {
		if p.claim.Request == r.Request && p.claim.Key.HashHex() == r.Key {
			return p
		}
	}
	return nil
}

// applyWrittenBatch applies the records of a confirmed write and reports the
// updates in it as stored.
func (s *shard) applyWrittenBatch(now time.Time, b *batch, version int64) []Effect {
	s.consecutiveFailures, s.syncedSequence = 0, b.sequence
	s.head.version, s.head.sealed, s.head.sealedAtMs = version, b.sealed, b.sealedAtMs
	s.head.records = append(s.head.records, b.records...)
	s.head.encoded = b.encoded
	var out []Effect
	remaining := s.updates[:0]
	for _, u := range s.updates {
		if b.updates[u] {
			out = append(out, u.settledEffect())
			continue
		}
		remaining = append(remaining, u)
	}
	clear(s.updates[len(remaining):])
	s.updates = remaining
	out = append(out, s.applyRecords(now, b.records)...)
	if b.sealed {
		s.startNextSegment()
		out = append(out, s.updateHint()...)
	}
	return out
}

// startNextSegment makes the next segment the head, after the head was sealed.
func (s *shard) startNextSegment() {
	s.sealed = append(s.sealed, sealedSegment{s.head.number, s.head.sealedAtMs, s.headKeys})
	s.headKeys = nil
	s.head = segment{number: s.head.number + 1}
}

// applyRecords applies records of the head segment and returns the grants. A claim
// record of this incarnation without a pending claim was never granted, because
// the claim was refused before; it is released.
func (s *shard) applyRecords(now time.Time, records []api.ClaimRecord) []Effect {
	var out []Effect
	for _, r := range records {
		h, ok := decodeKeyHash(r)
		if !ok {
			continue
		}
		next, valid := nextState(s.keys[h], r, s.head.number)
		if !valid {
			continue
		}
		if s.keys[h].segmentNumber != s.head.number || s.keys[h].state == stateNone {
			s.headKeys = append(s.headKeys, h)
		}
		s.keys[h] = next
		if r.State != api.ClaimStateClaimed || r.Entry != s.incarnationID {
			continue
		}
		if p := s.removeClaim(h, r.Request); p != nil {
			out = append(out, Resolved{Key: p.claim.Key, Request: r.Request, Result: Granted})
			continue
		}
		s.addUpdate(now, releaseRecord(r), false)
	}
	return out
}

// removeClaim removes the pending claim of a request and returns it, or returns nil
// if there is none.
func (s *shard) removeClaim(h keyHash, request string) *pendingClaim {
	for i, p := range s.claims {
		if p.hash == h && p.claim.Request == request {
			s.claims = append(s.claims[:i], s.claims[i+1:]...)
			return p
		}
	}
	return nil
}
