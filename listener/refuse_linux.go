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
	conn, isRaw := listener.(syscall.Conn)
	if !isRaw {
		return eris.New("the listener has no socket")
	}
	filter, err := handshakeFilter()
	if err != nil {
		return err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "get the socket of the listener")
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: (*unix.SockFilter)(unsafe.Pointer(&filter[0]))}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err == nil {
		err = os.NewSyscallError("setsockopt", setErr)
	}
	return eris.Wrap(err, "attach a filter to the listener")
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
