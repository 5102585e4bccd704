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

// maxResponseBytes is the largest response body that a Client reads.
const maxResponseBytes = 4 << 20

// Client is the HTTP client of generated RPC clients. It pools connections by address. Unlike http.Client it never
// sends a request twice and starts no goroutines per connection. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	memory  *Memory
	mutex   sync.Mutex
	pools   map[string]*Pool
}

// NewClient returns a client. The timeout bounds opening a connection.
func NewClient(timeout time.Duration) *Client {
	return &Client{timeout: timeout, memory: NewMemory(DefaultMemory), pools: map[string]*Pool{}}
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

// Do sends a request and reads the whole response. The context of the request bounds the exchange; when it ends, Do
// resets the connection and returns an error.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	body, err := readRequestBody(request)
	if err != nil {
		return nil, err
	}
	ctx := request.Context()
	pool := c.pool(request.URL.Host)
	conn, err := pool.Get(ctx, time.Now(), DefaultIdleTimeout)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	response, err := c.exchange(conn, request, body)
	isOver := !stop()
	if isOver && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Abort()
		return nil, eris.Wrapf(err, "call %s", request.URL)
	}
	pool.Put(conn, time.Now())
	return response, nil
}

func readRequestBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(request.Body)
	return body, eris.Wrap(err, "read request body")
}

func (c *Client) exchange(conn *Connection, request *http.Request, body []byte) (*http.Response, error) {
	deadline, _ := request.Context().Deadline()
	conn.SetDeadline(deadline)
	if err := conn.Send(request.Method, request.URL.RequestURI(), request.URL.Host, request.Header, body); err != nil {
		return nil, err
	}
	response, err := conn.Receive(request.Method, func(http.Header) bool { return true })
	if err != nil {
		return nil, err
	}
	answer, release, err := ReadBody(response, maxResponseBytes, c.memory)
	release()
	if err != nil {
		return nil, eris.Wrap(err, "read response body")
	}
	response.Body = io.NopCloser(bytes.NewReader(answer))
	return response, nil
}
