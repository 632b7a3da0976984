package gateway

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/intake"
	"github.com/borageflow/borageflow/internal/overload"
)

const (
	// defaultMaxBodyBytes applies when the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodySlack is the part of a body, as a divisor, that its buffer may be larger.
	bodySlack = 10
)

// maxBodyBytes returns the longest body that the configuration allows.
func maxBodyBytes(limits forward.ClientLimits) int64 {
	if limits.BodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return limits.BodyBytes
}

// bodyRequest returns what is to be reserved for the body of a request before it is read.
func bodyRequest(req *http.Request, limits forward.ClientLimits) overload.Request {
	longest := maxBodyBytes(limits)
	if req.ContentLength < 0 {
		return overload.Request{BodyBytes: intake.FirstBodyBuffer(longest)}
	}
	stated := min(req.ContentLength, longest) // a longer one is refused
	return overload.Request{BodyBytes: intake.FirstBodyBuffer(stated), StatedBytes: stated}
}

// readLimitedBody checks the size of the header and reads the body within the limits of
// the configuration and until the deadline of the request. From then on memory is what the body takes.
func readLimitedBody(w http.ResponseWriter, req *http.Request, limits forward.ClientLimits, deadline time.Time, memory *reservation) ([]byte, *errkind.Error) {
	if limits.HeaderBytes > 0 && headerSize(req.Header) > limits.HeaderBytes {
		return nil, errkind.New(errkind.HeaderTooLarge, "request header is larger than "+strconv.Itoa(limits.HeaderBytes)+" bytes")
	}
	if req.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, errkind.New(errkind.Internal, "read deadline of the body cannot be set: "+err.Error())
	}
	body, refusal := readBody(w, req, maxBodyBytes(limits), memory)
	if refusal != nil {
		return nil, refusal // keep the read deadline: net/http reads on after an error
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "connection was closed after the body: "+err.Error())
	}
	return fitBody(body, memory), nil
}

// headerSize returns the length of the header lines in bytes. The Host line is not
// included because net/http removes it.
func headerSize(header http.Header) int {
	n := 0
	for name, values := range header {
		for _, value := range values {
			n += len(name) + len(": \r\n") + len(value)
		}
	}
	return n
}

func readBody(w http.ResponseWriter, req *http.Request, maxBytes int64, memory *reservation) ([]byte, *errkind.Error) {
	if req.ContentLength > maxBytes {
		return nil, errkind.New(errkind.PayloadTooLarge, "request body is larger than "+strconv.FormatInt(maxBytes, 10)+" bytes")
	}
	longest := maxBytes
	if req.ContentLength >= 0 {
		longest = req.ContentLength
	}
	body, err := intake.ReadBody(http.MaxBytesReader(w, req.Body, maxBytes), longest, memory.extend)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, intake.ErrNoBodyMemory):
		return nil, errkind.New(errkind.Overloaded, "instance has no memory for the rest of the body").WithRetryAfter(overload.MaxRetryAfter)
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.PayloadTooLarge, "request body is larger than "+strconv.FormatInt(maxBytes, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errkind.New(errkind.InvalidRequest, "request body did not end within the time limit")
	case err != nil:
		return nil, errkind.New(errkind.InvalidRequest, "request body ended early")
	}
	return body, nil
}

// fitBody copies a body into memory of its length if its buffer is larger by more than bodySlack and there is memory for
// both. It settles the reservation for what is kept.
func fitBody(body []byte, memory *reservation) []byte {
	if cap(body)-len(body) > len(body)/bodySlack && memory.extend(len(body)) {
		fitted := make([]byte, len(body))
		copy(fitted, body)
		body = fitted
	}
	memory.settle(cap(body))
	return body
}
