package stateserver

import (
	"crypto/tls"
	"strings"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/pki"
	"github.com/figlb/figlb/stateclient"
)

// entryMethods are what an entry may call: a host that serves callers must not be able to
// grant keys, change the configuration or take part in the log.
var entryMethods = map[string]bool{
	stateclient.MethodPing:           true,
	stateclient.MethodConfigConfirm:  true,
	stateclient.MethodFingerprintAdd: true,
}

// entryFamilies are the methods of programs, turns, calls and scheduling.
var entryFamilies = []string{"program.", "turn.", "call.", "rate.", "sched."}

// memberFamily holds the methods of the log, which only state members may call.
const memberFamily = "raft"

// Authorize decides by the role in a peer's certificate. State members may call everything,
// operators everything but the log.
func Authorize(peer tls.ConnectionState, method string) error {
	role, err := pki.RoleOf(peer)
	if err != nil {
		return forbidden("", method)
	}
	switch role {
	case pki.RoleState:
		return nil
	case pki.RoleOperator:
		if !strings.HasPrefix(method, memberFamily) {
			return nil
		}
	case pki.RoleEntry:
		if mayCall(method) {
			return nil
		}
	}
	return forbidden(role, method)
}

func mayCall(method string) bool {
	if entryMethods[method] {
		return true
	}
	for _, f := range entryFamilies {
		if strings.HasPrefix(method, f) {
			return true
		}
	}
	return false
}

func forbidden(role pki.Role, method string) error {
	return errs.New(errs.Unauthorized, "use a certificate with the right role ('figlbctl cert issue')",
		"role %q may not call %s", role, method)
}
