package usage

import (
	"errors"

	"github.com/borageflow/borageflow/internal/platform"
)

// KeyPrefix is the prefix of the store keys of all usage batches. The incarnation of the
// writer and the sequence number of the batch follow.
const KeyPrefix = "usage/"

// WriteOutcomeFromError returns the outcome of a write for the error that the store returned; nil
// means Written.
func WriteOutcomeFromError(err error) WriteOutcome {
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
