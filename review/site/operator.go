package site

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

const (
	// operatorPatience is how long an operator waits for the response of one node.
	operatorPatience = time.Second
	// operatorBackoff is its first pause before it tries another node; it doubles up to a second.
	operatorBackoff = 50 * time.Millisecond
)

// Operator is a client of the operator API. It tries one node after another until it gets a clear
// response, as the pages say of every caller of the control plane.
type Operator struct{ site *Site }

// Put sends a configuration until it is acknowledged.
func (o *Operator) Put(config []byte, timeout time.Duration) bool {
	return o.Order(http.MethodPut, "/v1/config", config, 0, timeout)
}

// Order sends an order until it is acknowledged, and first to the controller with number first. It
// returns false if it is refused or gets no clear response in time.
func (o *Operator) Order(method, path string, body []byte, first int, timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	pause := operatorBackoff
	for n := first; time.Now().Before(until); n++ {
		h := o.site.Controllers[n%len(o.site.Controllers)]
		status, answer := o.Call(h, method, path, body)
		switch {
		case status/100 == 2:
			return true
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			o.site.Record.Printf("operator: %s %s is refused: %s", method, path, answer)
			return false
		}
		time.Sleep(pause)
		pause = min(pause*2, time.Second)
	}
	return false
}

// Call sends one call to one controller on a new channel, which it closes if there is no response
// within operatorPatience. Status 0 means that there was no response.
func (o *Operator) Call(h *Host, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.Control()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	} else {
		req.Body, req.ContentLength = nil, 0
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	o.site.Record.Printf("operator: %s %s sent to %s", method, path, h.Name)
	resp, err := c.Do(req)
	if err != nil {
		o.site.Record.Printf("operator: no response from %s to %s %s", h.Name, method, path)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	o.site.Record.Printf("operator: %s answers %d to %s %s", h.Name, resp.StatusCode, method, path)
	return resp.StatusCode, string(text)
}
