package command

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"flag"
	"strings"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/structs"
)

const (
	keyBytes    = 20 // 160 bits of entropy
	keyPrefix   = "figlb_"
	keyIDDigits = 16 // leading hexadecimal digits of the key's hash
)

// grantResult is the printed result of a grant. It is the only place where the key itself
// appears: the site stores only its hash.
type grantResult struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Revision     uint64 `json:"revision"`
}

func keyGrantVerb() *verb {
	return &verb{
		name:     "key grant",
		synopsis: "create a key for an organisation and show it once",
		args:     "ORGANISATION",
		example:  "figlbctl key grant cufflink-ikeja",
		flags:    func(*flag.FlagSet) runFunc { return keyGrant },
	}
}

func keyGrant(ctx context.Context, in *invocation) error {
	if err := in.requireArgs(1, "ORGANISATION"); err != nil {
		return err
	}
	if in.common.RequestID != "" {
		return usagef("a grant cannot be repeated, because the key itself is not stored: revoke the first key and grant another")
	}
	secret := make([]byte, keyBytes)
	if _, err := rand.Read(secret); err != nil {
		return errors.Wrap(err, "read random bytes")
	}
	key := keyPrefix + strings.ToLower(base32.StdEncoding.EncodeToString(secret))
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	record := structs.Key{ID: hash[:keyIDDigits], Hash: hash, Organisation: in.args[0]}
	reply, err := in.api.Config(ctx, in.configCommand(structs.ConfigCommand{GrantKey: &record}))
	if err != nil {
		return err
	}
	r := grantResult{ID: record.ID, Organisation: record.Organisation, Key: key, Revision: reply.Revision}
	return in.print(r, []string{"ID", "ORGANISATION", "KEY (shown once)"}, [][]string{{r.ID, r.Organisation, r.Key}})
}

func keyRevokeVerb() *verb {
	return &verb{
		name:     "key revoke",
		synopsis: "revoke a key permanently",
		args:     "ID",
		example:  "figlbctl key list\nfiglbctl key revoke 3f786850e387550f",
		flags:    func(*flag.FlagSet) runFunc { return keyRevoke },
	}
}

func keyRevoke(ctx context.Context, in *invocation) error {
	if err := in.requireArgs(1, "ID"); err != nil {
		return err
	}
	reply, err := in.api.Config(ctx, in.configCommand(structs.ConfigCommand{RevokeKey: &structs.RevokeKey{ID: in.args[0]}}))
	return in.printRevision(reply, err)
}

func keyListVerb() *verb {
	return &verb{
		name:     "key list",
		synopsis: "list keys without their secrets",
		example:  "figlbctl key list",
		flags: func(*flag.FlagSet) runFunc {
			return func(ctx context.Context, in *invocation) error { return listKind(ctx, in, structs.KindKey) }
		},
	}
}

// listKind prints all configuration objects of a kind.
func listKind(ctx context.Context, in *invocation, kind structs.Kind) error {
	if err := in.rejectArgs(); err != nil {
		return err
	}
	in.args = []string{string(kind)}
	return get(ctx, in)
}
