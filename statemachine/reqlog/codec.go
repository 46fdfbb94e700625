package reqlog

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the msgpack encoding of v with sorted map keys, so that all replicas produce
// equal bytes for equal values. It panics on a type that msgpack cannot encode.
func Encode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.SetSortMapKeys(true)
	if err := enc.Encode(v); err != nil {
		panic("statemachine: encode: " + err.Error())
	}
	return buf.Bytes()
}
