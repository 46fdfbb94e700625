package wire

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
)

const (
	// maxFrameBytes bounds one frame: a snapshot chunk or a program's history fits.
	maxFrameBytes    = 64 << 20
	frameHeaderBytes = 4
)

// frame is one request or reply.
type frame struct {
	ID      uint64        `msgpack:"i"`
	Method  string        `msgpack:"m,omitempty"` // set on requests only
	Timeout time.Duration `msgpack:"t,omitempty"` // time left at the sender; 0: none
	Trace   string        `msgpack:"p,omitempty"` // traceparent
	Cancel  bool          `msgpack:"x,omitempty"` // the sender no longer wants the reply
	Body    []byte        `msgpack:"b,omitempty"`
	Err     *errs.Error   `msgpack:"e,omitempty"`
}

func writeFrame(w io.Writer, f *frame) error {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if len(body) > maxFrameBytes {
		return errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", len(body), maxFrameBytes)
	}
	buf := make([]byte, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	copy(buf[frameHeaderBytes:], body)
	_, err = w.Write(buf)
	return err
}

func readFrame(r io.Reader) (*frame, error) {
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return nil, errors.Errorf("peer sent a frame of %d bytes, over the limit of %d bytes", n, maxFrameBytes)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	f := new(frame)
	if err := msgpack.Unmarshal(body, f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return f, nil
}
