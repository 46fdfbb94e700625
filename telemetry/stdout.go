package telemetry

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logBufferBytes bounds the size of the lines that are buffered while the reader of
	// standard output is slow.
	logBufferBytes = 256 << 10
	// logFlushInterval is the delay between the first line in the buffer and the write to
	// standard output.
	logFlushInterval = 200 * time.Millisecond
)

// lineBuffer buffers log lines and writes them from its own goroutine. Write never waits for
// the output: a line that does not fit into the buffer is dropped and counted.
type lineBuffer struct {
	out     io.Writer
	dropped metrics.Counter

	mu          sync.Mutex
	pending     []byte        // lines that are not written yet; guarded by mu
	spare       []byte        // buffer that becomes pending at the next Sync; guarded by writeMu
	flushSignal chan struct{} // receives a value when pending gets its first line
	writeMu     sync.Mutex    // held during a write to out
}

func newLineBuffer(out io.Writer, dropped metrics.Counter) *lineBuffer {
	b := &lineBuffer{out: out, dropped: dropped, flushSignal: make(chan struct{}, 1)}
	go b.flushLoop()
	return b
}

// Write adds a line to the buffer, or drops it if the buffer is full.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(p) > logBufferBytes {
		b.mu.Unlock()
		b.dropped.Inc(1)
		return len(p), nil
	}
	wasEmpty := len(b.pending) == 0
	b.pending = append(b.pending, p...)
	b.mu.Unlock()
	if wasEmpty {
		select {
		case b.flushSignal <- struct{}{}:
		default:
		}
	}
	return len(p), nil
}

func (b *lineBuffer) flushLoop() {
	for range b.flushSignal {
		time.Sleep(logFlushInterval)
		_ = b.Sync()
	}
}

// Sync writes the buffered lines to the output.
func (b *lineBuffer) Sync() error {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	b.mu.Lock()
	lines := b.pending
	b.pending = b.spare[:0]
	b.mu.Unlock()
	_, err := b.out.Write(lines)
	b.spare = lines
	return err
}

// NewStdoutLogger returns a JSON logger on standard output and a function that flushes it.
// The logger never blocks; the metric log.dropped counts the lines that it drops.
func NewStdoutLogger(level, process, host string, registry metrics.Registry) (logr.Logger, func()) {
	buf := newLineBuffer(os.Stdout, metrics.GetOrRegisterCounter("log.dropped", registry))
	enc := zapcore.NewJSONEncoder(encoderConfig())
	core := zapcore.NewCore(enc, buf, zapLevel(level))
	log := zapr.NewLogger(zap.New(core)).WithValues("process", process, "host", host)
	return log, func() { _ = buf.Sync() }
}
