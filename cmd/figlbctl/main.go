// Command figlbctl is the operators' command-line tool for a figlb site.
package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"github.com/figlb/figlb/command"
	"github.com/figlb/figlb/pki"
	"github.com/figlb/figlb/platform"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
)

func main() {
	env := &command.Env{Stdout: os.Stdout, Stderr: os.Stderr, Connect: connect, ConnectRollouts: connectRollouts}
	os.Exit(command.Run(env, os.Args[1:]))
}

// connect returns a client of the state members named by the flags.
func connect(c *command.CommonFlags) (command.API, error) {
	var members []string
	for _, m := range strings.Split(c.Members, ",") {
		if m = strings.TrimSpace(m); m != "" {
			members = append(members, m)
		}
	}
	conf, err := pki.TLSConfig(tlsSettings(c.TLSDir))
	if err != nil {
		return nil, err
	}
	client, err := stateclient.New(members, c.Groups, conf)
	if err != nil {
		return nil, err
	}
	return client, nil
}

// rollouts adapts the client of the operator API.
type rollouts struct{ *platform.RolloutClient }

func connectRollouts(address string) command.Rollouts {
	return rollouts{&platform.RolloutClient{Address: address}}
}

// State implements command.Rollouts.
func (r rollouts) State(ctx context.Context, service string) (state, to, reason string, err error) {
	s, err := r.RolloutClient.State(ctx, service)
	if err != nil {
		return "", "", "", err
	}
	return s.State, s.To, s.Reason, nil
}

// tlsSettings returns the file names of the operator's certificate in dir. An empty dir
// turns TLS off.
func tlsSettings(dir string) settings.TLS {
	if dir == "" {
		return settings.TLS{}
	}
	return settings.TLS{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, "operator.pem"),
		Key:  filepath.Join(dir, "operator.key"),
	}
}
