package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	hostListInterval = time.Second
	hostListTimeout  = 2 * time.Second
	// maxBodyBytes limits the response body that is read from a target or the platform.
	maxBodyBytes     = 4 << 20
	hostStateLeaving = "leaving"
)

// hostSet is the set of hosts that the platform lists as leaving. It is immutable. A nil
// set is empty.
type hostSet struct {
	names map[string]bool
}

func (h *hostSet) contains(host string) bool { return h != nil && h.names[host] }

// equal reports whether h and other hold the same hosts. It returns false if h is nil,
// so that the first list that is read always counts as a change.
func (h *hostSet) equal(other *hostSet) bool {
	if h == nil || len(h.names) != len(other.names) {
		return false
	}
	for name := range h.names {
		if !other.names[name] {
			return false
		}
	}
	return true
}

// hostList is the platform's reply with all hosts and their states.
type hostList struct {
	Hosts []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"hosts"`
}

// followHostList polls the platform's host list until ctx ends. While the list cannot be
// read, the last one remains in use.
func (m *Manager) followHostList(ctx context.Context) {
	client := newPollClient()
	for {
		leaving, err := fetchLeavingHosts(ctx, client, m.opts.HostListURL)
		if err != nil {
			m.opts.Log.V(1).Info("reading the platform's host list failed", "error", err.Error())
		} else if !m.leavingHosts.Load().equal(leaving) {
			m.leavingHosts.Store(leaving)
		}
		if !sleep(ctx, jittered(hostListInterval)) {
			return
		}
	}
}

// fetchLeavingHosts reads the host list and returns the hosts that are leaving.
func fetchLeavingHosts(ctx context.Context, client *http.Client, url string) (*hostSet, error) {
	var list hostList
	if err := getJSON(ctx, client, url, hostListTimeout, &list); err != nil {
		return nil, err
	}
	leaving := &hostSet{names: map[string]bool{}}
	for _, h := range list.Hosts {
		if h.State == hostStateLeaving {
			leaving.names[h.Name] = true
		}
	}
	return leaving, nil
}

// statusError is the code of an HTTP response whose status is not 200.
type statusError int

func (e statusError) Error() string { return "HTTP status " + http.StatusText(int(e)) }

// getJSON sends a GET request and decodes the JSON body of the response into out.
func getJSON(ctx context.Context, client *http.Client, url string, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode)
	}
	body := http.MaxBytesReader(nil, resp.Body, maxBodyBytes)
	return errors.Wrap(json.NewDecoder(body).Decode(out), "decode response")
}
