package platform

import (
	"errors"
	"fmt"
	"time"
)

// ErrRefused means the store refused the call for good, for example because of
// the token or the size of the value; nothing was written.
var ErrRefused = errors.New("store refused the call")

// ConflictError is an ErrConflict that names the present object.
type ConflictError struct {
	// Present is the object as it is, without its value; version 0 means absent.
	Present Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %q is at version %d of generation %d",
		ErrConflict, e.Present.Key, e.Present.Version, e.Present.Generation)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// RateLimitError is an ErrRateLimited with the store's advice.
type RateLimitError struct {
	// RetryAfter is when to call again; 0 means no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrRateLimited, e.RetryAfter)
}

// Unwrap returns ErrRateLimited.
func (e *RateLimitError) Unwrap() error { return ErrRateLimited }
