package framing

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

// Guards against an answer that was broken off and counts as complete.
func TestComplete(t *testing.T) {
	for _, f := range []Framing{CloseDelimited, ContentLength, Chunked} {
		t.Run(f.String(), func(t *testing.T) {
			for _, lives := range []bool{false, true} {
				isKnown := lives || f != CloseDelimited
				assert.Equal(t, Ending{Framing: f, Err: io.EOF, SenderLives: lives}.Complete(), isKnown)
				assert.Equal(t, Ending{Framing: f, IsStream: true, Events: 2, SenderLives: lives}.Complete(), isKnown)
				assert.Equal(t, Ending{Framing: f, IsStream: true, Events: 2, TailBytes: 1, SenderLives: lives}.Complete(), false)
				assert.Equal(t, Ending{Framing: f, IsStream: true, SenderLives: lives}.Complete(), f != CloseDelimited)
				for _, err := range []error{io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ETIMEDOUT} {
					assert.Equal(t, Ending{Framing: f, Err: err, SenderLives: lives}.Complete(), false)
					assert.Equal(t, Ending{Framing: f, Err: err, IsStream: true, Events: 2, SenderLives: lives}.Complete(), false)
				}
			}
		})
	}
}

// Guards against a look at the worker of each answer, and against none at that of an answer whose end is not marked.
func TestIsUnmarked(t *testing.T) {
	for _, f := range []Framing{CloseDelimited, ContentLength, Chunked} {
		assert.Equal(t, Ending{Framing: f, Err: io.EOF}.IsUnmarked(), f == CloseDelimited)
		assert.Equal(t, Ending{Framing: f, IsStream: true, Events: 2}.IsUnmarked(), f == CloseDelimited)
		for _, e := range []Ending{
			{Framing: f, IsStream: true}, {Framing: f, IsStream: true, Events: 2, TailBytes: 1}, {Framing: f, Err: io.ErrUnexpectedEOF},
		} {
			assert.Equal(t, e.IsUnmarked(), false, "%v", e)
		}
	}
}

// Guards against a broken connection that counts as a spoiled answer, and the reverse.
func TestIsNoAnswer(t *testing.T) {
	broken := []error{nil, io.EOF, io.ErrUnexpectedEOF, &net.OpError{Op: "read", Err: syscall.ECONNRESET}, &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}}
	for _, err := range broken {
		assert.Equal(t, IsNoAnswer(err), false, "%v", err)
	}
	_, malformed := http.ReadResponse(bufio.NewReader(strings.NewReader("garbage\r\n\r\n")), nil)
	for _, err := range []error{ErrHeadTooLarge, ErrTooManyFields, malformed} {
		assert.Equal(t, IsNoAnswer(eris.Wrap(err, "answer cannot be read")), true, "%v", err)
	}
}

// Guards against a part that counts as whole because its sender closed the connection before it had read the request.
func TestUnreadRequestLeavesUnmarkedEndOpen(t *testing.T) {
	for _, f := range []Framing{CloseDelimited, ContentLength, Chunked} {
		for _, e := range []Ending{{Framing: f, SenderLives: true, RequestUnread: true}, {Framing: f, IsStream: true, Events: 2, SenderLives: true, RequestUnread: true}} {
			assert.Equal(t, e.Complete(), f != CloseDelimited)
		}
	}
	e := Ending{Framing: CloseDelimited, SenderLives: true, RequestUnread: true}
	assert.Equal(t, CauseOf(e.Why()), BrokenOff)
}

// Guards against a status that is none of an answer.
func TestStatuses(t *testing.T) {
	for _, status := range []int{-1, 0, 1, 20, 99, 101, 600, 999} {
		assert.Assert(t, !IsInterim(status) && !IsFinal(status), "%d", status)
	}
	assert.Assert(t, IsInterim(100) && IsInterim(103) && IsInterim(199))
	assert.Assert(t, IsFinal(200) && IsFinal(599))
	assert.Equal(t, CauseOf(eris.Wrap(ErrNoStatus, "answer cannot be read")), NoAnswer)
}
