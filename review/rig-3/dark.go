package main

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// darkListener is a listener that can go dark: from then on the kernel drops the packets that open a connection, as if the machine
// had no power.
type darkListener struct {
	net.Listener
	mutex  sync.Mutex
	isDark bool
	ended  chan struct{}
	once   sync.Once
}

// listenDark listens on an IPv4 address, with a queue of one connection that is not accepted yet and a receive buffer of a size.
func listenDark(ip string, port, buffer int) (*darkListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	address := &syscall.SockaddrInet4{Port: port}
	copy(address.Addr[:], net.ParseIP(ip).To4())
	for _, option := range []struct{ name, value int }{{syscall.SO_REUSEADDR, 1}, {syscall.SO_RCVBUF, buffer}} {
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, option.name, option.value); err != nil {
			return nil, err
		}
	}
	if err := syscall.Bind(fd, address); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 1); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return &darkListener{Listener: listener, ended: make(chan struct{})}, nil
}

// Accept returns the next connection, none once the listener is dark.
func (l *darkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.mutex.Lock()
	isDark := l.isDark
	l.mutex.Unlock()
	if err == nil && isDark {
		<-l.ended
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return conn, err
}

// Close ends the listener.
func (l *darkListener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return l.Listener.Close()
}

// goDark fills the queue of connections, which are not accepted any more.
func (l *darkListener) goDark() {
	l.mutex.Lock()
	l.isDark = true
	l.mutex.Unlock()
	for range 4 {
		go func() {
			conn, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
			if err != nil {
				return
			}
			<-l.ended
			_ = conn.Close()
		}()
	}
}
