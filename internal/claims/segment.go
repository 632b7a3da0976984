package claims

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
)

const runStateRan = api.RunStateRan

// segmentKey returns the object key of a segment.
func segmentKey(number, shard int) string { return fmt.Sprintf("claims/%d/%d", number, shard) }

// hintKey returns the object key of a shard's hint; see headHint.
func hintKey(shard int) string { return fmt.Sprintf("claims/head/%d", shard) }

// parseObjectKey returns the segment number and the shard index of an object key.
// The number is -1 for a hint.
func parseObjectKey(key string) (number, shard int, ok bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 3 || parts[0] != "claims" {
		return 0, 0, false
	}
	shard, err := strconv.Atoi(parts[2])
	if err != nil {
		return 0, 0, false
	}
	if parts[1] == "head" {
		return -1, shard, true
	}
	number, err = strconv.Atoi(parts[1])
	return number, shard, err == nil
}

// segment is a decoded segment of the log. Its number is the field "window" of
// the stored form.
type segment struct {
	number  int
	version int64
	// sealed means that no record is ever added; the log continues in the next
	// segment.
	sealed bool
	// sealedAtMs is the time of sealing in Unix milliseconds, by the clock of the
	// entry that sealed it.
	sealedAtMs int64
	records    []api.ClaimRecord
	// encoded holds the records as JSON, joined by commas, so that an append
	// does not encode the older records again.
	encoded []byte
}

func decodeSegment(value []byte, version int64) (segment, error) {
	var raw struct {
		Window   int               `json:"window"`
		Sealed   bool              `json:"sealed"`
		SealedAt int64             `json:"sealedAt"`
		Records  []json.RawMessage `json:"records"`
	}
	if err := json.Unmarshal(value, &raw); err != nil {
		return segment{}, err
	}
	s := segment{number: raw.Window, version: version, sealed: raw.Sealed, sealedAtMs: raw.SealedAt}
	for _, r := range raw.Records {
		var record api.ClaimRecord
		if err := json.Unmarshal(r, &record); err != nil {
			return segment{}, err
		}
		s.records = append(s.records, record)
		s.encoded = appendEncoded(s.encoded, r)
	}
	return s, nil
}

func appendEncoded(encoded, record []byte) []byte {
	if len(encoded) > 0 {
		encoded = append(encoded, ',')
	}
	return append(encoded, record...)
}

func encodeRecord(r api.ClaimRecord) []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("claim record cannot be encoded: %v", err))
	}
	return raw
}

// encodeSegment returns the stored form of a segment; encoded holds its records as
// JSON, joined by commas.
func encodeSegment(number, shard int, sealed bool, sealedAtMs int64, encoded []byte) []byte {
	out := make([]byte, 0, len(encoded)+128)
	out = fmt.Appendf(out, `{"window":%d,"shard":%d,`, number, shard)
	if sealed {
		out = fmt.Appendf(out, `"sealed":true,"sealedAt":%d,`, sealedAtMs)
	}
	out = append(out, `"records":[`...)
	out = append(out, encoded...)
	return append(out, "]}"...)
}

// keyState is the state of one key after all its records. The request ID and the
// body digest are kept as 64-bit hashes: for a million keys the strings would take
// four times the memory, and they are only compared within one key.
type keyState struct {
	state   stateCode
	request uint64
	body    uint64
	// untilMs is the deadline of the claimed run in Unix milliseconds.
	untilMs int64
	// segmentNumber is the segment of the record that set the state.
	segmentNumber int
}

type stateCode uint8

const (
	stateNone stateCode = iota
	stateClaimed
	stateCompleted
	stateReleased
	stateUnknown
)

// claimable reports whether the key is unclaimed or released.
func (k keyState) claimable() bool { return k.state == stateNone || k.state == stateReleased }

// hash64 returns a 64-bit hash of s, and 0 for the empty string.
func hash64(s string) uint64 {
	if s == "" {
		return 0
	}
	return xxhash.Sum64String(s)
}

// nextState returns the state after a record and whether the record is valid; an
// invalid record is ignored. All entries apply records by this function only, so
// entries that have read the same prefix of the log hold the same states.
func nextState(cur keyState, r api.ClaimRecord, segmentNumber int) (keyState, bool) {
	next := keyState{request: hash64(r.Request), body: cur.body, untilMs: cur.untilMs, segmentNumber: segmentNumber}
	same := cur.request == next.request
	switch r.State {
	case api.ClaimStateClaimed:
		next.state, next.body, next.untilMs = stateClaimed, hash64(r.Body), int64(r.Until)
		return next, cur.claimable()
	case api.ClaimStateCompleted:
		// Without a known claim, the claim is in an expired segment. A completion that
		// follows a release contradicts it; the key then counts as completed and
		// cannot be claimed again.
		next.state = stateCompleted
		return next, cur.state == stateNone || same && cur.state != stateCompleted
	case api.ClaimStateReleased:
		next.state = stateReleased
		return next, same && (cur.state == stateClaimed || cur.state == stateUnknown)
	case api.ClaimStateUnknown:
		next.state = stateUnknown
		return next, same && cur.state == stateClaimed
	}
	return cur, false
}

func decodeKeyHash(r api.ClaimRecord) (keyHash, bool) {
	var h keyHash
	n, err := hex.Decode(h[:], []byte(r.Key))
	return h, err == nil && n == len(h)
}
