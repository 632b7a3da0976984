package intake

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/overload"
)

const (
	// refusalTime bounds the time in which a refused caller can read its refusal: a connection that is closed with
	// unread bytes is reset, and what was written to it may be lost.
	refusalTime = 500 * time.Millisecond
	// maxDiscardedBytes bounds what is read of a refused caller meanwhile. The rest stays unread.
	maxDiscardedBytes = 1 << 20
)

// refuse answers a head that is not passed on, and reads on for a moment so that the caller can read the answer. The
// connection ends with it. Nothing of the request has reached a worker.
func (c *conn) refuse(refusal *errkind.Error, scratch []byte) {
	c.isRefused = true
	c.raw, c.delivered = nil, 0
	c.hasPart.Store(false)
	if err := c.reserve(0); err != nil {
		return // less memory is always granted
	}
	c.listener.options.OnRefuse(refusal)
	c.listener.wait(c, overload.Refused)
	if _, err := c.Write(refusalText(refusal)); err != nil || c.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(refusalTime)
	c.timeout.set(refusalTime)
	if c.applyDeadline() != nil {
		return
	}
	for discarded := 0; discarded < maxDiscardedBytes; {
		n, err := c.Conn.Read(scratch)
		if err != nil {
			return
		}
		discarded += n
	}
	time.Sleep(time.Until(end))
}

// refusalText returns the answer to a request that net/http does not see.
func refusalText(e *errkind.Error) []byte {
	status := errkind.Lookup(e.Kind).HTTPStatus
	body := string(e.Kind) + ": " + e.Message + "\n"
	retry := ""
	if e.RetryAfter > 0 {
		retry = "Retry-After: " + strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', -1, 64) + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), retry, len(body), body)
}
