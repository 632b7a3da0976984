// Package platform is the client of the platform's object store and instance list.
package platform

import (
	"context"
	"errors"
	"time"
)

// Object is one object of the store.
type Object struct {
	Key string `json:"key"`
	// Version increases with every write of the object and is 1 after the first.
	Version int64 `json:"version"`
	// Generation increases when the store is restored from a backup.
	Generation int64 `json:"generation"`
	// Value is a JSON document of at most MaxValueBytes.
	Value []byte `json:"value"`
}

// MaxValueBytes is the largest value of an object, in bytes.
const MaxValueBytes = 1 << 20

// Errors that the methods of a Store return, wrapped.
var (
	// ErrConflict means that the stored object did not have the expected version;
	// nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrNotFound means that the object does not exist, or that a watch timed out.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that the store could not be reached, answered that it is
	// unavailable, or did not answer a read. The call had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrAmbiguous means that the outcome of a write is unknown.
	ErrAmbiguous = errors.New("store write outcome unknown")
	// ErrRateLimited means that the store's rate limit refused the call.
	ErrRateLimited = errors.New("store rate limit reached")
)

// Store is the object API of the platform. Errors wrap those of this package.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the stored object has version ifVersion; 0 means that the
	// object must not exist. It returns the written object without its value.
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error)
	// List returns the objects whose keys begin with prefix, without their values.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch returns the object once its version differs from afterVersion or its
	// generation has changed. It returns ErrNotFound after wait without a change.
	Watch(ctx context.Context, key string, afterVersion int64, wait time.Duration) (Object, error)
	// Instances returns the platform's list of live and leaving instances, which is
	// updated with a delay.
	Instances(ctx context.Context) ([]Instance, error)
}

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	Role          string `json:"role"`
	Leaving       bool   `json:"leaving"`
}
