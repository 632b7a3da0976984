package gateway

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against shared memory that is not returned, and against bytes that are lost or exceed the
// limit when the buffer grows.
func TestAnswerBufferReturnsItsMemory(t *testing.T) {
	memory := newBufferMemory()
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("ab"), rapid.IntRange(0, 40_000).Draw(t, "size"))
		limit := rapid.IntRange(1, 64_000).Draw(t, "limit")
		b := answerBuffer{memory: memory}
		ended, err := b.readUpTo(iotest.HalfReader(bytes.NewReader(body)), limit)
		if err != nil {
			t.Fatal(err)
		}
		if ended && !bytes.Equal(b.bytes, body) || !ended && !bytes.Equal(b.bytes, body[:limit]) {
			t.Fatalf("read %d of %d bytes, limit %d, ended %v", len(b.bytes), len(body), limit, ended)
		}
		if used := cap(b.bytes) - ownBufferBytes; int64(used) > b.taken {
			t.Fatalf("buffer of %d bytes took %d", cap(b.bytes), b.taken)
		}
		b.reset()
	})
	assert.Assert(t, memory.free.TryAcquire(sharedBufferBytes))
	memory.free.Release(sharedBufferBytes)
}

// Guards against a small answer that fails because large ones use the shared memory.
func TestSmallAnswerNeedsNoSharedMemory(t *testing.T) {
	memory := newBufferMemory()
	assert.Assert(t, memory.free.TryAcquire(sharedBufferBytes))
	b := answerBuffer{memory: memory}
	ended, err := b.readUpTo(bytes.NewReader(make([]byte, ownBufferBytes-minReadBytes)), 1<<20)
	assert.NilError(t, err)
	assert.Assert(t, ended)
	assert.Assert(t, !b.append(make([]byte, ownBufferBytes)))
	// What does not fit is read on by the caller.
	large := answerBuffer{memory: memory}
	r := bytes.NewReader(make([]byte, 4*ownBufferBytes))
	ended, err = large.readUpTo(r, 1<<20)
	assert.NilError(t, err)
	assert.Assert(t, !ended)
	rest, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Equal(t, len(large.bytes)+len(rest), 4*ownBufferBytes)
}

// Guards against shared memory that is taken twice for one event, so that 400 callers that read events a
// little larger than the own memory of an answer lose answers that are ready.
func TestTakenMemoryIsUsed(t *testing.T) {
	memory := newBufferMemory()
	for n := range 400 {
		b := answerBuffer{memory: memory}
		for _, size := range []int{6, readBufferBytes, readBufferBytes, 8} {
			assert.Assert(t, b.append(make([]byte, size)), "answer %d has no memory", n)
		}
	}
}
