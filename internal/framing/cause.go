package framing

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// MaxEventBytes is the largest accepted event of a stream.
const MaxEventBytes = 1 << 20

// Errors of streams.
var (
	// ErrEventTooLarge is returned for an event larger than MaxEventBytes.
	ErrEventTooLarge = eris.Errorf("event of a stream is larger than %d bytes", MaxEventBytes)
	// ErrInsideEvent is the error of a stream that ended after a part of an event, or with its
	// connection before the first one.
	ErrInsideEvent = eris.New("stream ended inside an event")
	// ErrStalled is returned when nothing arrived before a deadline.
	ErrStalled = eris.New("no event of the stream arrived before its deadline")
	// ErrSenderEnded is the error of an answer that ended with its connection and whose sender was not seen alive.
	ErrSenderEnded = eris.New("answer ended with its connection, and so did its worker")
	// ErrRequestUnread is the error of an answer that ended with its connection before its sender had read the request.
	ErrRequestUnread = eris.Wrap(io.ErrUnexpectedEOF, "answer ended with its connection before the request was read")
	// ErrNoStatus is the error of an answer whose status is none.
	ErrNoStatus = eris.New("answer has no valid status")
	// ErrNotContinued is the error of an answer to a resumption that does not continue the stream.
	ErrNotContinued = eris.New("answer does not continue the stream that broke off")
)

// Cause is why an answer is not whole. The list is closed.
type Cause string

const (
	// BrokenOff answers ended with a closed or reset connection.
	BrokenOff Cause = "broken_off"
	// InsideEvent answers are streams that ended within an event.
	InsideEvent Cause = "inside_event"
	// Silent workers sent nothing for too long.
	Silent Cause = "silent"
	// OverBound answers exceed a bound.
	OverBound Cause = "over_bound"
	// NoAnswer is bytes that are no answer.
	NoAnswer Cause = "no_answer"
	// NotContinued answers do not continue the stream that they were asked to resume.
	NotContinued Cause = "not_continued"
	// OutOfTime answers were still awaited when the time of their request was over.
	OutOfTime Cause = "out_of_time"
)

// Causes lists every Cause.
var Causes = []Cause{BrokenOff, InsideEvent, Silent, OverBound, NoAnswer, NotContinued, OutOfTime}

// IsInterim reports whether a status announces that the answer follows. A switch of protocols announces none.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsFinal reports whether a status is that of an answer.
func IsFinal(status int) bool { return status >= http.StatusOK && status < 600 }

// CauseOf returns the cause that an error of reading an answer stands for.
func CauseOf(err error) Cause {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, ErrInsideEvent):
		return InsideEvent
	case errors.Is(err, ErrStalled), errors.As(err, &timeout) && timeout.Timeout():
		return Silent
	case errors.Is(err, ErrHeadTooLarge), errors.Is(err, ErrTooManyFields), errors.Is(err, ErrEventTooLarge):
		return OverBound
	case errors.Is(err, ErrNotContinued):
		return NotContinued
	case IsNoAnswer(err):
		return NoAnswer
	}
	return BrokenOff
}
