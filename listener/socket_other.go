//go:build !linux

package listener

import (
	"net"

	"github.com/rotisserie/eris"
)

// setBacklog is not supported on this system.
func setBacklog(net.Listener, int) error { return eris.New("not supported on this system") }

// refuseHandshakes is not supported on this system.
func refuseHandshakes(net.Listener) error { return eris.New("not supported on this system") }
