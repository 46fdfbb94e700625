package stateclient

import "github.com/vmihailenco/msgpack/v5"

// ignoredReply is a reply whose content is not used.
type ignoredReply struct{}

// DecodeMsgpack skips the reply.
func (*ignoredReply) DecodeMsgpack(d *msgpack.Decoder) error { return d.Skip() }
