package testsite

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Ctl runs figlbctl against the site and returns its standard output.
func (s *Site) Ctl(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(s.opts.Bin, "figlbctl"), args...)
	cmd.Env = append(cmd.Environ(), "FIGLB_STATE="+strings.Join(s.MemberAddrs, ","), fmt.Sprintf("FIGLB_GROUPS=%d", s.opts.Groups))
	if s.opts.TLS {
		cmd.Env = append(cmd.Env, "FIGLB_TLS="+s.certDir())
	}
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return out.String(), errors.Errorf("figlbctl %s: %v: %s", strings.Join(args, " "), err, errOut.String())
	}
	return out.String(), nil
}

// certDir returns the directory of the site's certificates.
func (s *Site) certDir() string { return filepath.Join(s.opts.Dir, "certs") }

// issueCertificates creates a certificate authority and a certificate for each role.
func (s *Site) issueCertificates() error {
	if !s.opts.TLS {
		return nil
	}
	calls := [][]string{
		{"cert", "init", "-dir", s.certDir(), "test"},
		{"cert", "issue", "-dir", s.certDir(), "-ip", "127.0.0.1," + s.ip, "state", "state"},
		{"cert", "issue", "-dir", s.certDir(), "-ip", "127.0.0.1," + s.ip, "entry", "entry"},
		{"cert", "issue", "-dir", s.certDir(), "operator", "operator"},
	}
	for _, args := range calls {
		if _, err := s.Ctl(args...); err != nil {
			return err
		}
	}
	return nil
}

// tlsSection returns the [tls] section of the settings of a process with the given role. It is
// empty if the site does not use TLS.
func (s *Site) tlsSection(role string) string {
	if !s.opts.TLS {
		return ""
	}
	base := filepath.Join(s.certDir(), role)
	return fmt.Sprintf("[tls]\nca = %s\ncert = %s.pem\nkey = %s.key\n", filepath.Join(s.certDir(), "ca.pem"), base, base)
}

// Declaration returns the contents of the site's base and overlay files.
func (s *Site) Declaration() (base, overlay string) {
	var b, o strings.Builder
	b.WriteString("[model m1]\n\n[service chat]\nmodel = m1\nclass = interactive\n\n[service batch]\nmodel = m1\nclass = batch\n\n" +
		"[service lookup]\nmodel = m1\nclass = lookup\n\n")
	if s.opts.Orders > 0 {
		b.WriteString("[service orders]\nprefix = /orders\nrepeatable = false\ntimeout = 10s\n\n")
	}
	b.WriteString(s.opts.Organisations)
	o.WriteString("[site]\nname = test\n")
	for _, z := range s.opts.Zones {
		fmt.Fprintf(&o, "[zone %s]\n", z)
	}
	for i, addr := range s.EngineAddrs {
		fmt.Fprintf(&o, "[host gpu-%d]\nzone = %s\n[target engine-%d]\nhost = gpu-%d\naddress = %s\nmodel = m1\nslots = %d\ncold_slots = %d\n",
			i+1, s.zone(i), i+1, i+1, addr, s.opts.Slots, s.opts.ColdSlots)
	}
	for i, addr := range s.OrderAddrs {
		service := "orders"
		if s.opts.Catalogue && i == len(s.OrderAddrs)-1 {
			service = "catalogue"
		}
		fmt.Fprintf(&o, "[host svc-%d]\nzone = %s\n[target order-%d]\nhost = svc-%d\naddress = %s\nservice = %s\nslots = 64\ncold_slots = 64\n",
			i+1, s.zone(i), i+1, i+1, addr, service)
	}
	return b.String(), o.String()
}

func (s *Site) applyDeclaration() error {
	base, overlay := s.Declaration()
	basePath, err := s.writeFile("base.ini", base)
	if err != nil {
		return err
	}
	overlayPath, err := s.writeFile("overlay.ini", overlay)
	if err != nil {
		return err
	}
	return Within(20*time.Second, func() error {
		_, err := s.Ctl("apply", "-base", basePath, "-overlay", overlayPath, "-from", "0", "-timeout", "5s", "-request-id", "first")
		return err
	})
}

// GrantKey creates an API key for an organisation and returns the key and its ID.
func (s *Site) GrantKey(org string) (key, id string, err error) {
	out, err := s.Ctl("key", "grant", org, "-output", "json")
	if err != nil {
		return "", "", err
	}
	var r struct{ Key, ID string }
	err = json.Unmarshal([]byte(out), &r)
	return r.Key, r.ID, err
}

// WaitReady waits until an entry reports that it is ready.
func (s *Site) WaitReady(i int, timeout time.Duration) error {
	return Within(timeout, func() error {
		if !s.Entries[i].Running() {
			return errors.Errorf("%s exited: %s", s.Entries[i].Name, s.Entries[i].Stderr())
		}
		resp, err := http.Get("http://" + s.EntryAdmin[i] + "/readyz")
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("%s is not ready: %s", s.Entries[i].Name, resp.Status)
		}
		return nil
	})
}

// WaitKey waits until every entry accepts a key. The timeout applies to each entry.
func (s *Site) WaitKey(key string, timeout time.Duration) error {
	for _, addr := range s.EntryAddrs {
		err := Within(timeout, func() error {
			req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/models", nil)
			if err != nil {
				return err
			}
			req.Header.Set("Authorization", "Bearer "+key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return errors.Errorf("entry %s answers %s", addr, resp.Status)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
