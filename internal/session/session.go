// Package session issues and verifies session handles: signed tokens that hold
// a conversation on one version.
package session

import (
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// ObjectKey is the store object that holds the signing keys.
const ObjectKey = "keys/session"

const (
	issuer      = "borageflow"
	keyIDHeader = "kid"
	// secretBytes is the HMAC key size; RFC 7518 asks for at least the hash size.
	secretBytes = 32
	idBytes     = 8
	// MaxTokenBytes bounds a token; a longer header is refused before decoding.
	MaxTokenBytes = 1024
	// clockLeeway tolerates clocks of entries that differ, in both directions.
	clockLeeway = 30 * time.Second
)

// Handle is the content of a session token.
type Handle struct {
	Customer string
	Model    string
	Version  string
	IssuedAt time.Time
	// ExpiresAt ends the session; it has whole seconds.
	ExpiresAt time.Time
}

type claims struct {
	Model   string `json:"mdl"`
	Version string `json:"ver"`
	jwt.RegisteredClaims
}

// Keys sign and verify tokens. They are immutable and safe for concurrent use.
type Keys struct {
	keys []key
}

type key struct {
	id          string
	secret      []byte
	signFrom    time.Time
	verifyUntil time.Time
}

// ParseKeys decodes the value of object keys/session.
func ParseKeys(value []byte) (*Keys, error) {
	var stored api.SessionKeys
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, eris.Wrap(err, "session keys cannot be decoded")
	}
	return NewKeys(stored)
}

// NewKeys returns the Keys of a decoded object.
func NewKeys(stored api.SessionKeys) (*Keys, error) {
	k := &Keys{}
	for _, s := range stored.Keys {
		secret, err := base64.StdEncoding.DecodeString(s.Secret)
		if err != nil || len(secret) != secretBytes {
			return nil, eris.Errorf("session key %q does not have a secret of %d bytes", s.Id, secretBytes)
		}
		next := key{id: s.Id, secret: secret, signFrom: time.Unix(int64(s.SignFrom), 0)}
		if s.VerifyUntil != 0 {
			next.verifyUntil = time.Unix(int64(s.VerifyUntil), 0)
		}
		k.keys = append(k.keys, next)
	}
	if len(k.keys) == 0 {
		return nil, eris.New("session keys hold no key")
	}
	return k, nil
}

// signer returns the newest key that may sign at now.
func (k *Keys) signer(now time.Time) (key, bool) {
	var best key
	found := false
	for _, c := range k.keys {
		if c.signFrom.After(now) || c.expired(now) {
			continue
		}
		if !found || c.signFrom.After(best.signFrom) || c.signFrom.Equal(best.signFrom) && c.id > best.id {
			best, found = c, true
		}
	}
	return best, found
}

func (c key) expired(now time.Time) bool {
	return !c.verifyUntil.IsZero() && now.After(c.verifyUntil.Add(clockLeeway))
}

// Issue returns a signed token for a session that starts at now and lasts ttl.
func (k *Keys) Issue(now time.Time, h Handle, ttl time.Duration) (string, *errkind.Error) {
	signer, ok := k.signer(now)
	if !ok {
		return "", errkind.New(errkind.NotReady, "no session key may sign yet")
	}
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{
		Model: h.Model, Version: h.Version,
		RegisteredClaims: jwt.RegisteredClaims{
			Issuer: issuer, Subject: h.Customer,
			IssuedAt: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(ttl)),
		},
	})
	token.Header[keyIDHeader] = signer.id
	signed, err := token.SignedString(signer.secret)
	if err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "the session token could not be signed")
	}
	if len(signed) > MaxTokenBytes {
		return "", errkind.New(errkind.Internal, "the session token is too long")
	}
	return signed, nil
}

// Verify returns the handle of a token that this router issued to customer.
// Every error is of kind session_invalid and does not tell which check failed
// for tokens that were not signed by a known key.
func (k *Keys) Verify(now time.Time, token, customer string) (Handle, *errkind.Error) {
	if len(token) > MaxTokenBytes {
		return Handle{}, invalid(nil, "the session token is not one that this router issued")
	}
	var c claims
	parser := jwt.NewParser(
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}), jwt.WithIssuer(issuer),
		jwt.WithExpirationRequired(), jwt.WithIssuedAt(), jwt.WithLeeway(clockLeeway), jwt.WithStrictDecoding(),
		jwt.WithTimeFunc(func() time.Time { return now }),
	)
	if _, err := parser.ParseWithClaims(token, &c, k.lookup(now)); err != nil {
		if errors.Is(err, jwt.ErrTokenExpired) {
			return Handle{}, invalid(err, "the session has expired")
		}
		return Handle{}, invalid(err, "the session token is not one that this router issued")
	}
	if c.Subject != customer {
		return Handle{}, invalid(nil, "the session belongs to another customer")
	}
	if c.Model == "" || c.Version == "" || c.IssuedAt == nil {
		return Handle{}, invalid(nil, "the session token is incomplete")
	}
	return Handle{Customer: c.Subject, Model: c.Model, Version: c.Version, IssuedAt: c.IssuedAt.Time, ExpiresAt: c.ExpiresAt.Time}, nil
}

func (k *Keys) lookup(now time.Time) jwt.Keyfunc {
	return func(t *jwt.Token) (any, error) {
		id, _ := t.Header[keyIDHeader].(string)
		for _, c := range k.keys {
			if c.id == id && !c.expired(now) {
				return c.secret, nil
			}
		}
		return nil, jwt.ErrTokenUnverifiable
	}
}

func invalid(cause error, message string) *errkind.Error {
	if cause == nil {
		return errkind.New(errkind.SessionInvalid, message)
	}
	return errkind.Wrap(cause, errkind.SessionInvalid, message)
}

// Rotation states how keys succeed each other.
type Rotation struct {
	// Every is the time between new signing keys.
	Every time.Duration
	// Lead is the time between the writing of a key and its first signature, so
	// that every entry has read it; it exceeds the slowest refresh of the keys.
	Lead time.Duration
	// TokenTTL is the longest life of a token.
	TokenTTL time.Duration
}

// DefaultRotation is used when settings state none.
func DefaultRotation() Rotation {
	return Rotation{Every: 24 * time.Hour, Lead: 10 * time.Minute, TokenTTL: 24 * time.Hour}
}

// Rotate returns the keys to store at now and whether they differ from the
// given ones. random supplies the secrets. The caller writes the result
// conditionally; the loser of a race reads the winner's keys.
func Rotate(now time.Time, stored api.SessionKeys, r Rotation, random io.Reader) (api.SessionKeys, bool, error) {
	kept, changed := dropExpired(now, stored.Keys)
	newest := -1
	for i := range kept {
		if newest < 0 || kept[i].SignFrom > kept[newest].SignFrom {
			newest = i
		}
	}
	if newest >= 0 && now.Unix() < int64(kept[newest].SignFrom)+int64((r.Every-r.Lead)/time.Second) {
		return api.SessionKeys{Keys: kept}, changed, nil
	}
	signFrom := now.Add(r.Lead)
	if newest < 0 {
		signFrom = now
	}
	next, err := newKey(signFrom, random)
	if err != nil {
		return api.SessionKeys{}, false, err
	}
	for i := range kept {
		if kept[i].VerifyUntil == 0 {
			kept[i].VerifyUntil = int(signFrom.Add(r.Lead + r.TokenTTL).Unix())
		}
	}
	return api.SessionKeys{Keys: append(kept, next)}, true, nil
}

func dropExpired(now time.Time, keys []api.SessionKey) (kept []api.SessionKey, changed bool) {
	for _, k := range keys {
		if k.VerifyUntil != 0 && now.Unix() > int64(k.VerifyUntil)+int64(clockLeeway/time.Second) {
			changed = true
			continue
		}
		kept = append(kept, k)
	}
	return kept, changed
}

func newKey(signFrom time.Time, random io.Reader) (api.SessionKey, error) {
	raw := make([]byte, secretBytes+idBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return api.SessionKey{}, eris.Wrap(err, "no random bytes for a session key")
	}
	return api.SessionKey{
		Id:       hex.EncodeToString(raw[secretBytes:]),
		Secret:   base64.StdEncoding.EncodeToString(raw[:secretBytes]),
		SignFrom: int(signFrom.Unix()),
	}, nil
}
