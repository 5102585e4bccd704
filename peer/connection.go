package peer

// One connection of a Sender. A frame without a receipt for too long closes it: the way may have lost track
// of it while new connections work.

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wire"
)

type connection struct {
	body     io.ReadWriteCloser
	patience time.Duration

	mutex      sync.Mutex
	sent, seen uint64
	timer      *time.Timer
	isDone     bool
}

// connect opens a connection to a replica's Receiver.
func connect(ctx context.Context, client *http.Client, url string, patience time.Duration) (*connection, error) {
	// The connection lives on after the context of its opening has ended.
	request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, url+Path, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", Protocol)
	opening, cancel := context.WithCancel(request.Context())
	defer cancel()
	timer := time.AfterFunc(patience, cancel)
	stop := context.AfterFunc(ctx, cancel)
	response, err := client.Do(request.WithContext(opening))
	isLate := !timer.Stop()
	stop()
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", url)
	}
	body, isStream := response.Body.(io.ReadWriteCloser)
	if response.StatusCode != http.StatusSwitchingProtocols || !isStream || isLate {
		_ = response.Body.Close()
		return nil, eris.Errorf("connect to %s: answered %s", url, response.Status)
	}
	c := &connection{body: body, patience: patience}
	c.timer = time.AfterFunc(patience, c.close)
	c.timer.Stop()
	return c, nil
}

// send writes a frame. After an error the connection is of no use.
func (c *connection) send(batch *wire.ReplicaBatch) error {
	data, err := encodeFrame(batch)
	if err != nil {
		return err
	}
	c.expect(batch.Sequence, time.Duration(len(data)/slowestBytesPerMs)*time.Millisecond)
	_, err = c.body.Write(data)
	return eris.Wrap(err, "send frame")
}

// expect starts the wait for a receipt, longer for a large frame.
func (c *connection) expect(sequence uint64, extra time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isWaiting := c.sent > c.seen
	c.sent = sequence
	if !c.isDone && (!isWaiting || extra > 0) {
		c.timer.Reset(c.patience + extra)
	}
}

// readReceipts works until the connection ends.
func (c *connection) readReceipts() {
	defer c.close()
	for {
		sequence, err := readReceipt(c.body)
		if err != nil {
			return
		}
		c.mutex.Lock()
		c.seen = max(c.seen, sequence)
		switch {
		case c.isDone:
		case c.seen >= c.sent:
			c.timer.Stop()
		default:
			c.timer.Reset(c.patience)
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
