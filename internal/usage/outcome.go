package usage

import (
	"errors"

	"github.com/borageflow/borageflow/internal/platform"
)

// KeyPrefix is the prefix of the store keys of all usage batches. The incarnation of the
// writer and the sequence number of the batch follow.
const KeyPrefix = "usage/"

// WriteOutcomeFromError returns the outcome of a write for the error that the store
// returned; nil means WriteSucceeded.
func WriteOutcomeFromError(err error) WriteOutcome {
	switch {
	case err == nil:
		return WriteSucceeded
	case errors.Is(err, platform.ErrConflict):
		return WriteConflict
	case errors.Is(err, platform.ErrAmbiguous):
		return WriteAmbiguous
	default:
		return WriteFailed
	}
}
