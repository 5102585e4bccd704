package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxMessage is the largest answer that a Client reads, in bytes.
const maxMessage = 4 << 20

var errTooLarge = eris.Errorf("the answer is longer than %d bytes", maxMessage)

// Client carries the calls of generated clients over connections that are kept for each address. Unlike the client of
// the standard library it sends nothing twice and needs no goroutines of its own. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	mutex   sync.Mutex
	pools   map[string]*Pool
}

// NewClient returns a client; the timeout bounds the opening of a connection.
func NewClient(timeout time.Duration) *Client {
	return &Client{timeout: timeout, pools: map[string]*Pool{}}
}

func (c *Client) pool(address string) *Pool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[address]
	if p == nil {
		p = NewPool(address, c.timeout)
		c.pools[address] = p
	}
	return p
}

// Do sends a request and reads its answer whole.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	body, err := bodyOf(request)
	if err != nil {
		return nil, err
	}
	ctx := request.Context()
	pool := c.pool(request.URL.Host)
	conn, err := pool.Take(ctx, time.Now(), DefaultIdle)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	response, err := exchange(conn, request, body)
	isOver := !stop()
	if isOver && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Abort()
		return nil, eris.Wrapf(err, "call %s", request.URL)
	}
	pool.Give(conn, time.Now())
	return response, nil
}

func bodyOf(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(request.Body)
	return body, eris.Wrap(err, "read the body of the request")
}

func exchange(conn *Connection, request *http.Request, body []byte) (*http.Response, error) {
	deadline, _ := request.Context().Deadline()
	conn.SetDeadline(deadline)
	if err := conn.Send(request.Method, request.URL.RequestURI(), request.URL.Host, request.Header, body); err != nil {
		return nil, err
	}
	response, err := conn.Receive(request.Method, func(http.Header) bool { return true })
	if err != nil {
		return nil, err
	}
	answer, err := readAnswer(response)
	if err != nil {
		return nil, eris.Wrap(err, "read the body of the answer")
	}
	response.Body = io.NopCloser(bytes.NewReader(answer))
	return response, nil
}

func readAnswer(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxMessage {
		return nil, errTooLarge
	}
	if response.ContentLength >= 0 {
		answer := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, answer)
		return answer, err
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxMessage+1))
	if err == nil && len(answer) > maxMessage {
		return nil, errTooLarge
	}
	return answer, err
}
