// Package platform reaches the platform's object API and instance list.
package platform

import (
	"context"
	"errors"
	"time"
)

// Object is one stored object.
type Object struct {
	Key string `json:"key"`
	// Version rises with every write of the object; the first write is 1.
	Version int64 `json:"version"`
	// Generation rises when the store is restored from a backup.
	Generation int64 `json:"generation"`
	// Value is JSON of at most MaxValueBytes.
	Value []byte `json:"value"`
}

// MaxValueBytes is the largest value of an object, in bytes.
const MaxValueBytes = 1 << 20

// Errors of a Store.
var (
	// ErrConflict means the object's version was not the expected one; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrNotFound means the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means the call had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrAmbiguous means a write may have taken effect.
	ErrAmbiguous = errors.New("store write outcome unknown")
	// ErrRateLimited means the call was refused by the store's rate limit.
	ErrRateLimited = errors.New("store rate limit reached")
)

// Store is the platform's object API.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is ifVersion; 0 means the object
	// must not exist. It returns the written object without its value.
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error)
	// List returns the keys and versions below a prefix, without values.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits up to wait for a version other than afterVersion or another
	// generation. It returns ErrNotFound when the time passes without one.
	Watch(ctx context.Context, key string, afterVersion int64, wait time.Duration) (Object, error)
	// Instances returns the platform's list of live and leaving instances, which lags.
	Instances(ctx context.Context) ([]Instance, error)
}

// Instance is one line of the platform's instance list.
type Instance struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	Role          string `json:"role"`
	Leaving       bool   `json:"leaving"`
}
