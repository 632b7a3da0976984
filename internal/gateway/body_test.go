package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/overload"
)

// Guards against bodies without a length that take more memory than is reserved for the longest one: a buffer that
// doubled its room took 8 MiB for 4 MiB, and 16 MiB with all buffers before it.
func TestBodyTakesWhatIsReserved(t *testing.T) {
	for _, longest := range []int64{1, 4095, 1 << 20, 4 << 20, 5_000_001} {
		for _, length := range []int64{0, 1, longest / 16, longest/16 + 1, longest / 2, longest - 1, longest} {
			raw := bytes.Repeat([]byte("ab"), int(length+1)/2)[:length]
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			body, err := readGrowing(bytes.NewReader(raw), firstBodyBuffer(longest), longest)
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
		body, err := readGrowing(r, 16, 1<<20)
		assert.NilError(t, err, name)
		assert.Assert(t, bytes.Equal(body, raw), name)
	}
	broken := errors.New("broken")
	_, err := readGrowing(io.MultiReader(bytes.NewReader(raw), iotest.ErrReader(broken)), 16, 1<<20)
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
				own := &reservation{g, overload.Request{BodyBytes: longest, Tolerance: time.Hour}}
				assert.Equal(t, g.guard.Admit(0, own.request).Reason, overload.Admitted)
				if isFull {
					for g.guard.Admit(0, overload.Request{Tolerance: time.Hour}).Reason == overload.Admitted {
					}
				}
				others := g.load().RequestBytes - longest
				body, err := readGrowing(bytes.NewReader(make([]byte, length)), firstBodyBuffer(longest), longest)
				assert.NilError(t, err)
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
