package platform

import (
	"errors"
	"fmt"
	"time"
)

// ErrRefused means that the store refused the call permanently, for example because
// of the token or the size of the value. Nothing was written.
var ErrRefused = errors.New("store refused the call")

// ConflictError is an ErrConflict with the object that the store holds.
type ConflictError struct {
	// Stored is the stored object without its value; version 0 means that there is
	// none.
	Stored Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: stored object %q has version %d and generation %d",
		ErrConflict, e.Stored.Key, e.Stored.Version, e.Stored.Generation)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// RateLimitError is an ErrRateLimited with the retry delay that the store advised.
type RateLimitError struct {
	// RetryAfter is the delay before the next call; 0 means that the store gave none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrRateLimited, e.RetryAfter)
}

// Unwrap returns ErrRateLimited.
func (e *RateLimitError) Unwrap() error { return ErrRateLimited }
