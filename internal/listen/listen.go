// Package listen opens listeners and connections with bounded receive buffers.
package listen

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Config returns how to listen for connections with a size of their receive buffers in bytes, 0 for that of the system.
// The kernel takes twice as much.
func Config(receiveBuffer int) *net.ListenConfig {
	return &net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return SetReceiveBuffer(raw, receiveBuffer) }}
}

// SetReceiveBuffer sets the size of the receive buffer of a socket in bytes; 0 leaves that of the system. It must be
// called before the socket is connected, so that the other side is told no larger window: what it sends beyond the
// buffer is dropped and sent again.
func SetReceiveBuffer(raw syscall.RawConn, size int) error {
	if size <= 0 {
		return nil
	}
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	}); controlErr != nil {
		return controlErr
	}
	return err
}
