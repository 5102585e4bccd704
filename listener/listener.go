// Package listener listens for callers and stops without cutting off any of them. When a listener closes, the kernel resets
// the connections that it has established and nobody has accepted yet.
package listener

import (
	"context"
	"net"
	"time"

	"guavahitch.example/guavahitch/wait"
)

// handshakeTime is how long connections whose handshake has begun are still accepted.
const handshakeTime = 200 * time.Millisecond

// Listen listens at a TCP address. It uses plain TCP, since AcceptLast can't filter the packets of multipath sockets.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := &net.ListenConfig{}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp", address)
}

// SetBacklog bounds the connections that are established and that nobody has accepted yet. If the system does not support this, it
// returns an error and the bound of the system remains.
func SetBacklog(l net.Listener, connections int) error { return setBacklog(l, connections) }

// AcceptLast lets no new connections begin and waits, at most until the context ends, until a server that goes on to accept
// has accepted those that have begun. After that the listener can be closed. A caller that connects meanwhile gets no answer
// and tries again. If the system does not support this, AcceptLast returns an error at once.
func AcceptLast(ctx context.Context, l net.Listener) error {
	if err := refuseHandshakes(l); err != nil {
		return err
	}
	wait.For(ctx, handshakeTime)
	return nil
}
