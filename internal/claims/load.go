package claims

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/borageflow/borageflow/api"
)

// loader reads the segments of a shard before its first decision.
type loader struct {
	oldest   int
	frontier int
	got      map[int]segment
	reading  map[int]uint64
	readyAt  time.Time
}

// hint is what is known of the object claims/head/{shard}. It only saves reads.
type hint struct {
	version int64
	busy    bool
	// stale means that the version is not known.
	stale bool
}

func (s *shard) onHintRead(now time.Time, e StoreRead) []Effect {
	var h api.ClaimHead
	broken := !e.NotFound && !e.Failed && json.Unmarshal(e.Value, &h) != nil
	if s.phase == findingHint {
		if e.Failed {
			s.phase = cold
			s.backOff(now)
			return nil
		}
		s.failures = 0
		s.hint.version = e.Version
		s.load = loader{oldest: h.Oldest, frontier: max(h.Window, h.Oldest), got: map[int]segment{}, reading: map[int]uint64{}}
		s.phase = loading
		if broken {
			return []Effect{Alarm{e.ObjectKey + " is damaged"}}
		}
		return nil
	}
	s.hint.busy = false
	if e.Failed || broken {
		return nil
	}
	s.hint.version, s.hint.stale = e.Version, false
	if s.phase != ready || !e.NotFound && h.Window >= s.head.window {
		return nil
	}
	return s.hintAfterRoll()
}

func (s *shard) onHintWritten(e StoreWritten) {
	s.hint.busy = false
	if e.Outcome == Written {
		s.hint.version = e.Version
		return
	}
	s.hint.stale = e.Outcome == Conflict || e.Outcome == Ambiguous
}

// hintAfterRoll tells later starters where the log begins and ends.
func (s *shard) hintAfterRoll() []Effect {
	if s.hint.busy {
		return nil
	}
	s.hint.busy = true
	if s.hint.stale {
		return []Effect{ReadObject{hintKey(s.index)}}
	}
	oldest := s.head.window
	if len(s.sealed) > 0 {
		oldest = s.sealed[0].window
	}
	value := fmt.Appendf(nil, `{"window":%d,"oldest":%d}`, s.head.window, oldest)
	return []Effect{WriteObject{ObjectKey: hintKey(s.index), Value: value, IfVersion: s.hint.version}}
}

// loadMore reads segments from the oldest one up to the frontier.
func (s *shard) loadMore() []Effect {
	var out []Effect
	for w := s.load.oldest; w <= s.load.frontier && len(s.load.reading) < s.opts.MaxReads; w++ {
		if _, ok := s.load.got[w]; ok || s.load.reading[w] != 0 {
			continue
		}
		s.sequence++
		s.load.reading[w] = s.sequence
		out = append(out, ReadObject{segmentKey(w, s.index)})
	}
	return out
}

func (s *shard) onLoadRead(now time.Time, window int, e StoreRead) []Effect {
	if s.load.reading[window] == 0 {
		return nil
	}
	delete(s.load.reading, window)
	if e.Failed {
		s.backOff(now)
		return nil
	}
	got := segment{window: window}
	if !e.NotFound {
		var err error
		if got, err = decodeSegment(e.Value, e.Version); err != nil || got.window != window {
			s.backOff(now)
			return []Effect{Alarm{"claim segment " + e.ObjectKey + " is damaged"}}
		}
	}
	s.failures = 0
	s.load.got[window] = got
	return s.finishLoad(now)
}

// finishLoad folds the segments in order once the open one is found.
func (s *shard) finishLoad(now time.Time) []Effect {
	w := s.load.oldest
	for {
		got, ok := s.load.got[w]
		if !ok {
			s.load.frontier = max(s.load.frontier, w)
			return nil
		}
		if !got.sealed {
			break
		}
		w++
	}
	var out []Effect
	for i := s.load.oldest; i <= w; i++ {
		s.head = s.load.got[i]
		out = append(out, s.applyAll(now, s.head.records)...)
		if i < w {
			s.roll()
		}
	}
	s.phase = ready
	s.load = loader{readyAt: now}
	// The open segment may have been read before some of the waiting claims came.
	s.freshAt = 0
	return out
}

// expire forgets the keys of segments older than the retention.
func (s *shard) expire(now time.Time) {
	limit := now.Add(-s.opts.Retention - s.opts.SkewAllowance).UnixMilli()
	for len(s.sealed) > 0 && s.sealed[0].sealedAt < limit {
		old := s.sealed[0]
		for _, h := range old.keys {
			if st, ok := s.keys[h]; ok && st.window <= old.window {
				delete(s.keys, h)
			}
		}
		s.sealed = s.sealed[1:]
	}
}
