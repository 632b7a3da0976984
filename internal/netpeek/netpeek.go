// Package netpeek looks at what has arrived on a connection without reading it.
package netpeek

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what can be seen of a connection that nobody reads at the moment.
type State int

// The states.
const (
	// Unknown means that the connection cannot be looked at.
	Unknown State = iota
	// Quiet means that nothing has arrived that was not read.
	Quiet
	// Readable means that bytes have arrived.
	Readable
	// Ended means that the other side has closed or reset the connection.
	Ended
)

// Look returns the state of a connection.
func Look(c net.Conn) State {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = Quiet
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Ended
	}
	return state
}

// tcpClosed is the state of a TCP connection that was reset, TCP_CLOSE in Linux. One that the other side alone has
// closed in order is in another state.
const tcpClosed = 7

// IsReset reports whether the other side has reset the connection, also after it had closed it in order. It is true if
// the connection was closed on this side.
func IsReset(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(tcpClosed)
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err != nil || state == tcpClosed
}
