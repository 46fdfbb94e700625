package bodies

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

const (
	// putTimeout bounds the storage of a body, and putPatience is the time after which the next store
	// host is asked in place of one that has not answered. A caller tolerates a pause of 250 ms before
	// the end of its stream; a slow store host answers within 50 ms.
	putTimeout  = 600 * time.Millisecond
	putPatience = 150 * time.Millisecond
	// loadTimeout and loadPatience are the same for reading.
	loadTimeout  = time.Second
	loadPatience = 100 * time.Millisecond
	// loadParallel bounds the bodies that are read at once for one turn.
	loadParallel = 8
	// suspectPeriod is how long a store host that has failed or was late is asked after the others.
	suspectPeriod = time.Second
	// formerPeriod is how long a store host that has left the view is still asked for bodies. A wrong
	// view would hide bodies otherwise.
	formerPeriod = time.Minute
	// MinBytes is the size below which a body stays in the ledger: a reference takes as much there.
	MinBytes = 512
	// maxPutBytes and maxLoadBytes bound the bytes held for bodies that are being sent and read. The
	// smallest gateway has 112 MB. Every copy of a body is encoded separately.
	maxPutBytes  = 8 << 20
	maxLoadBytes = 8 << 20
)

var (
	errMissing = errors.New("the store host does not hold the body")
	// ErrBusy is returned if too many bytes are held for other bodies.
	ErrBusy = errors.New("too many bodies are being sent or read")
)

// Client calls store hosts. Its methods return when their context ends.
type Client interface {
	Put(ctx context.Context, address string, body *fleet.BodyPut) error
	Get(ctx context.Context, address string, keys []string) ([]fleet.Body, error)
}

// Storage stores and reads bodies by the newest view of the store hosts. It is safe for concurrent use.
type Storage struct {
	client Client
	// puts and loads hold the bytes of bodies that are being sent and read.
	puts, loads *semaphore.Weighted
	now         func() time.Duration

	mu       sync.Mutex
	view     *fleet.StoreView // nil: none yet
	former   map[string]formerStore
	suspects map[string]time.Duration // until when, by address
}

// formerStore is a store host that has left the view.
type formerStore struct {
	store fleet.Store
	until time.Duration
}

// New returns a storage without a view. now reads the clock.
func New(client Client, now func() time.Duration) *Storage {
	return &Storage{client: client, now: now, puts: semaphore.NewWeighted(maxPutBytes), loads: semaphore.NewWeighted(maxLoadBytes),
		former: map[string]formerStore{}, suspects: map[string]time.Duration{}}
}

// SetView replaces the view.
func (s *Storage) SetView(view *fleet.StoreView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.view != nil {
		for _, old := range s.view.Stores {
			s.former[old.Name] = formerStore{store: old, until: now + formerPeriod}
		}
	}
	for name, f := range s.former {
		if i := slices.IndexFunc(view.Stores, func(v fleet.Store) bool { return v.Name == name }); f.until < now || i >= 0 && view.Stores[i].Address == f.store.Address {
			delete(s.former, name)
		}
	}
	for address, until := range s.suspects {
		if until < now {
			delete(s.suspects, address)
		}
	}
	s.view = view
}

// suspect makes a store host the last choice for suspectPeriod.
func (s *Storage) suspect(store *fleet.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[store.Address] = s.now() + suspectPeriod
}

// isSound reports whether a store host is no suspect. Only sound ones get bodies because others are late:
// if all are late, more copies would make them slower.
func (s *Storage) isSound(store *fleet.Store) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects[store.Address] < s.now()
}

// writers returns the store hosts that take a body, in the order of preference, and the number of copies.
func (s *Storage) writers(key string) ([]fleet.Store, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return nil, 1
	}
	return s.suspectsLast(fleet.Writers(fleet.PlaceBody(key, s.view))), max(s.view.Copies, 1)
}

// readers returns the store hosts that may hold a body, in the order in which they are asked: by its
// placement, then those that have left the view.
func (s *Storage) readers(key string) []fleet.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.Store
	if s.view != nil {
		out = s.suspectsLast(fleet.PlaceBody(key, s.view))
	}
	now := s.now()
	for _, f := range s.former {
		if f.until >= now {
			out = append(out, f.store)
		}
	}
	return out
}

// suspectsLast moves the suspects to the end. The caller holds mu.
func (s *Storage) suspectsLast(places []fleet.Store) []fleet.Store {
	now := s.now()
	rank := func(p fleet.Store) int {
		if s.suspects[p.Address] >= now {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(places, func(a, b fleet.Store) int { return cmp.Compare(rank(a), rank(b)) })
	return places
}

// Reference returns the reference to the body of a turn. The key includes the checksum: an attempt that is
// run again may have another output.
func Reference(org, attempt string, input, output []byte) *ledgersm.BodyRef {
	sum := checksum(input, output)
	key := fleet.BodyKey(org, attempt) + "\x00" + hex.EncodeToString(binary.BigEndian.AppendUint64(nil, sum))
	return &ledgersm.BodyRef{Key: key, Size: int64(len(input) + len(output)), Checksum: sum}
}

func checksum(input, output []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(input) // writes to a hash do not fail
	_, _ = h.Write(output)
	return h.Sum64()
}

// Put stores a body durably on as many store hosts as the view asks for. If it fails, the body has to be
// kept elsewhere; some store hosts may hold it all the same.
func (s *Storage) Put(ctx context.Context, body *fleet.BodyPut) error {
	places, copies := s.writers(body.Key)
	if len(places) < copies {
		return errors.Errorf("%d store hosts take bodies; %d are needed", len(places), copies)
	}
	size := min(int64(len(body.Input)+len(body.Output)), maxPutBytes/int64(copies))
	if !s.puts.TryAcquire(size * int64(copies)) {
		return ErrBusy
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	// The first attempts use what has been acquired above; each returns its part when it ends.
	acquired := make(chan struct{}, copies)
	for range copies {
		acquired <- struct{}{}
	}
	try := func(ctx context.Context, store *fleet.Store) error {
		select {
		case <-acquired:
		default:
			if !s.puts.TryAcquire(size) {
				return ErrBusy
			}
		}
		defer s.puts.Release(size)
		return s.client.Put(ctx, store.Address, body)
	}
	r := race{places: places, need: copies, hedge: s.isSound}
	return r.run(ctx, putPatience, try, s.suspect)
}

// Load returns the history that consists of the given parts. It fails if one of them cannot be read now.
func (s *Storage) Load(ctx context.Context, parts []fleet.HistoryPart) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	size := int64(0)
	for _, p := range parts {
		size += int64(len(p.Inline))
		if p.Ref != nil {
			size += p.Ref.Size
		}
	}
	held := min(2*size, maxLoadBytes) // as received and joined
	if s.loads.Acquire(ctx, held) != nil {
		return nil, ErrBusy
	}
	defer s.loads.Release(held)
	bodies := make([]fleet.Body, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadParallel)
	for i, p := range parts {
		if p.Ref == nil {
			bodies[i].Input = p.Inline
			continue
		}
		group.Go(func() (err error) {
			bodies[i], err = s.get(ctx, p.Ref)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	out := make([]byte, 0, size)
	for _, b := range bodies {
		out = append(append(out, b.Input...), b.Output...)
	}
	return out, nil
}

// get reads one body from the first store host that answers with what the reference describes.
func (s *Storage) get(ctx context.Context, ref *ledgersm.BodyRef) (fleet.Body, error) {
	found := make(chan fleet.Body, 1) // takes the first answer only
	try := func(ctx context.Context, store *fleet.Store) error {
		got, err := s.client.Get(ctx, store.Address, []string{ref.Key})
		if err != nil {
			return err
		}
		if len(got) != 1 || !got[0].Found {
			return errMissing
		}
		b := got[0]
		if int64(len(b.Input)+len(b.Output)) != ref.Size || checksum(b.Input, b.Output) != ref.Checksum {
			return errors.Errorf("store host %s holds %d bytes that differ from the %d bytes of the body", store.Name, len(b.Input)+len(b.Output), ref.Size)
		}
		select {
		case found <- b:
		default:
		}
		return nil
	}
	r := race{places: s.readers(ref.Key), need: 1}
	if err := r.run(ctx, loadPatience, try, s.suspect); err != nil {
		return fleet.Body{}, err
	}
	return <-found, nil
}
