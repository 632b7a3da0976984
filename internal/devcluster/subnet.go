package devcluster

import (
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// The subnets that FreeSubnet tries. Those below belong to the tests of test/e2e
// and to deployments that are started by hand.
const (
	firstSubnet = 110
	lastSubnet  = 255
)

// FreeSubnet returns a number n for which no deployment runs on the
// addresses 127.n.0.x. The search starts at seed, so that processes with different
// seeds, such as their identifiers, rarely try the same number.
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
	return 0, eris.New("every loopback subnet is in use")
}
