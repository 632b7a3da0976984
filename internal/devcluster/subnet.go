package devcluster

import (
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// Range of the subnets that FreeSubnet tries. Lower ones are left to the tests in test/e2e
// and to deployments that are started manually.
const (
	firstSubnet = 110
	lastSubnet  = 255
)

// FreeSubnet returns a number n such that no deployment runs on the addresses 127.n.0.x.
// The search starts at an offset given by seed, so that processes with different seeds,
// such as their process IDs, rarely try the same number. It returns an error when every
// subnet of the range is in use.
func FreeSubnet(seed int) (byte, error) {
	const count = lastSubnet - firstSubnet + 1
	for i := range count {
		n := byte(firstSubnet + (seed+i)%count)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, CallerPort))
		if err != nil {
			continue
		}
		return n, listener.Close()
	}
	return 0, eris.New("every loopback subnet from 127.110 to 127.255 is in use")
}
