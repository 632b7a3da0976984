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

const ran = api.RunStateRan

// segmentKey returns the object key of a segment.
func segmentKey(window, shard int) string { return fmt.Sprintf("claims/%d/%d", window, shard) }

// hintKey returns the object key of a shard's hint.
func hintKey(shard int) string { return fmt.Sprintf("claims/head/%d", shard) }

// parseKey splits an object key; window is -1 for a hint.
func parseKey(key string) (window, shard int, ok bool) {
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
	window, err = strconv.Atoi(parts[1])
	return window, shard, err == nil
}

// segment is a decoded segment of the log.
type segment struct {
	window   int
	version  int64
	sealed   bool
	sealedAt int64
	records  []api.ClaimRecord
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
	s := segment{window: raw.Window, version: version, sealed: raw.Sealed, sealedAt: raw.SealedAt}
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

// encodeSegment returns the stored form of a segment.
func encodeSegment(window, shard int, sealed bool, sealedAt int64, encoded []byte) []byte {
	out := make([]byte, 0, len(encoded)+128)
	out = fmt.Appendf(out, `{"window":%d,"shard":%d,`, window, shard)
	if sealed {
		out = fmt.Appendf(out, `"sealed":true,"sealedAt":%d,`, sealedAt)
	}
	out = append(out, `"records":[`...)
	out = append(out, encoded...)
	return append(out, "]}"...)
}

// keyState is the folded state of one key. Request and body are kept as 64-bit
// hashes: at a million keys the strings would take four times the memory, and
// they are only compared within one key.
type keyState struct {
	state   stateCode
	request uint64
	body    uint64
	until   int64
	// window holds the record that made the state.
	window int
}

type stateCode uint8

const (
	stateNone stateCode = iota
	stateClaimed
	stateCompleted
	stateReleased
	stateUnknown
)

// free reports whether a key may be claimed.
func (k keyState) free() bool { return k.state == stateNone || k.state == stateReleased }

func digest(s string) uint64 {
	if s == "" {
		return 0
	}
	return xxhash.Sum64String(s)
}

// fold returns the state after a record and whether the record is valid. It is
// the only rule of the log: every entry that has read the same prefix holds the
// same states.
func fold(cur keyState, r api.ClaimRecord, window int) (keyState, bool) {
	next := keyState{request: digest(r.Request), body: cur.body, until: cur.until, window: window}
	same := cur.request == next.request
	switch r.State {
	case api.ClaimStateClaimed:
		next.state, next.body, next.until = stateClaimed, digest(r.Body), int64(r.Until)
		return next, cur.free()
	case api.ClaimStateCompleted:
		// A missing claim lies in an expired segment. A completion after a release
		// contradicts it; the key then stays closed.
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

func recordHash(r api.ClaimRecord) (hash, bool) {
	var h hash
	n, err := hex.Decode(h[:], []byte(r.Key))
	return h, err == nil && n == len(h)
}
