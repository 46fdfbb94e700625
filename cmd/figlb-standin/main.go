// Command figlb-standin runs stand-ins for the systems that figlb depends on, for tests and
// demonstrations. When it is ready it prints its addresses as JSON on standard output. It
// stops on SIGINT or SIGTERM.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "figlb-standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	o, err := parseOptions(args)
	if err != nil {
		return err
	}
	addrs, err := o.addresses()
	if err != nil {
		return err
	}
	started, err := o.startAll(addrs)
	for _, s := range started {
		defer s.Close()
	}
	if err != nil {
		return err
	}
	ready := struct {
		Role      string   `json:"role"`
		Addresses []string `json:"addresses"`
	}{Role: o.role}
	for _, s := range started {
		ready.Addresses = append(ready.Addresses, s.Addr())
	}
	if err := json.NewEncoder(os.Stdout).Encode(ready); err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	return nil
}
