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
	keyBytes    = 20 // 160 bits
	keyPrefix   = "figlb_"
	keyIDDigits = 16
)

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
	if err := in.needArgs(1, "ORGANISATION"); err != nil {
		return err
	}
	if in.common.Request != "" {
		return usagef("a grant cannot be repeated, because its key is not kept: revoke the first one and grant another")
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
		synopsis: "withdraw a key for ever",
		args:     "ID",
		example:  "figlbctl key list\nfiglbctl key revoke 3f786850e387550f",
		flags:    func(*flag.FlagSet) runFunc { return keyRevoke },
	}
}

func keyRevoke(ctx context.Context, in *invocation) error {
	if err := in.needArgs(1, "ID"); err != nil {
		return err
	}
	reply, err := in.api.Config(ctx, in.configCommand(structs.ConfigCommand{RevokeKey: &structs.RevokeKey{ID: in.args[0]}}))
	return in.printRevision(reply, err)
}

func keyListVerb() *verb {
	return &verb{
		name:     "key list",
		synopsis: "list keys, without their secrets",
		example:  "figlbctl key list",
		flags: func(*flag.FlagSet) runFunc {
			return func(ctx context.Context, in *invocation) error { return listKind(ctx, in, structs.KindKey) }
		},
	}
}

func listKind(ctx context.Context, in *invocation, kind structs.Kind) error {
	if err := in.noArgs(); err != nil {
		return err
	}
	in.args = []string{string(kind)}
	return get(ctx, in)
}
