package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Raw is an upstream that answers on bare connections, so that it can send what no HTTP server would.
type Raw struct {
	listener net.Listener
	// serve handles one connection, which is closed when it returns.
	serve func(net.Conn)
}

// AnswerFunc writes the response to a request and reports whether to read another from the connection. The number counts
// the requests of the connection from 0.
type AnswerFunc func(conn net.Conn, request *http.Request, body string, number int) bool

// StartRaw starts an upstream on loopback. It reads each request to its end before it is answered.
func StartRaw(answer AnswerFunc) (*Raw, error) {
	return start(func(conn net.Conn) { serveRequests(conn, answer) })
}

// StartEarly starts an upstream on loopback that answers the first request of each connection once its head has arrived. The body
// of the request is left to the function.
func StartEarly(answer func(conn net.Conn, request *http.Request)) (*Raw, error) {
	return start(func(conn net.Conn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			answer(conn, request)
		}
	})
}

func start(serve func(net.Conn)) (*Raw, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Raw{listener: listener, serve: serve}
	go r.accept()
	return r, nil
}

// Address returns the address on which the upstream listens.
func (r *Raw) Address() string { return r.listener.Addr().String() }

// Stop ends the upstream. Open connections stay.
func (r *Raw) Stop() { _ = r.listener.Close() }

func (r *Raw) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r.serve(conn)
		}()
	}
}

func serveRequests(conn net.Conn, answer AnswerFunc) {
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !answer(conn, request, string(body), number) {
			return
		}
	}
}
