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
			assert.Equal(t, Ending{Framing: f, Err: io.EOF}.Complete(), true)
			assert.Equal(t, Ending{Framing: f, IsStream: true, Events: 2}.Complete(), true)
			assert.Equal(t, Ending{Framing: f, IsStream: true, Events: 2, TailBytes: 1}.Complete(), false)
			assert.Equal(t, Ending{Framing: f, IsStream: true}.Complete(), f != CloseDelimited)
			for _, err := range []error{io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ETIMEDOUT} {
				assert.Equal(t, Ending{Framing: f, Err: err}.Complete(), false)
				assert.Equal(t, Ending{Framing: f, Err: err, IsStream: true, Events: 2}.Complete(), false)
			}
		})
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
