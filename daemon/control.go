package daemon

import (
	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/wire"
)

type controlRole struct {
	server *control.Server
}

func (p *Process) addControl() error {
	r := &controlRole{server: control.NewLocalServer(p.settings.Name, inventory.Check)}
	p.control = r
	p.inner.add(wire.NewControlServer(r.server))
	p.add(r.server.Run)
	return nil
}

// ControlServer returns the server of the control role.
func (p *Process) ControlServer() *control.Server { return p.control.server }
