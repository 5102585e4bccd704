package fake

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and ports are the range of FreeAddress. It ends below the ports that systems give to outgoing connections.
	firstPort = 12000
	ports     = 20000
	// maxDraws is the number of ports that FreeAddress tries.
	maxDraws = 100
	// reservingHost is the loopback host at which a process listens for as long as a port is its own.
	reservingHost = "127.0.0.2"
)

// reservations holds the listeners of the ports that FreeAddress has returned, since a listener that is not referenced closes.
var reservations struct {
	mutex     sync.Mutex
	listeners []net.Listener
}

// FreeAddress returns a loopback address on which nobody listens. No outgoing connection takes its port, and no other call
// returns it, in this process or another, until this process ends. So it is still free when a process listens on it later,
// or again.
func FreeAddress() (string, error) {
	var err error
	for range maxDraws {
		port := strconv.Itoa(firstPort + rand.IntN(ports))
		var address string
		if address, err = reserve(port); err == nil {
			return address, nil
		}
	}
	return "", eris.Wrap(err, "find a free address")
}

// reserve makes a port the process's own and returns its address. It fails if another process has reserved the port, or if
// something listens at the address.
func reserve(port string) (string, error) {
	reservation, err := net.Listen("tcp", net.JoinHostPort(reservingHost, port))
	if err != nil {
		return "", err
	}
	address := net.JoinHostPort("127.0.0.1", port)
	probe, err := net.Listen("tcp", address)
	if err != nil {
		_ = reservation.Close()
		return "", err
	}
	reservations.mutex.Lock()
	defer reservations.mutex.Unlock()
	reservations.listeners = append(reservations.listeners, reservation)
	return address, probe.Close()
}
