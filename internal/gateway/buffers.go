package gateway

import (
	"io"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

const (
	// ownBufferBytes is the memory that each answer may use for what is read of it and not sent
	// yet: an event, or the body of a plain answer.
	ownBufferBytes = 8 << 10
	// sharedBufferBytes is the memory that all answers of a process share beyond that.
	sharedBufferBytes = 4 << 20
	// minBufferGrowth is the least memory that is taken at a time.
	minBufferGrowth = 8 << 10
)

// errNoBufferMemory is returned for an event that needs more than its own memory while the shared
// memory is used up.
var errNoBufferMemory = eris.New("memory for large events is used up")

// bufferMemory is the shared memory for answers in flight.
type bufferMemory struct{ free *semaphore.Weighted }

func newBufferMemory() bufferMemory { return bufferMemory{semaphore.NewWeighted(sharedBufferBytes)} }

// answerBuffer holds what is read of one answer. It grows beyond ownBufferBytes while shared memory
// is free.
type answerBuffer struct {
	memory bufferMemory
	bytes  []byte
	// taken is the shared memory that the buffer uses.
	taken int64
}

// grow makes room for n more bytes and reports whether there is memory for them.
func (b *answerBuffer) grow(n int) bool {
	needed := len(b.bytes) + n
	if needed <= cap(b.bytes) {
		return true
	}
	size := max(needed, 2*cap(b.bytes))
	if needed <= ownBufferBytes {
		size = min(size, ownBufferBytes)
	}
	if extra := int64(size - ownBufferBytes); extra > b.taken {
		more := max(extra-b.taken, minBufferGrowth)
		if !b.memory.free.TryAcquire(more) {
			return false
		}
		b.taken += more
	}
	if b.taken > 0 {
		size = ownBufferBytes + int(b.taken) // all that is taken, so that it is not taken again
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

// append adds p and reports whether there was memory for it.
func (b *answerBuffer) append(p []byte) bool {
	if !b.grow(len(p)) {
		return false
	}
	b.bytes = append(b.bytes, p...)
	return true
}

// readUpTo reads from r until its end, until the buffer holds limit bytes or until there is no
// memory for more. It reports whether r ended.
func (b *answerBuffer) readUpTo(r io.Reader, limit int) (ended bool, err error) {
	for len(b.bytes) < limit && b.grow(min(minReadBytes, limit-len(b.bytes))) {
		n, err := r.Read(b.bytes[len(b.bytes):min(cap(b.bytes), limit)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// minReadBytes is the least free room for one read.
const minReadBytes = 512

// reset empties the buffer and returns its shared memory.
func (b *answerBuffer) reset() {
	b.bytes = b.bytes[:0]
	if b.taken > 0 {
		b.memory.free.Release(b.taken)
		b.bytes, b.taken = nil, 0
	}
}
