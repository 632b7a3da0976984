package errkind

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// Guards against two kinds sharing an RPC code, which would make a peer decode
// the wrong kind.
func TestCodesAreUnique(t *testing.T) {
	seen := map[int64]Kind{}
	for _, k := range All() {
		code := Lookup(k).RPCCode
		assert.Equal(t, seen[code], Kind(""), "code %d of %s", code, k)
		seen[code] = k
	}
}

// Guards against an unlisted kind reaching a caller.
func TestUnlistedKindIsInternal(t *testing.T) {
	assert.Equal(t, Parse("no_such_kind"), Internal)
	assert.Equal(t, From(errors.New("x")).Kind, Internal)
	assert.Equal(t, From(errors.New("x")).RunState, api.RunStateUnknown)
}

// Guards against advice that is rounded down to a time at which the refusal still
// holds, or up beyond the next second.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	for delay, seconds := range map[time.Duration]int{0: 0, time.Millisecond: 1, time.Second: 1, 1001 * time.Millisecond: 2} {
		assert.Equal(t, New(RateLimited, "x").WithRetryAfter(delay).RetryAfterSeconds(), seconds, "%v", delay)
	}
}
