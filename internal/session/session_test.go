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

var startTime = time.Unix(1_800_000_000, 0)

// newStoredKeys returns the keys that the first rotation stores.
func newStoredKeys(t testing.TB, now time.Time) api.SessionKeys {
	stored, changed, err := RotateKeys(now, api.SessionKeys{}, DefaultRotationPolicy(), rand.Reader)
	assert.NilError(t, err)
	assert.Assert(t, changed)
	return stored
}

func mustKeySet(t testing.TB, stored api.SessionKeys) *KeySet {
	k, err := NewKeySet(stored)
	assert.NilError(t, err)
	return k
}

// Guards against tokens that are accepted for the wrong customer, after their
// expiry or with changed content.
func TestVerify(t *testing.T) {
	k := mustKeySet(t, newStoredKeys(t, startTime))
	token, err := k.Issue(startTime, Handle{Customer: "acme", Model: "m", Version: "v1"}, time.Hour)
	assert.Assert(t, err == nil)
	h, err := k.Verify(startTime.Add(time.Minute), token, "acme")
	assert.Assert(t, err == nil)
	assert.Equal(t, h.Version, "v1")
	assert.Equal(t, h.Model, "m")

	other := mustKeySet(t, newStoredKeys(t, startTime))
	parts := strings.Split(token, ".")
	none, signErr := jwt.NewWithClaims(jwt.SigningMethodNone, jwt.MapClaims{"sub": "acme", "iss": issuer}).SignedString(jwt.UnsafeAllowNoneSignatureType)
	assert.NilError(t, signErr)
	cases := []struct {
		name, token, customer string
		keys                  *KeySet
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
		_, err := c.keys.Verify(startTime.Add(c.at), c.token, c.customer)
		assert.Assert(t, errkind.Is(err, errkind.SessionInvalid), c.name)
		assert.Equal(t, err.RunState, api.RunStateNotRun, c.name)
	}
}

// Guards against a valid token of one entry being refused by another during key
// rotation, when the entries read the new keys at different times, all within
// ActivationDelay.
func TestRotationOverlap(t *testing.T) {
	rng := mrand.New(mrand.NewPCG(1, 1))
	r := DefaultRotationPolicy()
	stored := newStoredKeys(t, startTime)
	entries := []*KeySet{mustKeySet(t, stored), mustKeySet(t, stored), mustKeySet(t, stored)}
	type issuedToken struct {
		token string
		until time.Time
	}
	var issuedTokens []issuedToken
	rotations := 0
	for at := time.Duration(0); at < 7*24*time.Hour; at += 3 * time.Minute {
		now := startTime.Add(at)
		next, changed, err := RotateKeys(now, stored, r, rand.Reader)
		assert.NilError(t, err)
		if changed {
			stored = next
			rotations++
		}
		for i := range entries {
			if rng.IntN(3) == 0 || at%(9*time.Minute) == 0 {
				entries[i] = mustKeySet(t, stored)
			}
		}
		token, issueErr := entries[rng.IntN(3)].Issue(now, Handle{Customer: "c", Model: "m", Version: "v"}, r.TokenTTL)
		assert.Assert(t, issueErr == nil)
		issuedTokens = append(issuedTokens, issuedToken{token, now.Add(r.TokenTTL)})
		for range 3 {
			s := issuedTokens[rng.IntN(len(issuedTokens))]
			_, verifyErr := entries[rng.IntN(3)].Verify(now, s.token, "c")
			if now.Before(s.until) {
				assert.Assert(t, verifyErr == nil, "a valid token was refused at %s: %v", at, verifyErr)
			}
		}
	}
	assert.Assert(t, rotations >= 7, "%d rotations", rotations)
	assert.Assert(t, len(stored.Keys) <= 4, "%d keys", len(stored.Keys))
}

// Guards against a panic while decoding a token and against accepting a token
// that no key signed.
func FuzzVerify(f *testing.F) {
	k := mustKeySet(f, api.SessionKeys{Keys: []api.SessionKey{{
		Id: "0123456789abcdef", Secret: "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", SignFrom: int(startTime.Unix()),
	}}})
	token, err := k.Issue(startTime, Handle{Customer: "acme", Model: "m", Version: "v1"}, time.Hour)
	assert.Assert(f, err == nil)
	f.Add(token)
	f.Add("my-session")
	f.Add("e30.e30.e30")
	f.Fuzz(func(t *testing.T, in string) {
		h, err := k.Verify(startTime, in, "acme")
		if err == nil && (in != token || h.Version != "v1") {
			t.Fatalf("token %q was accepted", in)
		}
		if err != nil && err.Kind != errkind.SessionInvalid {
			t.Fatalf("kind %s", err.Kind)
		}
	})
}
