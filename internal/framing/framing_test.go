package framing

import (
	"io"
	"syscall"
	"testing"

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
