package callerapi

import (
	"net/http"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/intake"
	"github.com/borageflow/borageflow/internal/overload"
)

// Memory grants the memory of requests.
type Memory interface {
	// Admit reserves memory for a request before its body is read.
	Admit(r overload.Request) (Reservation, *errkind.Error)
}

// Reservation is the memory of one request, from its head to the end of its answer.
type Reservation interface {
	// Extend reserves n more bytes for the body and reports whether there is memory for them.
	Extend(n int) bool
	// Release returns the memory.
	Release()
}

// bodyCopies is how often a request holds its body: as it was read, as it was parsed, and as it is sent to a sidecar.
const bodyCopies = 3

// admit reserves memory for a request and the first buffer of its body. A stated length must have room.
func (h *handler) admit(r *http.Request) (Reservation, *errkind.Error) {
	if h.options.Memory == nil {
		return unbounded{}, nil
	}
	longest := h.options.MaxBodyBytes
	if r.ContentLength < 0 {
		return h.options.Memory.Admit(overload.Request{BodyBytes: bodyCopies * intake.FirstBodyBuffer(longest)})
	}
	stated := min(r.ContentLength, longest) // a longer one is refused
	return h.options.Memory.Admit(overload.Request{BodyBytes: bodyCopies * intake.FirstBodyBuffer(stated), StatedBytes: bodyCopies * stated})
}

// unbounded is the reservation where nothing is bounded.
type unbounded struct{}

func (unbounded) Extend(int) bool { return true }
func (unbounded) Release()        {}
