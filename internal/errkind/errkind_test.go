package errkind

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// Guards against two kinds sharing a JSON-RPC code, which would make a peer decode
// the wrong kind.
func TestCodesAreUnique(t *testing.T) {
	seen := map[int64]Kind{}
	for _, k := range All() {
		code := Lookup(k).RPCCode
		assert.Equal(t, seen[code], Kind(""), "code %d of %s", code, k)
		seen[code] = k
	}
}

// Guards against an unlisted kind, or an error without a kind, being reported to a
// caller as anything but Internal.
func TestUnlistedKindIsInternal(t *testing.T) {
	assert.Equal(t, Parse("no_such_kind"), Internal)
	assert.Equal(t, FromError(errors.New("x")).Kind, Internal)
	assert.Equal(t, FromError(errors.New("x")).RunState, api.RunStateUnknown)
}

// Guards against a Retry-After that is rounded down, so that the retry is refused
// again, or rounded up by more than one second.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	for delay, seconds := range map[time.Duration]int{0: 0, time.Millisecond: 1, time.Second: 1, 1001 * time.Millisecond: 2} {
		assert.Equal(t, New(RateLimited, "x").WithRetryAfter(delay).RetryAfterSeconds(), seconds, "%v", delay)
	}
}
