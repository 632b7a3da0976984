// Package listen opens listeners whose connections have bounded receive buffers.
package listen

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Config returns how to listen for connections with a size of their receive buffers in bytes, 0 for that of the system.
// The kernel takes twice as much.
func Config(receiveBuffer int) *net.ListenConfig {
	config := &net.ListenConfig{}
	if receiveBuffer <= 0 {
		return config
	}
	// Set before a connection is opened, so that its other side is told no larger window.
	config.Control = func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}
	return config
}
