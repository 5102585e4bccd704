package peer

// One connection of a Sender. It is closed when a frame is not acknowledged in time: a device on the network path
// may have dropped the state of this connection, while a new one would work.

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wire"
)

// connection sends frames to one replica and tracks their acknowledgements.
type connection struct {
	body       io.ReadWriteCloser
	ackTimeout time.Duration

	mutex              sync.Mutex
	sent, acknowledged uint64
	timer              *time.Timer
	isDone             bool
}

// connect opens a connection to a replica's Receiver. The timeout bounds the opening and, later, the wait for each
// acknowledgement.
func connect(ctx context.Context, client *http.Client, url string, timeout time.Duration) (*connection, error) {
	// The connection must stay open after the context of its opening is cancelled.
	request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, url+Path, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", Protocol)
	opening, cancel := context.WithCancel(request.Context())
	defer cancel()
	timer := time.AfterFunc(timeout, cancel)
	stop := context.AfterFunc(ctx, cancel)
	response, err := client.Do(request.WithContext(opening))
	isTimedOut := !timer.Stop()
	stop()
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", url)
	}
	body, isStream := response.Body.(io.ReadWriteCloser)
	if response.StatusCode != http.StatusSwitchingProtocols || !isStream || isTimedOut {
		_ = response.Body.Close()
		return nil, eris.Errorf("connect to %s: unexpected response %s", url, response.Status)
	}
	c := &connection{body: body, ackTimeout: timeout}
	c.timer = time.AfterFunc(timeout, c.close)
	c.timer.Stop()
	return c, nil
}

// send writes a batch as one frame. After an error the connection must not be used any more.
func (c *connection) send(batch *wire.ReplicaBatch) error {
	data, err := encodeFrame(batch)
	if err != nil {
		return err
	}
	c.awaitAck(batch.Sequence, time.Duration(len(data)/minBytesPerMs)*time.Millisecond)
	_, err = c.body.Write(data)
	return eris.Wrap(err, "send frame")
}

// awaitAck records a sent frame and starts the acknowledgement timer, unless it is running already. The time extra
// extends the timeout for a large frame and restarts a running timer.
func (c *connection) awaitAck(sequence uint64, extra time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isWaiting := c.sent > c.acknowledged
	c.sent = sequence
	if !c.isDone && (!isWaiting || extra > 0) {
		c.timer.Reset(c.ackTimeout + extra)
	}
}

// readAcks reads acknowledgements until the connection ends, and stops or restarts the timer.
func (c *connection) readAcks() {
	defer c.close()
	for {
		sequence, err := readAck(c.body)
		if err != nil {
			return
		}
		c.mutex.Lock()
		c.acknowledged = max(c.acknowledged, sequence)
		switch {
		case c.isDone:
		case c.acknowledged >= c.sent:
			c.timer.Stop()
		default:
			c.timer.Reset(c.ackTimeout)
		}
		c.mutex.Unlock()
	}
}

func (c *connection) close() {
	c.mutex.Lock()
	c.isDone = true
	c.timer.Stop()
	c.mutex.Unlock()
	_ = c.body.Close()
}

func (c *connection) isClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isDone
}
