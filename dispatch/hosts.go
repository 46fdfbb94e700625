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
	// maxBodyBytes bounds what is read from a target or the platform.
	maxBodyBytes = 4 << 20
	hostLeaving  = "leaving"
)

// hostStates is the platform's list of leaving hosts. It is immutable; a nil list is
// empty.
type hostStates struct {
	out map[string]bool
}

func (h *hostStates) leaving(host string) bool { return h != nil && h.out[host] }

func (h *hostStates) equal(other *hostStates) bool {
	if h == nil || len(h.out) != len(other.out) {
		return false
	}
	for name := range h.out {
		if !other.out[name] {
			return false
		}
	}
	return true
}

type hostList struct {
	Hosts []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"hosts"`
}

// followHosts reads the host list until ctx ends. While the list cannot be read, the
// last one stays in force.
func (m *Manager) followHosts(ctx context.Context) {
	client := newPollClient()
	for {
		states, err := readHosts(ctx, client, m.opts.HostListURL)
		if err != nil {
			m.opts.Log.V(1).Info("host list not read", "error", err.Error())
		} else if !m.hosts.Load().equal(states) {
			m.hosts.Store(states)
		}
		if !sleep(ctx, jittered(hostListInterval)) {
			return
		}
	}
}

func readHosts(ctx context.Context, client *http.Client, url string) (*hostStates, error) {
	var list hostList
	if err := getJSON(ctx, client, url, hostListTimeout, &list); err != nil {
		return nil, err
	}
	states := &hostStates{out: map[string]bool{}}
	for _, h := range list.Hosts {
		if h.State == hostLeaving {
			states.out[h.Name] = true
		}
	}
	return states, nil
}

// errStatus is an HTTP answer other than 200.
type errStatus int

func (e errStatus) Error() string { return "status " + http.StatusText(int(e)) }

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
		return errStatus(resp.StatusCode)
	}
	body := http.MaxBytesReader(nil, resp.Body, maxBodyBytes)
	return errors.Wrap(json.NewDecoder(body).Decode(out), "decode answer")
}
