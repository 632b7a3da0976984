package claims

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/borageflow/borageflow/api"
)

// loader holds the progress of reading a shard's segments before the first
// decision of the shard.
type loader struct {
	// oldestNumber and newestNumber limit the segments to read. newestNumber grows
	// until the first unsealed segment is found.
	oldestNumber int
	newestNumber int
	segments     map[int]segment
	// readsInFlight maps the number of a segment being read to the sequence number
	// of its read.
	readsInFlight map[int]uint64
	// loadedAt is when the load ended; the other fields are empty from then on.
	loadedAt time.Time
}

// headHint tracks the object claims/head/{shard}, which names the oldest and the
// newest segment of the shard. It only saves reads; correctness does not depend
// on it.
type headHint struct {
	version      int64
	callInFlight bool
	// versionUnknown is set after a conflicting or ambiguous write. The object must
	// then be read before the next write.
	versionUnknown bool
}

func (s *shard) onHintRead(now time.Time, e ObjectRead) []Effect {
	var h api.ClaimHead
	broken := !e.NotFound && !e.Failed && json.Unmarshal(e.Value, &h) != nil
	if s.phase == phaseReadingHint {
		if e.Failed {
			s.phase = phaseUnloaded
			s.scheduleRetry(now)
			return nil
		}
		s.consecutiveFailures = 0
		s.hint.version = e.Version
		s.loader = loader{oldestNumber: h.Oldest, newestNumber: max(h.Window, h.Oldest), segments: map[int]segment{}, readsInFlight: map[int]uint64{}}
		s.phase = phaseLoading
		if broken {
			return []Effect{Alarm{e.ObjectKey + " is damaged"}}
		}
		return nil
	}
	s.hint.callInFlight = false
	if e.Failed || broken {
		return nil
	}
	s.hint.version, s.hint.versionUnknown = e.Version, false
	if s.phase != phaseReady || !e.NotFound && h.Window >= s.head.number {
		return nil
	}
	return s.updateHint()
}

func (s *shard) onHintWritten(e ObjectWritten) {
	s.hint.callInFlight = false
	if e.Outcome == WriteSucceeded {
		s.hint.version = e.Version
		return
	}
	s.hint.versionUnknown = e.Outcome == WriteConflict || e.Outcome == WriteAmbiguous
}

// updateHint writes the numbers of the oldest and the newest segment to the hint,
// so that an entry that starts later knows which segments to read.
func (s *shard) updateHint() []Effect {
	if s.hint.callInFlight {
		return nil
	}
	s.hint.callInFlight = true
	if s.hint.versionUnknown {
		return []Effect{ReadObject{hintKey(s.index)}}
	}
	oldest := s.head.number
	if len(s.sealed) > 0 {
		oldest = s.sealed[0].number
	}
	value := fmt.Appendf(nil, `{"window":%d,"oldest":%d}`, s.head.number, oldest)
	return []Effect{WriteObject{ObjectKey: hintKey(s.index), Value: value, IfVersion: s.hint.version}}
}

// readSegments requests the missing segments from oldestNumber to newestNumber,
// with at most MaxConcurrentReads in flight.
func (s *shard) readSegments() []Effect {
	var out []Effect
	for number := s.loader.oldestNumber; number <= s.loader.newestNumber && len(s.loader.readsInFlight) < s.opts.MaxConcurrentReads; number++ {
		if _, ok := s.loader.segments[number]; ok || s.loader.readsInFlight[number] != 0 {
			continue
		}
		s.lastSequence++
		s.loader.readsInFlight[number] = s.lastSequence
		out = append(out, ReadObject{segmentKey(number, s.index)})
	}
	return out
}

func (s *shard) onSegmentRead(now time.Time, number int, e ObjectRead) []Effect {
	if s.loader.readsInFlight[number] == 0 {
		return nil
	}
	delete(s.loader.readsInFlight, number)
	if e.Failed {
		s.scheduleRetry(now)
		return nil
	}
	got := segment{number: number}
	if !e.NotFound {
		var err error
		if got, err = decodeSegment(e.Value, e.Version); err != nil || got.number != number {
			s.scheduleRetry(now)
			return []Effect{Alarm{"claim segment " + e.ObjectKey + " is damaged"}}
		}
	}
	s.consecutiveFailures = 0
	s.loader.segments[number] = got
	return s.finishLoad(now)
}

// finishLoad applies the segments in order once all of them up to the first
// unsealed one are read.
func (s *shard) finishLoad(now time.Time) []Effect {
	number := s.loader.oldestNumber
	for {
		got, ok := s.loader.segments[number]
		if !ok {
			s.loader.newestNumber = max(s.loader.newestNumber, number)
			return nil
		}
		if !got.sealed {
			break
		}
		number++
	}
	var out []Effect
	for i := s.loader.oldestNumber; i <= number; i++ {
		s.head = s.loader.segments[i]
		out = append(out, s.applyRecords(now, s.head.records)...)
		if i < number {
			s.startNextSegment()
		}
	}
	s.phase = phaseReady
	s.loader = loader{loadedAt: now}
	// The unsealed segment may have been read before some pending claims arrived.
	s.syncedSequence = 0
	return out
}

// expireKeys removes the keys of segments that were sealed before the retention.
func (s *shard) expireKeys(now time.Time) {
	limit := now.Add(-s.opts.Retention - s.opts.SkewAllowance).UnixMilli()
	for len(s.sealed) > 0 && s.sealed[0].sealedAtMs < limit {
		old := s.sealed[0]
		for _, h := range old.keys {
			if st, ok := s.keys[h]; ok && st.segmentNumber <= old.number {
				delete(s.keys, h)
			}
		}
		s.sealed = s.sealed[1:]
	}
}
