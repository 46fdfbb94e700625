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
	// maxFrameBytes is the size limit of one frame. It leaves room for a snapshot chunk or
	// the history of a program.
	maxFrameBytes    = 64 << 20
	frameHeaderBytes = 4
)

// frame is a request, a reply, a one-way message or a cancellation.
type frame struct {
	ID      uint64        `msgpack:"i"`
	Method  string        `msgpack:"m,omitempty"` // set on requests and one-way messages only
	Timeout time.Duration `msgpack:"t,omitempty"` // time left until the caller's deadline; 0: no deadline
	Trace   string        `msgpack:"p,omitempty"` // W3C traceparent of the caller
	Cancel  bool          `msgpack:"x,omitempty"` // cancels the call with this ID
	Body    []byte        `msgpack:"b,omitempty"`
	Err     *errs.Error   `msgpack:"e,omitempty"`
}

// writeFrame writes a frame with its length prefix in a single Write.
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

// growth is called before further memory is used for a frame in arrival; nil: no bound.
type growth func(n int) error

// readFrame reads one frame. It checks the length prefix against maxFrameBytes, and allocates memory as
// the frame arrives.
func readFrame(r io.Reader, grow growth) (*frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return nil, errors.Errorf("peer sent a frame of %d bytes, which exceeds the limit of %d bytes", n, maxFrameBytes)
	}
	body, err := readGrowing(r, int(n), grow)
	if err != nil {
		return nil, err
	}
	f := new(frame)
	if err := msgpack.Unmarshal(body, f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return f, nil
}

// firstFrameBytes is the size up to which a frame is allocated at once and not accounted.
const firstFrameBytes = 16 << 10

// readGrowing reads n bytes into memory that doubles as they arrive.
func readGrowing(r io.Reader, n int, grow growth) ([]byte, error) {
	body := make([]byte, min(n, firstFrameBytes))
	for have := 0; ; {
		if len(body) > firstFrameBytes || n > firstFrameBytes {
			if err := growBy(grow, len(body)-have); err != nil {
				return nil, err
			}
		}
		if _, err := io.ReadFull(r, body[have:]); err != nil {
			return nil, err
		}
		if have = len(body); have == n {
			return body, nil
		}
		body = append(make([]byte, 0, min(n, 2*have)), body...)[:min(n, 2*have)]
	}
}

func growBy(grow growth, n int) error {
	if grow == nil {
		return nil
	}
	return grow(n)
}
