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
	answer   AnswerFunc
}

// AnswerFunc writes the response to a request and reports whether to read another from the connection. The number counts
// the requests of the connection from 0.
type AnswerFunc func(conn net.Conn, request *http.Request, body string, number int) bool

// StartRaw starts an upstream on loopback.
func StartRaw(answer AnswerFunc) (*Raw, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Raw{listener: listener, answer: answer}
	go r.serve()
	return r, nil
}

// Address returns the address on which the upstream listens.
func (r *Raw) Address() string { return r.listener.Addr().String() }

// Stop ends the upstream. Open connections stay.
func (r *Raw) Stop() { _ = r.listener.Close() }

func (r *Raw) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *Raw) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !r.answer(conn, request, string(body), number) {
			return
		}
	}
}
