package peer

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// linkStateHandler reads the state of the link in each call before it responds, as
// the sidecar does for a probe.
type linkStateHandler struct{ recorder }

// Serve implements Handler.
func (h *linkStateHandler) Serve(link *Link, call *Call) {
	select {
	case <-link.Done():
	default:
	}
	call.Respond(api.ProbeResult{})
}

// Guards against handling a message before the connection of its link is set. A
// peer that sent its first call directly after hello crashed the process.
func TestFirstCallFindsACompleteLink(t *testing.T) {
	hello := func() api.Hello { return api.Hello{Member: api.Member{Instance: "server", Incarnation: 1}} }
	n := NewNode(Options{Handler: &linkStateHandler{}, Local: hello})
	address, err := n.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(n.Close)
	var frames []byte
	for _, body := range []string{
		`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"member":{"instance":"client","incarnation":1,"state":"ready","role":"entry"},"revision":{"generation":0,"version":0}}}`,
		`{"jsonrpc":"2.0","id":2,"method":"probe","params":{}}`,
	} {
		frames = binary.BigEndian.AppendUint32(frames, uint32(len(body)))
		frames = append(frames, body...)
	}
	for range 100 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = conn.Write(frames)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = conn.Read(make([]byte, 1024))
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
}
