package rig

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	ID     string
	SentAt time.Time
	// Status is 0 if no whole answer came.
	Status int
	Seal   string
	Body   string
	Err    error
}

var lastRequest atomic.Int64

// Send sends a request on a new connection to an entry and reads the answer. The request waits as long as its deadline.
func (r *Rig) Send(entry int, method, path string, body []byte, deadline time.Duration) Answer {
	a := Answer{ID: fmt.Sprintf("9c41d07b%08x", lastRequest.Add(1)), SentAt: time.Now()}
	request, err := http.NewRequest(method, "http://"+r.FrontAddress(entry)+path, bytes.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	request.Host = Host
	request.Header.Set("Guavahitch-Attempt-Id", a.ID)
	request.Header.Set("Guavahitch-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+Key)
	r.Record.Printf("client: %s %s %s to %s", a.ID, method, path, r.Entries[entry].Name)
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	a.read(client.Do(request))
	r.Record.Printf("client: %s is answered %d %q %v", a.ID, a.Status, a.Seal, a.Err)
	return a
}

func (a *Answer) read(response *http.Response, err error) {
	if err != nil {
		a.Err = err
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.Err = err
		return
	}
	a.Status, a.Seal, a.Body = response.StatusCode, response.Header.Get("Guavahitch-Server-Seal"), string(data)
}
