package stateserver

import (
	"crypto/tls"
	"strings"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/pki"
	"github.com/figlb/figlb/stateclient"
)

// entryMethods are methods that an entry may call in addition to those with a prefix of
// entryMethodPrefixes. A host that serves callers must not be able to grant keys, change
// the configuration or take part in replication of the log.
var entryMethods = map[string]bool{
	stateclient.MethodPing:           true,
	stateclient.MethodConfigConfirm:  true,
	stateclient.MethodFingerprintAdd: true,
}

// entryMethodPrefixes are the prefixes of the methods for programs, turns, calls, rates and
// scheduling.
var entryMethodPrefixes = []string{"program.", "turn.", "call.", "rate.", "sched."}

// raftMethodPrefix is the prefix of the log replication methods, which only state members may
// call.
const raftMethodPrefix = "raft"

// Authorize checks that the role in the peer's certificate permits a method. State members
// may call every method, operators every method except log replication, and entries only
// those that serving callers requires.
func Authorize(peer tls.ConnectionState, method string) error {
	role, err := pki.RoleOf(peer)
	if err != nil {
		return unauthorized("", method)
	}
	switch role {
	case pki.RoleState:
		return nil
	case pki.RoleOperator:
		if !strings.HasPrefix(method, raftMethodPrefix) {
			return nil
		}
	case pki.RoleEntry:
		if entryMayCall(method) {
			return nil
		}
	}
	return unauthorized(role, method)
}

func entryMayCall(method string) bool {
	if entryMethods[method] {
		return true
	}
	for _, f := range entryMethodPrefixes {
		if strings.HasPrefix(method, f) {
			return true
		}
	}
	return false
}

func unauthorized(role pki.Role, method string) error {
	return errs.New(errs.Unauthorized, "use a certificate with the right role ('figlbctl cert issue')",
		"role %q may not call %s", role, method)
}
