package intake

import (
	"errors"
	"io"
)

const (
	// bodyGrowth is the factor between the buffers into which a body is read one after the other. Each is reserved once
	// the one before it is full, so that a caller holds memory for what it has sent. The last one has the stated length,
	// or the longest that is allowed; all before it take a fifteenth of that.
	bodyGrowth = 16
	// minBodyBuffer is the least size of the first one.
	minBodyBuffer = 4 << 10
)

// FirstBodyBuffer returns the size of the first buffer, from which bodyGrowth leads to just the longest.
func FirstBodyBuffer(longest int64) int64 {
	size := longest
	for size/bodyGrowth >= minBodyBuffer {
		size = (size + bodyGrowth - 1) / bodyGrowth
	}
	return size
}

// ErrNoBodyMemory is returned for a body whose next buffer finds no memory.
var ErrNoBodyMemory = errors.New("no memory for a larger buffer")

// ReadBody reads r to its end into the first buffer for a body that has at most the longest length, and into larger
// ones once it is full. reserve is asked for the difference.
func ReadBody(r io.Reader, longest int64, reserve func(n int) bool) ([]byte, error) {
	body := make([]byte, 0, FirstBodyBuffer(longest))
	var next [1]byte
	for {
		free := body[len(body):cap(body)]
		if len(free) == 0 {
			free = next[:] // a body that ends here needs no larger buffer
		}
		n, err := r.Read(free)
		if n > 0 && len(body) == cap(body) {
			size := min(int64(cap(body))*bodyGrowth, longest)
			if !reserve(int(size) - cap(body)) {
				return nil, ErrNoBodyMemory
			}
			grown := make([]byte, len(body)+1, size)
			copy(grown, body)
			grown[len(body)] = next[0]
			body = grown
		} else {
			body = body[:len(body)+n]
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
