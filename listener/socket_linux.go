package listener

import (
	"net"
	"os"
	"syscall"
	"unsafe"

	"github.com/rotisserie/eris"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// tcpFlagsOffset is the offset of the flags in a TCP header.
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	tcpFlagACK     = 0x10
)

// refuseHandshakes makes the kernel drop the packets that begin new connections to a listener. Connections whose handshake has
// begun are still established and accepted.
func refuseHandshakes(listener net.Listener) error {
	filter, err := handshakeFilter()
	if err != nil {
		return err
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: (*unix.SockFilter)(unsafe.Pointer(&filter[0]))}
	err = control(listener, "setsockopt", func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	return eris.Wrap(err, "attach a filter to the listener")
}

// setBacklog listens again, which replaces the length of the queue.
func setBacklog(listener net.Listener, connections int) error {
	err := control(listener, "listen", func(fd int) error { return unix.Listen(fd, connections) })
	return eris.Wrap(err, "set the backlog of the listener")
}

// control makes a system call for the socket of a listener.
func control(listener net.Listener, name string, call func(fd int) error) error {
	conn, isRaw := listener.(syscall.Conn)
	if !isRaw {
		return eris.New("the listener has no socket")
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "get the socket of the listener")
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return eris.Wrap(err, "use the socket of the listener")
	}
	return os.NewSyscallError(name, callErr)
}

// handshakeFilter returns a filter that drops packets with SYN and without ACK.
func handshakeFilter() ([]bpf.RawInstruction, error) {
	filter, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpFlagSYN | tcpFlagACK},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpFlagSYN, SkipTrue: 1},
		bpf.RetConstant{Val: 1 << 18},
		bpf.RetConstant{Val: 0},
	})
	return filter, eris.Wrap(err, "assemble the filter")
}
