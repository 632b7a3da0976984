package peer

import (
	"encoding/binary"
	"net"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a peer that takes memory by the stated length of messages that it never sends.
func TestStatedLengthTakesNoMemory(t *testing.T) {
	const links = 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range links {
		local, remote := net.Pipe()
		t.Cleanup(func() { _ = local.Close(); _ = remote.Close() })
		s := newStream(local, &Counters{})
		go func() {
			var v any
			_ = s.ReadObject(&v)
		}()
		length := binary.BigEndian.AppendUint32(nil, maxMessageBytes)
		_, err := remote.Write(append(length, "{"...))
		assert.NilError(t, err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.HeapAlloc < before.HeapAlloc+maxMessageBytes, "%d kB for %d links", (after.HeapAlloc-before.HeapAlloc)>>10, links)
}
