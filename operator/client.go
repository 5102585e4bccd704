package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/document"
	"guavahitch.example/guavahitch/http1"
	"guavahitch.example/guavahitch/keys"
	"guavahitch.example/guavahitch/outcome"
)

const (
	// clientTimeout bounds one request to a server, including its response.
	clientTimeout = 30 * time.Second
	// maxResponseBytes bounds a response of a server.
	maxResponseBytes = 64 << 20
)

type (
	// Client sends requests to the operator servers of the control replicas. When one server does not respond, it
	// tries the next.
	Client struct {
		settings ClientSettings
		token    string
		scheme   string
		http     *http.Client
	}

	// ClientSettings are the contents of an operator's settings file, which is JSON with comments.
	ClientSettings struct {
		// Addresses are the IP addresses and ports of the control replicas' operator servers, tried in this order.
		Addresses []string `document:"required,min=1"`
		// TokenFile is the path of the file with the operators' token.
		TokenFile string `document:"required"`
		// Authority is the path of the certificate authority's certificate. It is empty when the operator servers do
		// not use TLS.
		Authority string
	}

	// Submission is an inventory together with the metadata that Submit sends in headers.
	Submission struct {
		// ChangeID identifies the change. A retry uses the same id, so that the change is accepted only once.
		ChangeID string
		// Expected is the revision that the inventory replaces; 0 for the first inventory.
		Expected uint64
		Operator string
		Reason   string
		Text     []byte
	}
)

// ReadClient reads a settings file and returns a client with these settings.
func ReadClient(path string) (*Client, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	var s ClientSettings
	if err := document.Decode(path, data, &s).Err(); err != nil {
		return nil, err
	}
	return NewClient(s)
}

// NewClient returns a client. It reads the token file and the authority's certificate.
func NewClient(s ClientSettings) (*Client, error) {
	token, err := os.ReadFile(s.TokenFile)
	if err != nil {
		return nil, eris.Wrapf(err, "token file %s", s.TokenFile)
	}
	c := &Client{settings: s, token: strings.TrimSpace(string(token)), scheme: "http", http: http1.NewDefaultClient()}
	if s.Authority != "" {
		transport, err := keys.OperatorTransport(s.Authority)
		if err != nil {
			return nil, err
		}
		c.scheme, c.http = "https", http1.NewClient(transport)
	}
	c.http.Timeout = clientTimeout
	return c, nil
}

// Submit submits an inventory. A refused change is not an error; its status contains the reason.
func (c *Client) Submit(ctx context.Context, s Submission) (Change, error) {
	var change Change
	header := http.Header{}
	header.Set(HeaderChange, s.ChangeID)
	header.Set(HeaderExpected, strconv.FormatUint(s.Expected, 10))
	header.Set(HeaderOperator, s.Operator)
	header.Set(HeaderReason, s.Reason)
	_, err := c.exchange(ctx, http.MethodPut, "/v1/inventory", header, s.Text, &change)
	return change, err
}

// Change returns the status of a change.
func (c *Client) Change(ctx context.Context, id string) (Change, error) {
	var change Change
	_, err := c.exchange(ctx, http.MethodGet, "/v1/changes/"+url.PathEscape(id), nil, nil, &change)
	return change, err
}

// Inventory returns the newest accepted inventory, as the responding control replica has it, and its revision. It may
// not be in force yet.
func (c *Client) Inventory(ctx context.Context) (revision uint64, text []byte, err error) {
	header, err := c.exchange(ctx, http.MethodGet, "/v1/inventory", nil, nil, &text)
	if err != nil {
		return 0, nil, err
	}
	revision, err = strconv.ParseUint(header.Get(HeaderRevision), 10, 64)
	return revision, text, eris.Wrap(err, "inventory revision in the response header")
}

// Records returns all durable records of a kind and a change, oldest first. An empty kind or change matches all of them.
func (c *Client) Records(ctx context.Context, kind, change string) ([]Record, error) {
	var all []Record
	after := uint64(0)
	for {
		query := url.Values{"after": {strconv.FormatUint(after, 10)}, "kind": {kind}, "change": {change}}
		var page []Record
		if _, err := c.exchange(ctx, http.MethodGet, "/v1/records?"+query.Encode(), nil, nil, &page); err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return all, nil
		}
		all = append(all, page...)
		after = page[len(page)-1].Index
	}
}

// Events returns the events of all processes and names the processes that did not respond.
func (c *Client) Events(ctx context.Context) (Events, error) {
	var events Events
	_, err := c.exchange(ctx, http.MethodGet, "/v1/events", nil, nil, &events)
	return events, err
}

// exchange sends the request to one server after the other until one responds, and decodes the response.
func (c *Client) exchange(ctx context.Context, method, path string, header http.Header, body []byte, into any) (http.Header, error) {
	lastErr := eris.New("the operator settings contain no server address")
	for _, address := range c.settings.Addresses {
		answered, responseHeader, err := c.exchangeWith(ctx, address, method, path, header, body, into)
		if answered {
			return responseHeader, err
		}
		lastErr = eris.Wrapf(err, "%s", address)
	}
	return nil, lastErr
}

// exchangeWith sends the request to one server. answered is false when no complete response arrived.
func (c *Client) exchangeWith(ctx context.Context, address, method, path string, header http.Header, body []byte, into any) (answered bool, responseHeader http.Header, err error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return false, nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return false, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return false, nil, err
	}
	return true, response.Header, decode(address, response.StatusCode, text, into)
}

// decode stores a successful response in the value that into points to, or returns the error that the response reports.
// A conflict is a success: its body is the status of a refused change.
func decode(address string, status int, text []byte, into any) error {
	if status != http.StatusOK && status != http.StatusConflict {
		return failureOf(address, status, text)
	}
	if raw, isRaw := into.(*[]byte); isRaw {
		*raw = text
		return nil
	}
	return eris.Wrapf(json.Unmarshal(text, into), "decode response of %s", address)
}

func failureOf(address string, status int, text []byte) error {
	var failure Failure
	if json.Unmarshal(text, &failure) != nil || failure.Error.Reason == "" {
		return eris.Errorf("%s responded with status %d", address, status)
	}
	return &outcome.Error{
		Step: failure.Error.Step, Peer: address, Outcome: outcome.NotRun, Reason: failure.Error.Reason,
		Detail: failure.Error.Detail, Status: status,
	}
}
