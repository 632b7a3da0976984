package session

import (
	"crypto/rand"
	mrand "math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

var start = time.Unix(1_800_000_000, 0)

func freshKeys(t testing.TB, now time.Time) api.SessionKeys {
	stored, changed, err := Rotate(now, api.SessionKeys{}, DefaultRotation(), rand.Reader)
	assert.NilError(t, err)
	assert.Assert(t, changed)
	return stored
}

func mustKeys(t testing.TB, stored api.SessionKeys) *Keys {
	k, err := NewKeys(stored)
	assert.NilError(t, err)
	return k
}

// Guards against tokens that verify for the wrong customer, after their end, or
// with changed content.
func TestVerify(t *testing.T) {
	k := mustKeys(t, freshKeys(t, start))
	token, err := k.Issue(start, Handle{Customer: "acme", Model: "m", Version: "v1"}, time.Hour)
	assert.Assert(t, err == nil)
	h, err := k.Verify(start.Add(time.Minute), token, "acme")
	assert.Assert(t, err == nil)
	assert.Equal(t, h.Version, "v1")
	assert.Equal(t, h.Model, "m")

	other := mustKeys(t, freshKeys(t, start))
	parts := strings.Split(token, ".")
	none, signErr := jwt.NewWithClaims(jwt.SigningMethodNone, jwt.MapClaims{"sub": "acme", "iss": issuer}).SignedString(jwt.UnsafeAllowNoneSignatureType)
	assert.NilError(t, signErr)
	cases := []struct {
		name, token, customer string
		keys                  *Keys
		at                    time.Duration
	}{
		{"other customer", token, "other", k, 0},
		{"expired", token, "acme", k, 2 * time.Hour},
		{"unknown key", token, "acme", other, 0},
		{"unsigned", none, "acme", k, 0},
		{"no signature", parts[0] + "." + parts[1] + ".", "acme", k, 0},
		{"changed content", parts[0] + "." + parts[1][:len(parts[1])-2] + "AA." + parts[2], "acme", k, 0},
		{"name chosen by the caller", "my-session", "acme", k, 0},
		{"empty", "", "acme", k, 0},
		{"too long", strings.Repeat("a", MaxTokenBytes+1), "acme", k, 0},
		{"issued in the future", token, "acme", k, -time.Hour},
	}
	for _, c := range cases {
		_, err := c.keys.Verify(start.Add(c.at), c.token, c.customer)
		assert.Assert(t, errkind.Is(err, errkind.SessionInvalid), c.name)
		assert.Equal(t, err.RunState, api.RunStateNotRun, c.name)
	}
}

// Guards against a token that one entry issues and another refuses while keys
// rotate and each entry reads them with its own lag below Lead.
func TestRotationOverlap(t *testing.T) {
	rng := mrand.New(mrand.NewPCG(1, 1))
	r := DefaultRotation()
	stored := freshKeys(t, start)
	entries := []*Keys{mustKeys(t, stored), mustKeys(t, stored), mustKeys(t, stored)}
	type issued struct {
		token string
		until time.Time
	}
	var live []issued
	rotations := 0
	for at := time.Duration(0); at < 7*24*time.Hour; at += 3 * time.Minute {
		now := start.Add(at)
		next, changed, err := Rotate(now, stored, r, rand.Reader)
		assert.NilError(t, err)
		if changed {
			stored = next
			rotations++
		}
		for i := range entries {
			if rng.IntN(3) == 0 || at%(9*time.Minute) == 0 {
				entries[i] = mustKeys(t, stored)
			}
		}
		token, kerr := entries[rng.IntN(3)].Issue(now, Handle{Customer: "c", Model: "m", Version: "v"}, r.TokenTTL)
		assert.Assert(t, kerr == nil)
		live = append(live, issued{token, now.Add(r.TokenTTL)})
		for range 3 {
			s := live[rng.IntN(len(live))]
			_, verr := entries[rng.IntN(3)].Verify(now, s.token, "c")
			if now.Before(s.until) {
				assert.Assert(t, verr == nil, "a live token was refused at %s: %v", at, verr)
			}
		}
	}
	assert.Assert(t, rotations >= 7, "%d rotations", rotations)
	assert.Assert(t, len(stored.Keys) <= 4, "%d keys", len(stored.Keys))
}

// Guards against panics of the decoder and against an accepted token that no
// key signed.
func FuzzVerify(f *testing.F) {
	k := mustKeys(f, api.SessionKeys{Keys: []api.SessionKey{{
		Id: "0123456789abcdef", Secret: "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", SignFrom: int(start.Unix()),
	}}})
	token, err := k.Issue(start, Handle{Customer: "acme", Model: "m", Version: "v1"}, time.Hour)
	assert.Assert(f, err == nil)
	f.Add(token)
	f.Add("my-session")
	f.Add("e30.e30.e30")
	f.Fuzz(func(t *testing.T, in string) {
		h, err := k.Verify(start, in, "acme")
		if err == nil && (in != token || h.Version != "v1") {
			t.Fatalf("token %q was accepted", in)
		}
		if err != nil && err.Kind != errkind.SessionInvalid {
			t.Fatalf("kind %s", err.Kind)
		}
	})
}
