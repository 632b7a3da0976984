package claims

import (
	"fmt"
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
)

// Found is the state of a key as the log tells it.
type Found struct {
	// State is empty for a key without a record.
	State api.ClaimState
	// Claim is the claim that the state belongs to.
	Claim api.ClaimRecord
	// Until is the latest stated end of the claim's run.
	Until time.Time
}

// ObjectPrefix is the prefix of the keys of all segments.
const ObjectPrefix = "claims/"

// SegmentsOf returns the object keys of the segments of a key's shard, from the
// oldest window to the newest.
func SegmentsOf(key Key, shards int, objectKeys []string) []string {
	want := key.hash().shard(shards)
	var windows []int
	for _, objectKey := range objectKeys {
		if window, shard, ok := parseKey(objectKey); ok && shard == want && window >= 0 {
			windows = append(windows, window)
		}
	}
	slices.Sort(windows)
	out := make([]string, len(windows))
	for i, window := range windows {
		out[i] = segmentKey(window, want)
	}
	return out
}

// Inspector folds the segments of one shard for one key.
type Inspector struct {
	key Key
	// limit is the sealing time of the oldest remembered segment, in Unix
	// milliseconds.
	limit int64
	state keyState
	found Found
}

// NewInspector returns the Inspector of a key at now.
func NewInspector(now time.Time, key Key) *Inspector {
	o := Options{}.withDefaults()
	return &Inspector{key: key, limit: now.Add(-o.Retention - o.SkewAllowance).UnixMilli()}
}

// Add folds the next segment; segments must come in the order of SegmentsOf.
func (i *Inspector) Add(value []byte) error {
	s, err := decodeSegment(value, 0)
	if err != nil {
		return fmt.Errorf("claim segment is damaged: %w", err)
	}
	if s.sealed && s.sealedAt < i.limit {
		return nil
	}
	record := i.key.Record()
	for _, r := range s.records {
		if r.Key != record {
			continue
		}
		next, valid := fold(i.state, r, s.window)
		if !valid {
			continue
		}
		i.state = next
		i.found.State = r.State
		if r.State == api.ClaimStateClaimed {
			i.found.Claim, i.found.Until = r, time.UnixMilli(int64(r.Until))
		}
	}
	return nil
}

// Found returns the state after all segments.
func (i *Inspector) Found() Found { return i.found }
