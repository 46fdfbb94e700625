package command

import (
	"context"
	"flag"
	"net"
	"strings"

	"github.com/figlb/figlb/pki"
)

func certInitVerb() *verb {
	return &verb{
		name:     "cert init",
		synopsis: "create the site's certificate authority",
		args:     "SITE",
		example:  "figlbctl cert init -dir certs ng-south",
		local:    true,
		flags: func(fs *flag.FlagSet) runFunc {
			dir := fs.String("dir", "certs", "folder of the certificates")
			return func(_ context.Context, in *invocation) error {
				if err := in.requireArgs(1, "SITE"); err != nil {
					return err
				}
				if err := pki.CreateCA(*dir, in.args[0]); err != nil {
					return err
				}
				return in.print(map[string]string{"authority": *dir + "/ca.pem"}, []string{"AUTHORITY"}, [][]string{{*dir + "/ca.pem"}})
			}
		},
	}
}

func certIssueVerb() *verb {
	return &verb{
		name:     "cert issue",
		synopsis: "issue the certificate of a process or an operator",
		args:     "NAME entry|state|operator",
		example: "figlbctl cert issue -dir certs -ip 10.0.0.7 entry-1 entry\n" +
			"figlbctl cert issue -dir certs operator operator",
		local: true,
		flags: func(fs *flag.FlagSet) runFunc {
			dir := fs.String("dir", "certs", "folder of the certificates")
			ip := fs.String("ip", "", "IP addresses of the process, separated by commas")
			return func(_ context.Context, in *invocation) error { return certIssue(in, *dir, *ip) }
		},
	}
}

func certIssue(in *invocation, dir, ipList string) error {
	if err := in.requireArgs(2, "NAME and entry|state|operator"); err != nil {
		return err
	}
	role := pki.Role(in.args[1])
	switch role {
	case pki.RoleEntry, pki.RoleState, pki.RoleOperator:
	default:
		return usagef("role %q is unknown, use entry, state or operator", in.args[1])
	}
	var ips []net.IP
	for _, s := range strings.Split(ipList, ",") {
		if s == "" {
			continue
		}
		ip := net.ParseIP(s)
		if ip == nil {
			return usagef("%q is not an IP address", s)
		}
		ips = append(ips, ip)
	}
	if err := pki.Issue(dir, in.args[0], role, ips); err != nil {
		return err
	}
	path := dir + "/" + in.args[0]
	return in.print(map[string]string{"certificate": path + ".pem", "key": path + ".key"},
		[]string{"CERTIFICATE", "KEY"}, [][]string{{path + ".pem", path + ".key"}})
}
