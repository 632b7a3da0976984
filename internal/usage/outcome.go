package usage

import (
	"errors"

	"github.com/borageflow/borageflow/internal/platform"
)

// Prefix is the prefix of the keys of all batches.
const Prefix = "usage/"

// OutcomeOf returns the outcome of a write from the store's error; nil is success.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Written
	case errors.Is(err, platform.ErrConflict):
		return Conflict
	case errors.Is(err, platform.ErrAmbiguous):
		return Ambiguous
	default:
		return Failed
	}
}
