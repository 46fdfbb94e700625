package bodystore

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/semaphore"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/internal/indexheap"
	"github.com/figlb/figlb/wal"
)

const (
	// minKeep is the least time for which a body is kept without asking the ledger. It covers the time
	// from the storage of a body until its turn is settled.
	minKeep = 30 * time.Second
	// writeLimitPercent is the part of the disk above which bodies are refused. The rest is for the
	// rewriting of live bodies, up to rewriteLimitPercent, and for the file system.
	writeLimitPercent   = 80
	rewriteLimitPercent = 95
	// Bounds of the bytes of bodies in memory. A body is held about three times while a message is
	// encoded or decoded, so together they stay below 80 MB, which only bodies of several MB reach.
	putBudget  = 12 << 20
	getBudget  = 8 << 20
	sendBudget = 4 << 20
	// maxReplyBytes ends a reply with bodies. It is well below the 8 MB that callers expect at most, so
	// that several callers are served at the same time.
	maxReplyBytes = 2 << 20
	maxReplyKeys  = 1000
	// maxWaitingGets is the number of reads that wait for memory before further ones are refused.
	maxWaitingGets = 256
	// failureDelay is the time after a failed write or sync before the next attempt.
	failureDelay = time.Second
)

// Options configures a store.
type Options struct {
	Dir  string // created if needed
	Name string // of the host, as in fleet.Store
	// DiskBytes is the size of the disk; 0: unknown, nothing is refused for lack of space.
	DiskBytes int64
	Log       logr.Logger
	FS        wal.FS // defaults to wal.OS
	// Now is the clock of retentions; it defaults to clock.Now.
	Now func() time.Duration
}

// Store holds bodies in a directory. It is safe for concurrent use.
type Store struct {
	opt   Options
	wake  chan struct{} // signals the writer that the queue is not empty
	quit  chan struct{} // closed by Close
	wg    sync.WaitGroup
	gets  *semaphore.Weighted // getBudget
	sends *semaphore.Weighted // sendBudget

	mu          sync.Mutex // guards all fields below
	closed      bool
	incarnation string
	index       map[string]*entry
	expiry      indexheap.Heap[*entry]
	segments    map[uint64]*segment
	lastSeq     uint64
	used        int64 // bytes of all segments
	tracker     tracker
	queue       []*write
	queued      int64 // bytes of bodies that have been accepted and not been answered
	puts        int   // number of these bodies, without rewritten ones
	waitingGets int
	full        bool
	failedUntil time.Duration    // no write is attempted before; 0: the last write succeeded
	grants      map[string]grant // bodies that another store has been asked to send, by key
	nextSend    time.Duration    // see paceSend
	stats       Stats
}

// Stats counts what a store has done since it was opened.
type Stats struct {
	Stored    uint64 // bodies stored, without rewritten ones
	Refused   uint64 // bodies refused
	Failures  uint64 // batches that could not be written or synced
	Sent      uint64 // bodies sent to other stores
	Dropped   uint64 // bodies dropped because other stores hold them
	Expired   uint64 // bodies removed after the ledger has forgotten them
	Rewritten uint64 // live bodies moved to another segment
	Damaged   uint64 // bodies that could not be read back
}

// write is a body in the writer's queue.
type write struct {
	rec  record
	move *entry // the entry of a body that is rewritten; nil: a new body
	done chan error
}

// Open opens a store. It returns only what has been synced: if a sync fails, it returns an error and can be
// called again.
func Open(opt Options) (*Store, error) {
	if opt.FS == nil {
		opt.FS = wal.OS{}
	}
	if opt.Now == nil {
		opt.Now = clock.Now
	}
	s := &Store{
		opt:      opt,
		wake:     make(chan struct{}, 1),
		quit:     make(chan struct{}),
		gets:     semaphore.NewWeighted(getBudget),
		sends:    semaphore.NewWeighted(sendBudget),
		index:    map[string]*entry{},
		segments: map[uint64]*segment{},
		tracker:  tracker{self: opt.Name},
		grants:   map[string]grant{},
	}
	if err := s.load(); err != nil {
		s.closeFiles()
		return nil, err
	}
	s.wg.Go(s.runWriter)
	return s, nil
}

// Close ends the writer. Queued bodies are refused. The context of Run has to be cancelled before.
func (s *Store) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.quit)
	}
	s.mu.Unlock()
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeFiles()
}

func (s *Store) closeFiles() {
	for _, seg := range s.segments {
		_ = seg.file.Close()
	}
}

// SetView replaces the view by which bodies are placed.
func (s *Store) SetView(view *fleet.StoreView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tracker.setView(view, s.index) {
		s.opt.Log.Info("view of the stores changed", "revision", view.Revision, "stores", len(view.Stores), "copies", view.Copies,
			"member", s.tracker.member, "retiring", s.tracker.retiring, "bodies", len(s.index))
	}
}

// Report returns what the leader is told with a poll.
func (s *Store) Report(address string) *fleet.StoreReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &fleet.StoreReport{
		Address: address, Incarnation: s.incarnation, DiskMB: int(s.opt.DiskBytes >> 20), UsedMB: int(s.used >> 20),
		Writable: s.writable(), Bodies: len(s.index), Remaining: len(s.index) + s.puts,
	}
	if s.tracker.view != nil {
		r.Remaining, r.ViewRevision = s.tracker.unsettled+s.puts, s.tracker.view.Revision
	}
	return r
}

// Stats returns the counters of the store.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Put stores a body. It returns once the body is durable. A body that is stored already is not written
// again.
func (s *Store) Put(ctx context.Context, body *fleet.BodyPut) (*fleet.BodyPutReply, error) {
	rec := record{key: body.Key, storedAt: time.Now(), retention: body.Retention, input: body.Input, output: body.Output}
	if rec.key == "" || len(rec.key) > maxKeyBytes || len(rec.input)+len(rec.output) > maxBodyBytes {
		return nil, errs.New(errs.BadRequest, "keep the turn in the ledger",
			"a body needs a key of at most %d bytes and a content of at most %d bytes", maxKeyBytes, maxBodyBytes)
	}
	w, err := s.enqueue(rec)
	if err != nil {
		return nil, err
	}
	if w != nil {
		select {
		case err := <-w.done:
			if err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, ctx.Err() // the body may be stored nevertheless
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &fleet.BodyPutReply{Incarnation: s.incarnation, View: s.tracker.digest}, nil
}

// enqueue queues a new body for the writer. It returns nil if the body is stored already.
func (s *Store) enqueue(rec record) (*write, error) {
	checksum := rec.checksum()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Now()
	if e := s.index[rec.key]; e != nil && e.checksum == checksum {
		s.keep(e, now+max(rec.retention, minKeep))
		return nil, nil
	}
	if err := s.refusal(rec.bytes()); err != nil {
		s.stats.Refused++
		return nil, err
	}
	w := &write{rec: rec, done: make(chan error, 1)}
	s.puts++
	s.push(w)
	return w, nil
}

// push adds a write to the queue. The caller holds mu.
func (s *Store) push(w *write) {
	s.queued += w.rec.bytes()
	s.queue = append(s.queue, w)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// refusal returns why a body of a size is not taken, or nil. The caller holds mu.
func (s *Store) refusal(size int64) error {
	switch {
	case s.closed:
		return errs.New(errs.Unavailable, "use another store", "store %s is stopping", s.opt.Name)
	case s.tracker.retiring:
		return errs.New(errs.Draining, "use another store", "store %s is being retired", s.opt.Name)
	case s.queued+size > putBudget:
		return errs.New(errs.Overloaded, "use another store", "store %s has %d bytes of bodies to write", s.opt.Name, s.queued)
	case s.opt.Now() < s.failedUntil:
		return s.failedError()
	case s.opt.DiskBytes > 0 && s.used+s.queued+size > s.writeLimit():
		s.setFull(true)
		return errs.New(errs.Unavailable, "use another store, or enlarge the disk",
			"the bodies on store %s take %d of %d bytes", s.opt.Name, s.used, s.opt.DiskBytes)
	}
	return nil
}

func (s *Store) failedError() error {
	return errs.New(errs.Unavailable, "use another store, and check the disk", "store %s cannot write", s.opt.Name).WithRetryAfter(failureDelay)
}

func (s *Store) writeLimit() int64 { return s.opt.DiskBytes * writeLimitPercent / 100 }

// writable reports whether the store takes bodies. After it has been full, it takes them again only
// below a lower limit, because each change makes all stores confirm their bodies. The caller holds mu.
func (s *Store) writable() bool {
	if s.full && s.used < s.writeLimit()*9/10 {
		s.setFull(false)
	}
	return !s.full && s.failedUntil == 0
}

// setFull logs and records whether the disk is full. The caller holds mu.
func (s *Store) setFull(full bool) {
	if s.full != full {
		s.opt.Log.Info("space for bodies", "full", full, "used", s.used, "limit", s.writeLimit(), "bodies", len(s.index))
	}
	s.full = full
}

// insert adds a body to the index. It replaces a body with the same key. The caller holds mu.
func (s *Store) insert(rec *record, seg *segment, offset int64, keepUntil time.Duration) {
	if old := s.index[rec.key]; old != nil {
		keepUntil = max(keepUntil, old.keepUntil)
		s.remove(old)
	}
	e := &entry{
		key: rec.key, seg: seg, offset: offset, inputBytes: len(rec.input), outputBytes: len(rec.output),
		checksum: rec.checksum(), retention: rec.retention, keepUntil: keepUntil,
	}
	seg.live += e.bytes()
	s.index[e.key] = e
	heap.Push(&s.expiry, e)
	s.tracker.added(e, s.opt.Now())
	delete(s.grants, e.key)
}

// remove removes a body from the index. Its record stays in the segment, so that the body may return when
// the store is opened again; it is then judged anew. The caller holds mu.
func (s *Store) remove(e *entry) {
	if e.removed {
		return
	}
	e.removed = true
	e.seg.live -= e.bytes()
	delete(s.index, e.key)
	if e.heapIndex != indexheap.NotInHeap {
		heap.Remove(&s.expiry, e.heapIndex)
	}
	s.tracker.removed(e)
}

// keep keeps a body at least until a time without asking the ledger. The caller holds mu.
func (s *Store) keep(e *entry, until time.Duration) {
	if until <= e.keepUntil {
		return
	}
	e.keepUntil = until
	heap.Fix(&s.expiry, e.heapIndex)
}
