package fake

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and ports are the range of FreeAddress. It ends below the ports that systems give to outgoing connections.
	firstPort = 12000
	ports     = 20000
	// maxDraws is the number of ports that FreeAddress tries.
	maxDraws = 100
)

// FreeAddress returns a loopback address on which nobody listens. No outgoing connection takes its port, so that it is still
// free when a process listens on it later, or again.
func FreeAddress() (string, error) {
	var err error
	for range maxDraws {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(ports)))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, eris.Wrap(listener.Close(), "close the listener")
		}
	}
	return "", eris.Wrap(err, "find a free address")
}
