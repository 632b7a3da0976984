// Package session issues and verifies session tokens. A session token is a
// signed JSON Web Token that pins a conversation to one version of a model.
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

// ObjectKey is the key of the store object that holds the signing keys.
const ObjectKey = "keys/session"

const (
	issuer      = "borageflow"
	keyIDHeader = "kid"
	// secretBytes is the size of an HMAC secret. RFC 7518 requires at least the
	// size of the hash, 32 bytes for SHA-256.
	secretBytes = 32
	keyIDBytes  = 8
	// MaxTokenBytes bounds the length of a token. Longer ones are rejected
	// before they are decoded.
	MaxTokenBytes = 1024
	// clockLeeway is the tolerated difference between the clocks of two
	// entries, in either direction.
	clockLeeway = 30 * time.Second
)

// Handle is the decoded content of a session token.
type Handle struct {
	Customer string
	Model    string
	Version  string
	IssuedAt time.Time
	// ExpiresAt is the end of the session, with a resolution of one second.
	ExpiresAt time.Time
}

// tokenClaims is the payload of a token. The subject is the customer.
type tokenClaims struct {
	Model   string `json:"mdl"`
	Version string `json:"ver"`
	jwt.RegisteredClaims
}

// KeySet signs and verifies session tokens. It is immutable and safe for
// concurrent use.
type KeySet struct {
	keys []signingKey
}

// signingKey signs tokens from signFrom on and verifies them until verifyUntil.
// A zero verifyUntil means that no successor is planned yet.
type signingKey struct {
	id          string
	secret      []byte
	signFrom    time.Time
	verifyUntil time.Time
}

// ParseKeySet decodes the value of the store object ObjectKey. It returns an
// error if the value is not valid JSON or NewKeySet rejects its keys.
func ParseKeySet(value []byte) (*KeySet, error) {
	var stored api.SessionKeys
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, eris.Wrap(err, "object keys/session cannot be decoded")
	}
	return NewKeySet(stored)
}

// NewKeySet returns the KeySet of a decoded store object. It returns an error
// if there is no key or if a secret is not base64 or not of secretBytes.
func NewKeySet(stored api.SessionKeys) (*KeySet, error) {
	k := &KeySet{}
	for _, s := range stored.Keys {
		secret, err := base64.StdEncoding.DecodeString(s.Secret)
		if err != nil || len(secret) != secretBytes {
			return nil, eris.Errorf("session key %q has no valid base64 secret of %d bytes", s.Id, secretBytes)
		}
		next := signingKey{id: s.Id, secret: secret, signFrom: time.Unix(int64(s.SignFrom), 0)}
		if s.VerifyUntil != 0 {
			next.verifyUntil = time.Unix(int64(s.VerifyUntil), 0)
		}
		k.keys = append(k.keys, next)
	}
	if len(k.keys) == 0 {
		return nil, eris.New("object keys/session contains no key")
	}
	return k, nil
}

// newestSigningKey returns the key with the latest signFrom that may sign at
// now; the higher id decides between equal times.
func (k *KeySet) newestSigningKey(now time.Time) (signingKey, bool) {
	var newest signingKey
	found := false
	for _, candidate := range k.keys {
		if candidate.signFrom.After(now) || candidate.isExpired(now) {
			continue
		}
		if !found || candidate.signFrom.After(newest.signFrom) || candidate.signFrom.Equal(newest.signFrom) && candidate.id > newest.id {
			newest, found = candidate, true
		}
	}
	return newest, found
}

func (k signingKey) isExpired(now time.Time) bool {
	return !k.verifyUntil.IsZero() && now.After(k.verifyUntil.Add(clockLeeway))
}

// Issue returns a signed token for a session that starts at now and lasts ttl.
// It returns a not_ready error if no key may sign at now, and an internal error if
// signing fails or the token would exceed MaxTokenBytes.
func (k *KeySet) Issue(now time.Time, h Handle, ttl time.Duration) (string, *errkind.Error) {
	signer, ok := k.newestSigningKey(now)
	if !ok {
		return "", errkind.New(errkind.NotReady, "no session key is active yet")
	}
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, tokenClaims{
		Model: h.Model, Version: h.Version,
		RegisteredClaims: jwt.RegisteredClaims{
			Issuer: issuer, Subject: h.Customer,
			IssuedAt: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(ttl)),
		},
	})
	token.Header[keyIDHeader] = signer.id
	signed, err := token.SignedString(signer.secret)
	if err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "session token could not be signed")
	}
	if len(signed) > MaxTokenBytes {
		return "", errkind.New(errkind.Internal, "signed session token exceeds the maximum length")
	}
	return signed, nil
}

// Verify returns the content of a token that this router issued to customer.
// All errors are of kind session_invalid. For a token that was not signed by a
// known key, the error does not state which check failed.
func (k *KeySet) Verify(now time.Time, token, customer string) (Handle, *errkind.Error) {
	if len(token) > MaxTokenBytes {
		return Handle{}, invalidError(nil, "the session token is not one that this router issued")
	}
	var decoded tokenClaims
	parser := jwt.NewParser(
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}), jwt.WithIssuer(issuer),
		jwt.WithExpirationRequired(), jwt.WithIssuedAt(), jwt.WithLeeway(clockLeeway), jwt.WithStrictDecoding(),
		jwt.WithTimeFunc(func() time.Time { return now }),
	)
	if _, err := parser.ParseWithClaims(token, &decoded, k.verificationKey(now)); err != nil {
		if errors.Is(err, jwt.ErrTokenExpired) {
			return Handle{}, invalidError(err, "session has expired")
		}
		return Handle{}, invalidError(err, "the session token is not one that this router issued")
	}
	if decoded.Subject != customer {
		return Handle{}, invalidError(nil, "session token was issued to another customer")
	}
	if decoded.Model == "" || decoded.Version == "" || decoded.IssuedAt == nil {
		return Handle{}, invalidError(nil, "session token lacks a model, a version or its time of issue")
	}
	return Handle{Customer: decoded.Subject, Model: decoded.Model, Version: decoded.Version, IssuedAt: decoded.IssuedAt.Time, ExpiresAt: decoded.ExpiresAt.Time}, nil
}

// verificationKey returns a function that finds the secret of a token by the
// key id in its header.
func (k *KeySet) verificationKey(now time.Time) jwt.Keyfunc {
	return func(t *jwt.Token) (any, error) {
		id, _ := t.Header[keyIDHeader].(string)
		for _, candidate := range k.keys {
			if candidate.id == id && !candidate.isExpired(now) {
				return candidate.secret, nil
			}
		}
		return nil, jwt.ErrTokenUnverifiable
	}
}

func invalidError(cause error, message string) *errkind.Error {
	if cause == nil {
		return errkind.New(errkind.SessionInvalid, message)
	}
	return errkind.Wrap(cause, errkind.SessionInvalid, message)
}

// RotationPolicy configures when signing keys are replaced.
type RotationPolicy struct {
	// Interval is the time between the first signatures of successive keys.
	Interval time.Duration
	// ActivationDelay is the time between the writing of a key and its first
	// signature. It must exceed the longest time that an entry takes to read
	// new keys, so that every entry can verify the tokens of a key.
	ActivationDelay time.Duration
	// TokenTTL is the longest validity of a token.
	TokenTTL time.Duration
}

// DefaultRotationPolicy returns a policy with a new key every 24 hours, which is
// active after 10 minutes, and tokens valid for up to 24 hours.
func DefaultRotationPolicy() RotationPolicy {
	return RotationPolicy{Interval: 24 * time.Hour, ActivationDelay: 10 * time.Minute, TokenTTL: 24 * time.Hour}
}

// RotateKeys removes expired keys and adds a new one when it is due. It returns the
// keys to store and whether they differ from the stored ones. random supplies
// the secrets; an error means that it could not be read. The caller must write
// the result conditionally: if another entry wrote first, it reads the keys of
// that entry.
func RotateKeys(now time.Time, stored api.SessionKeys, r RotationPolicy, random io.Reader) (api.SessionKeys, bool, error) {
	kept, changed := dropExpired(now, stored.Keys)
	newest := -1
	for i := range kept {
		if newest < 0 || kept[i].SignFrom > kept[newest].SignFrom {
			newest = i
		}
	}
	if newest >= 0 && now.Unix() < int64(kept[newest].SignFrom)+int64((r.Interval-r.ActivationDelay)/time.Second) {
		return api.SessionKeys{Keys: kept}, changed, nil
	}
	signFrom := now.Add(r.ActivationDelay)
	if newest < 0 {
		signFrom = now
	}
	next, err := newSessionKey(signFrom, random)
	if err != nil {
		return api.SessionKeys{}, false, err
	}
	for i := range kept {
		if kept[i].VerifyUntil == 0 {
			kept[i].VerifyUntil = int(signFrom.Add(r.ActivationDelay + r.TokenTTL).Unix())
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

func newSessionKey(signFrom time.Time, random io.Reader) (api.SessionKey, error) {
	raw := make([]byte, secretBytes+keyIDBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return api.SessionKey{}, eris.Wrap(err, "random bytes for a new session key cannot be read")
	}
	return api.SessionKey{
		Id:       hex.EncodeToString(raw[secretBytes:]),
		Secret:   base64.StdEncoding.EncodeToString(raw[:secretBytes]),
		SignFrom: int(signFrom.Unix()),
	}, nil
}
