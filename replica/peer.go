package replica

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/wire"
)

const (
	// maxQueuedMessages and maxQueuedBytes bound the queue of messages to a slow member.
	// Further messages are dropped; the core retries them.
	maxQueuedMessages = 16384
	maxQueuedBytes    = 64 << 20
	// maxBatchBytes bounds the messages in one frame, which stays well below the frame limit
	// of package wire.
	maxBatchBytes = 8 << 20
	// sendTimeout is the time limit for sending one batch.
	sendTimeout = time.Second
	// messageOverhead is the approximate size of a message without its payload, in bytes.
	messageOverhead = 128
)

// groupMessage is a message between cores with the number of their group.
type groupMessage struct {
	Group   uint32
	Message raft.Message
}

// batch is the content of one frame of the wire method "raft".
type batch struct {
	Cluster  uint64
	Messages []groupMessage
}

// peer is the connection to one other member, with a queue of messages and the last hello
// reply.
type peer struct {
	settings.Member
	tlsConf *tls.Config
	log     logr.Logger

	mu          sync.Mutex
	client      *wire.Client
	queue       []groupMessage
	queuedBytes int
	lastHello   helloReply
	lastHelloAt time.Time // zero: no reply yet
	addedAt     time.Time
	stop        context.CancelFunc
	wake        chan struct{}
}

func newPeer(m settings.Member, tlsConf *tls.Config, log logr.Logger) *peer {
	return &peer{
		Member:  m,
		tlsConf: tlsConf,
		log:     log.WithValues("peer", m.ID),
		client:  wire.NewClient(m.Address, tlsConf),
		addedAt: time.Now(),
		wake:    make(chan struct{}, 1),
	}
}

// messageSize returns the approximate encoded size of a message in bytes.
func messageSize(m *raft.Message) int {
	n := messageOverhead
	for i := range m.Entries {
		n += messageOverhead/4 + len(m.Entries[i].Data)
	}
	if m.Snap != nil {
		n += len(m.Snap.Data)
	}
	return n
}

// send queues messages without blocking. Messages that do not fit in the queue are dropped.
func (p *peer) send(messages ...groupMessage) {
	p.mu.Lock()
	for i := range messages {
		size := messageSize(&messages[i].Message)
		if len(p.queue) >= maxQueuedMessages || p.queuedBytes+size > maxQueuedBytes {
			break
		}
		p.queue = append(p.queue, messages[i])
		p.queuedBytes += size
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// takeBatch removes and returns messages of up to maxBatchBytes, at least one if the queue is
// not empty.
func (p *peer) takeBatch() []groupMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, size := 0, 0
	for n < len(p.queue) {
		s := messageSize(&p.queue[n].Message)
		if n > 0 && size+s > maxBatchBytes {
			break
		}
		size += s
		n++
	}
	out := p.queue[:n:n]
	p.queue = p.queue[n:]
	p.queuedBytes -= size
	return out
}

// run sends queued messages until ctx ends. cluster returns the current id of the cluster.
func (p *peer) run(ctx context.Context, cluster func() uint64) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for messages := p.takeBatch(); len(messages) > 0; messages = p.takeBatch() {
			p.sendBatch(ctx, batch{Cluster: cluster(), Messages: messages})
		}
	}
}

func (p *peer) sendBatch(ctx context.Context, b batch) {
	body, err := raft.Encode(b)
	if err != nil {
		p.log.Error(err, "encoding messages failed")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := p.currentClient().Send(ctx, methodRaft, body); err != nil {
		p.log.V(1).Info("sending messages failed", "error", err.Error())
	}
}

func (p *peer) currentClient() *wire.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client
}

// reconnect replaces the connection, unless another call has done so. A connection whose
// packets are dropped silently would otherwise recover only after TCP's retransmission
// timeout, which grows to minutes.
func (p *peer) reconnect(old *wire.Client) {
	p.mu.Lock()
	if p.client == old {
		p.client = wire.NewClient(p.Address, p.tlsConf)
	}
	p.mu.Unlock()
	old.Close()
}

func (p *peer) close() { p.currentClient().Close() }

// recentHello returns the last hello reply and whether it is at most maxAge old.
func (p *peer) recentHello(maxAge time.Duration) (helloReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastHello, !p.lastHelloAt.IsZero() && time.Since(p.lastHelloAt) <= maxAge
}
