package main

import (
	"github.com/figlb/figlb/dispatch/schedclient"
	"github.com/figlb/figlb/entry"
	"github.com/figlb/figlb/pki"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
)

// connect returns clients of the replicated state and of the schedulers, and a function
// that closes both.
func connect(f *settings.EntryFile, incarnation string) (entry.State, entry.Scheduler, func(), error) {
	tlsConf, err := pki.TLSConfig(f.TLS)
	if err != nil {
		return nil, nil, nil, err
	}
	state, err := stateclient.New(f.Entry.State, f.Entry.Groups, tlsConf)
	if err != nil {
		return nil, nil, nil, err
	}
	sched := schedclient.New(schedclient.Options{
		Entry:    incarnation,
		Groups:   f.Entry.Groups,
		Resolver: state,
		Dial:     func(addr string) schedclient.Caller { return state.Conn(addr) },
	})
	return state, sched, func() {
		sched.Close()
		state.Close()
	}, nil
}
