package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/intake"
	"github.com/borageflow/borageflow/internal/overload"
)

// always grants memory.
func always(int) bool { return true }

// Guards against bodies without a length that take more memory than is reserved for the longest one: a buffer that
// doubled its room took 8 MiB for 4 MiB, and 16 MiB with all buffers before it.
func TestBodyTakesWhatIsReserved(t *testing.T) {
	for _, longest := range []int64{1, 4095, 1 << 20, 4 << 20, 5_000_001} {
		for _, length := range []int64{0, 1, longest / 16, longest/16 + 1, longest / 2, longest - 1, longest} {
			raw := bytes.Repeat([]byte("ab"), int(length+1)/2)[:length]
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			body, err := intake.ReadBody(bytes.NewReader(raw), longest, always)
			runtime.ReadMemStats(&after)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(body, raw), "%d of %d bytes", length, longest)
			const others = 64 << 10 // what the rest of the process allocates meanwhile
			taken := int64(after.TotalAlloc - before.TotalAlloc)
			assert.Assert(t, taken <= longest+longest/10+others, "%d bytes for %d of %d", taken, length, longest)
		}
	}
}

// Guards against a body that is changed by readers which return few bytes at a time, or bytes and the end together,
// and against an error that counts as the end.
func TestBodyIsReadWholeInPieces(t *testing.T) {
	raw := []byte(strings.Repeat("0123456789", 1700))
	for name, r := range map[string]io.Reader{
		"bytes": iotest.OneByteReader(bytes.NewReader(raw)), "halves": iotest.HalfReader(bytes.NewReader(raw)),
		"end with bytes": iotest.DataErrReader(bytes.NewReader(raw)),
	} {
		body, err := intake.ReadBody(r, 1<<20, always)
		assert.NilError(t, err, name)
		assert.Assert(t, bytes.Equal(body, raw), name)
	}
	broken := errors.New("broken")
	_, err := intake.ReadBody(io.MultiReader(bytes.NewReader(raw), iotest.ErrReader(broken)), 1<<20, always)
	assert.Assert(t, errors.Is(err, broken))
}

// Guards against a reservation that differs from what the body takes by more than a tenth, also where there is no
// memory to copy it, and against memory that stays reserved.
func TestReservationIsWhatBodyTakes(t *testing.T) {
	const longest = 4 << 20
	for _, isFull := range []bool{false, true} {
		for _, length := range []int{100, 9000, 110_000, longest / 2, longest - longest/20, longest} {
			t.Run(fmt.Sprintf("%d/full=%t", length, isFull), func(t *testing.T) {
				g := &overloadGuard{guard: overload.NewGuard(overload.Limits{MemoryBytes: 284e6})}
				first := intake.FirstBodyBuffer(longest)
				own := &reservation{g, overload.Request{BodyBytes: first, Tolerance: time.Hour}}
				assert.Equal(t, g.guard.Admit(0, own.request).Reason, overload.Admitted)
				others := g.load().RequestBytes - first
				body, err := intake.ReadBody(bytes.NewReader(make([]byte, length)), longest, own.extend)
				assert.NilError(t, err)
				if isFull {
					before := g.load().RequestBytes
					for g.guard.Admit(0, overload.Request{Tolerance: time.Hour}).Reason == overload.Admitted {
					}
					others += g.load().RequestBytes - before
				}
				body = fitBody(body, own)
				assert.Equal(t, len(body), length)
				reserved := g.load().RequestBytes - others
				assert.Assert(t, reserved >= int64(cap(body)), "%d reserved, %d taken", reserved, cap(body))
				assert.Assert(t, reserved <= longest && 10*reserved <= 11*int64(cap(body)), "%d reserved, %d taken", reserved, cap(body))
				if !isFull {
					assert.Assert(t, 10*reserved <= 11*int64(length), "%d reserved for %d", reserved, length)
				}
				own.release()
				assert.Assert(t, g.load().RequestBytes < others, "the request's memory stays reserved")
			})
		}
	}
}

// Guards against memory that is reserved for the longest body while a caller sends little of it: 300 callers that send
// chunks slowly kept ordinary requests out of an instance of 136 MB, and so did 12 that state a long body.
func TestBodyReservesWhatHasArrived(t *testing.T) {
	const longest = 4 << 20
	limits := forward.ClientLimits{BodyBytes: longest}
	for _, stated := range []int64{-1, longest} {
		g := &overloadGuard{guard: overload.NewGuard(overload.Limits{MemoryBytes: 136e6})}
		for n := range 300 {
			r := bodyRequest(&http.Request{ContentLength: stated}, limits)
			assert.Equal(t, g.guard.Admit(0, r).Reason, overload.Admitted, "request %d with length %d", n, stated)
			slow := &reservation{g, r}
			sent := io.LimitReader(iotest.OneByteReader(bytes.NewReader(make([]byte, longest))), 1000)
			_, err := intake.ReadBody(sent, longest, slow.extend)
			assert.NilError(t, err)
		}
		ordinary := bodyRequest(&http.Request{ContentLength: 10_000}, limits)
		assert.Equal(t, g.guard.Admit(0, ordinary).Reason, overload.Admitted)
	}
}

// Guards against a body that goes on growing without memory for it.
func TestBodyEndsWithoutMemory(t *testing.T) {
	_, err := intake.ReadBody(bytes.NewReader(make([]byte, 1<<20)), 1<<20, func(int) bool { return false })
	assert.ErrorIs(t, err, intake.ErrNoBodyMemory)
}
