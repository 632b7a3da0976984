package claims

import (
	"fmt"
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
)

// KeyStatus is the state of a key according to the log.
type KeyStatus struct {
	// State is empty for a key without a record.
	State api.ClaimState
	// Claim is the last valid claim record of the key.
	Claim api.ClaimRecord
	// RunDeadline is the latest time at which the claimed request ends, as recorded in
	// Claim.
	RunDeadline time.Time
}

// ObjectPrefix is the prefix of the object keys of all segments and hints.
const ObjectPrefix = "claims/"

// SegmentKeys selects from objectKeys the segments of a key's shard and returns
// their object keys, oldest segment first.
func SegmentKeys(key Key, shards int, objectKeys []string) []string {
	want := key.hash().shardIndex(shards)
	var numbers []int
	for _, objectKey := range objectKeys {
		if number, shard, ok := parseObjectKey(objectKey); ok && shard == want && number >= 0 {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	out := make([]string, len(numbers))
	for i, number := range numbers {
		out[i] = segmentKey(number, want)
	}
	return out
}

// Inspector computes the state of one key from the segments of its shard.
type Inspector struct {
	key Key
	// minSealedAtMs is the retention limit in Unix milliseconds; segments that were
	// sealed before it are ignored.
	minSealedAtMs int64
	state         keyState
	status        KeyStatus
}

// NewInspector returns an Inspector for a key. Segments whose retention has passed
// at time now are ignored.
func NewInspector(now time.Time, key Key) *Inspector {
	o := Options{}.withDefaults()
	return &Inspector{key: key, minSealedAtMs: now.Add(-o.Retention - o.SkewAllowance).UnixMilli()}
}

// Add applies the records of the next segment; segments must be added oldest
// first. It returns an error if the value cannot be decoded.
func (i *Inspector) Add(value []byte) error {
	s, err := decodeSegment(value, 0)
	if err != nil {
		return fmt.Errorf("claim segment is damaged: %w", err)
	}
	if s.sealed && s.sealedAtMs < i.minSealedAtMs {
		return nil
	}
	hash := i.key.HashHex()
	for _, r := range s.records {
		if r.Key != hash {
			continue
		}
		next, valid := nextState(i.state, r, s.number)
		if !valid {
			continue
		}
		i.state = next
		i.status.State = r.State
		if r.State == api.ClaimStateClaimed {
			i.status.Claim, i.status.RunDeadline = r, time.UnixMilli(int64(r.Until))
		}
	}
	return nil
}

// Status returns the state of the key after the segments added so far.
func (i *Inspector) Status() KeyStatus { return i.status }
