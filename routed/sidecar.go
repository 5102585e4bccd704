package routed

import (
	"context"
	"net"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/lockstep"
	"guavahitch.example/guavahitch/wire"
)

// maxOrderBytes bounds a message with an order, whose largest part is an expert map.
const maxOrderBytes = 8 << 20

// SidecarSettings configures a Sidecar.
type SidecarSettings struct {
	// InternalListen is the address for the control replicas.
	InternalListen string
	// Engine reads and controls the engine on the same instance.
	Engine lockstep.Sidecar
	// Resources is what the process may use.
	Resources Resources
	Log       *logrus.Entry
}

// Sidecar is a process on the instance of a rank. It passes reads and orders of coordinators to the engine there.
type Sidecar struct{ settings SidecarSettings }

// NewSidecar returns a sidecar, which Run starts.
func NewSidecar(settings SidecarSettings) *Sidecar { return &Sidecar{settings: settings} }

// Run serves until the context ends.
func (s *Sidecar) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.settings.InternalListen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", s.settings.InternalListen)
	}
	account := s.settings.Resources.internal()
	server := limit.NewServer(limit.ServerSettings{
		Handler: limit.Buffer(wire.NewLockstepServer(s.settings.Engine), account, maxOrderBytes), Account: account,
	})
	stopped, cancel := context.WithCancel(ctx)
	group := &run.Group{}
	group.Add(func() error { return ignoreServerClosed(server.Serve(listener)) }, func(error) { _ = server.Close() })
	group.Add(func() error {
		<-stopped.Done()
		return nil
	}, func(error) { cancel() })
	s.settings.Log.WithField("listen", s.settings.InternalListen).Info("started")
	err = group.Run()
	s.settings.Log.Info("stopped")
	return err
}
