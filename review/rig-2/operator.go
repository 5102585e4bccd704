package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// operatorTimeout is the time without a response after which the operator moves on to another machine.
	operatorTimeout = time.Second
	// operatorPause is the pause before it does.
	operatorPause = 100 * time.Millisecond
	// maxResponseBytes bounds a response that is read.
	maxResponseBytes = 1 << 20
)

// operator calls control as the pages say: it moves on to another machine after a failure, a 5xx, a 408 or 429, or a second
// without a response, and then sends the same order again.
type operator struct {
	controls []string
	client   *http.Client
	record   *record
}

func newOperator(d *deployment) *operator {
	return &operator{
		controls: d.controlAddresses(), record: d.record,
		client: &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// order sends an order until it is acknowledged, first to the address that is given, and returns the time of the
// acknowledgement.
func (o *operator) order(first, method, path string, body []byte) (time.Time, error) {
	addresses := []string{first}
	for _, address := range o.controls {
		if address != first {
			addresses = append(addresses, address)
		}
	}
	until := time.Now().Add(startTimeout)
	for n := 0; time.Now().Before(until); n++ {
		address := addresses[n%len(addresses)]
		status, text, err := o.call(address, method, path, body)
		o.record.add("operator: %s %s at %s: %s", method, path, address, describe(status, err))
		switch {
		case err == nil && status == http.StatusOK:
			return time.Now(), nil
		case err == nil && status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return time.Time{}, fmt.Errorf("%s is refused with %d: %s", path, status, text)
		}
		time.Sleep(operatorPause)
	}
	return time.Time{}, errors.New(path + " is not acknowledged")
}

// call sends one call.
func (o *operator) call(address, method, path string, body []byte) (status int, text string, err error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, string(read), err
}

// configure puts a configuration in force.
func (o *operator) configure(c map[string]any) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = o.order(o.controls[0], http.MethodPost, "/config/replace", body)
	return err
}

func describe(status int, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(status)
}
