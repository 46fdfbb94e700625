package main

import (
	"context"

	"github.com/figlb/figlb/dispatch/schedclient"
	"github.com/figlb/figlb/entry"
	"github.com/figlb/figlb/pki"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
)

// connect returns the clients of the replicated state and of the schedulers, and a
// function that closes them.
func connect(f *settings.EntryFile, incarnation string) (entry.State, entry.Scheduler, func(), error) {
	conf, err := pki.Config(f.TLS)
	if err != nil {
		return nil, nil, nil, err
	}
	client, err := stateclient.New(f.Entry.State, f.Entry.Groups, conf)
	if err != nil {
		return nil, nil, nil, err
	}
	sched := schedclient.New(schedclient.Options{
		Entry:    incarnation,
		Groups:   f.Entry.Groups,
		Resolver: client,
		Dial:     func(addr string) schedclient.Caller { return client.Conn(addr) },
	})
	stop := func() {
		sched.Close()
		client.Close()
	}
	return state{client}, scheduler{sched}, stop, nil
}

// state joins the state client to the entry.
type state struct{ *stateclient.Client }

func (s state) FinishTurn(ctx context.Context, org string, req structs.FinishTurn) error {
	_, err := s.Client.FinishTurn(ctx, org, req)
	return err
}

func (s state) ConfirmConfig(ctx context.Context, req structs.ConfirmConfig) (*structs.ConfirmReply, error) {
	return s.Confirm(ctx, req)
}

// author of changes that entries make themselves.
const author = "figlb-entry"

func (s state) AddFingerprint(ctx context.Context, req structs.Fingerprint) error {
	_, err := s.Client.AddFingerprint(ctx, author, req)
	return err
}

// scheduler joins the scheduler client, which reports the slots it knows by itself.
type scheduler struct{ *schedclient.Client }

func (s scheduler) Report(_ context.Context, req *structs.ReportSlots) error {
	s.Follow(req.Pool)
	return nil
}
