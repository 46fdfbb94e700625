package stateclient

import "github.com/vmihailenco/msgpack/v5"

// ignored is a reply whose content does not matter.
type ignored struct{}

// DecodeMsgpack skips the reply.
func (*ignored) DecodeMsgpack(d *msgpack.Decoder) error { return d.Skip() }
