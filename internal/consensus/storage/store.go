// Package storage keeps a steward's part of the log on disk, in a bbolt file: pages are copied on write, a batch is one transaction and
// one flush, and a torn write leaves the state before it. bbolt sums its two meta pages alone, so each record has an xxh3 sum
// of its key and value before it.
//
// The log is read once, when the store is opened: it is bounded by the snapshots, and raft reads it from memory. Buckets: "meta" with
// identity, stamp, hard state, snapshot, how far it has confirmed and whether a silence after a cut goes on; "log" with entries by index
// (8 bytes, big endian); "peers" with the stamps of others.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"os"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lapisspread/internal/consensus"
)

const (
	formatVersion = 1
	lockTimeout   = 3 * time.Second // for another process to let go of the file
)

var (
	metaBucket           = []byte("meta")
	logBucket            = []byte("log")
	peersBucket          = []byte("peers")
	identityKey          = []byte("identity")
	versionKey           = []byte("stamp")
	hardStateKey         = []byte("hard")
	snapshotKey          = []byte("snapshot")
	truncationSilenceKey = []byte("cut")
	acknowledgedIndexKey = []byte("sure")
)

// Identity says whose store it is.
type Identity struct {
	Format  uint64 `cbor:"Format"`
	Fleet   string `cbor:"Fleet"`
	Epoch   uint64 `cbor:"Epoch"` // of the fleet's founding
	ID      uint64 `cbor:"ID"`    // of the steward
	StoreID uint64 `cbor:"Store"` // drawn by chance when it was made
}

// Store is an open file. One caller at a time.
type Store struct {
	db       *bbolt.DB
	path     string
	identity Identity
	version  consensus.StoreVersion
	deferred consensus.Batch // of what may wait: goes with the next that may not
}

// Bootstrap makes the store of a member of a new fleet, or of a fleet that is founded anew under a higher epoch: each of its members
// does, with the same members. It is an operator's word. A file that is there already is an error.
func Bootstrap(path, fleet string, epoch, id uint64, members []uint64) error {
	is := false
	for _, m := range members {
		is = is || m == id
	}
	if !is {
		return fmt.Errorf("consensus: steward %d is not among the members %v", id, members)
	}
	return create(path, fleet, epoch, id, &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
		ConfState: pb.EnsureConfState(&pb.ConfState{Voters: members}), Index: new(uint64(1)), Term: new(uint64(1))}})
}

// Join makes the empty store of a steward that the fleet will add as a learner, under a number that no steward has had.
func Join(path, fleet string, epoch, id uint64) error { return create(path, fleet, epoch, id, nil) }

func create(path, fleet string, epoch, id uint64, snap *pb.Snapshot) error {
	if id == 0 || fleet == "" {
		return errors.New("consensus: a store needs a fleet's name and a steward's number above 0")
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	if err := f.Close(); err != nil {
		return err
	}
	db, err := openDB(path)
	if err != nil {
		return err
	}
	s := &Store{db: db, path: path, identity: Identity{formatVersion, fleet, epoch, id, randomID()}}
	s.version.StoreID = s.identity.StoreID
	err = s.update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{metaBucket, logBucket, peersBucket} {
			if _, err := tx.CreateBucket(b); err != nil {
				return err
			}
		}
		meta := tx.Bucket(metaBucket)
		errs := []error{putCBOR(meta, identityKey, s.identity), putCBOR(meta, versionKey, s.version)}
		if snap != nil {
			hard := &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
			errs = append(errs, putProto(meta, hardStateKey, hard), putProto(meta, snapshotKey, snap))
		}
		return errors.Join(errs...)
	})
	return errors.Join(err, db.Close())
}

// randomID draws a number above 0.
func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

func openDB(path string) (db *bbolt.DB, err error) {
	defer recoverDamage(path, &err)
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, LockedError{path}
	case errors.Is(err, os.ErrPermission):
		return nil, fmt.Errorf("consensus: %w", err)
	case err != nil:
		return nil, DamagedError{path, err.Error()}
	}
	return db, nil
}

// recoverDamage turns what bbolt panics of into an error: it maps the file, so that one cut short is a fault of memory.
func recoverDamage(path string, err *error) {
	if r := recover(); r != nil {
		*err = DamagedError{path, fmt.Sprint(r)}
	}
}

// Open opens the store of a steward, counts the start, and gives what it holds. The errors: StoreMissing, StoreHeld,
// StoreOfAnotherFleet, StoreOfAnotherNode, StoreNewer, StoreDamaged, DiskFull.
func Open(path, fleet string, epoch, id uint64) (s *Store, state consensus.State, err error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, state, MissingError{path}
	}
	db, err := openDB(path)
	if err != nil {
		return nil, state, err
	}
	s = &Store{db: db, path: path}
	if err = s.load(&state, fleet, epoch, id); err == nil {
		s.version.Incarnation++
		s.version.Nonce = randomID()
		state.Version = s.version
		err = s.update(func(tx *bbolt.Tx) error { return putCBOR(tx.Bucket(metaBucket), versionKey, s.version) })
	}
	if err != nil {
		return nil, consensus.State{}, errors.Join(err, db.Close())
	}
	return s, state, nil
}

func (s *Store) load(state *consensus.State, fleet string, epoch, id uint64) (err error) {
	defer recoverDamage(s.path, &err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	bad := func(format string, args ...any) error { return DamagedError{s.path, fmt.Sprintf(format, args...)} }
	return s.db.View(func(tx *bbolt.Tx) error {
		meta, log, peers := tx.Bucket(metaBucket), tx.Bucket(logBucket), tx.Bucket(peersBucket)
		if meta == nil || log == nil || peers == nil {
			return bad("it lacks a bucket")
		}
		get := func(b *bbolt.Bucket, k []byte, take func([]byte) error) error {
			v := b.Get(k)
			if v == nil {
				return bad("it has no %s", k)
			}
			if v, ok := verifyRecord(k, v); !ok {
				return bad("the sum of record %q is wrong", k)
			} else if err := take(v); err != nil {
				return bad("record %q: %v", k, err)
			}
			return nil
		}
		into := func(v any) func([]byte) error { return func(b []byte) error { return cbor.Unmarshal(b, v) } }
		intoProto := func(m proto.Message) func([]byte) error {
			return func(b []byte) error { return proto.Unmarshal(b, m) }
		}
		if err := get(meta, identityKey, into(&s.identity)); err != nil {
			return err
		}
		switch w := s.identity; {
		case w.Format > formatVersion:
			return NewerFormatError{s.path, w.Format}
		case w.Fleet != fleet || w.Epoch != epoch:
			return FleetMismatchError{s.path, w.Fleet, w.Epoch}
		case w.ID != id:
			return NodeMismatchError{s.path, w.ID}
		}
		if err := get(meta, versionKey, into(&s.version)); err != nil {
			return err
		}
		if s.version.StoreID != s.identity.StoreID {
			return bad("its stamp is of another store")
		}
		if meta.Get(hardStateKey) != nil {
			state.HardState = &pb.HardState{}
			if err := get(meta, hardStateKey, intoProto(state.HardState)); err != nil {
				return err
			}
		}
		for k, v := range map[string]any{string(truncationSilenceKey): &state.TruncationSilence, string(acknowledgedIndexKey): &state.AcknowledgedIndex} {
			if meta.Get([]byte(k)) != nil {
				if err := get(meta, []byte(k), into(v)); err != nil {
					return err
				}
			}
		}
		next := uint64(1)
		if meta.Get(snapshotKey) != nil {
			state.Snapshot = &pb.Snapshot{}
			if err := get(meta, snapshotKey, intoProto(state.Snapshot)); err != nil {
				return err
			}
			next = state.Snapshot.GetMetadata().GetIndex() + 1
		}
		err := log.ForEach(func(k, _ []byte) error {
			e := &pb.Entry{}
			if err := get(log, k, intoProto(e)); err != nil {
				return err
			}
			if len(k) != 8 || binary.BigEndian.Uint64(k) != next || e.GetIndex() != next {
				return bad("entry %d stands where %d belongs", e.GetIndex(), next)
			}
			next++
			state.Entries = append(state.Entries, e)
			return nil
		})
		if err != nil {
			return err
		}
		if state.HardState.GetCommit() >= next {
			return bad("entry %d was committed, the last is %d", state.HardState.GetCommit(), next-1)
		}
		state.PeerVersions = map[uint64]consensus.StoreVersion{}
		return peers.ForEach(func(k, _ []byte) error {
			var st consensus.StoreVersion
			if err := get(peers, k, into(&st)); err != nil {
				return err
			}
			if len(k) != 8 {
				return bad("a peer's number of %d bytes", len(k))
			}
			state.PeerVersions[binary.BigEndian.Uint64(k)] = st
			return nil
		})
	})
}

// Write puts a batch on disk, whole or not at all: one that says so (Sync), or that has entries or a snapshot, outlives a power failure
// once Write returns nil. Any other waits for the next such, or for Close: raft finds out anew how far the log was committed. After an
// error the store must not be used any more, for it is not known what it holds: StoreDamaged, DiskFull.
func (s *Store) Write(batch *consensus.Batch) error {
	b := *batch
	if b.HardState == nil {
		b.HardState = s.deferred.HardState
	}
	if b.TruncationSilence == nil {
		b.TruncationSilence = s.deferred.TruncationSilence
	}
	if len(s.deferred.PeerVersions) > 0 {
		peers := maps.Clone(s.deferred.PeerVersions)
		maps.Copy(peers, b.PeerVersions)
		b.PeerVersions = peers
	}
	if !b.Sync && len(b.Entries) == 0 && b.Snapshot == nil {
		s.deferred = b
		return nil
	}
	s.deferred = consensus.Batch{}
	return s.commit(&b)
}

func (s *Store) commit(b *consensus.Batch) error {
	s.version.WriteSeq = b.WriteSeq
	return s.update(func(tx *bbolt.Tx) error {
		meta, log, peers := tx.Bucket(metaBucket), tx.Bucket(logBucket), tx.Bucket(peersBucket)
		if err := putCBOR(meta, versionKey, s.version); err != nil {
			return err
		}
		if b.HardState != nil {
			if err := putProto(meta, hardStateKey, b.HardState); err != nil {
				return err
			}
		}
		if b.AcknowledgedIndex > 0 {
			if err := putCBOR(meta, acknowledgedIndexKey, b.AcknowledgedIndex); err != nil {
				return err
			}
		}
		if b.TruncationSilence != nil {
			if err := putCBOR(meta, truncationSilenceKey, *b.TruncationSilence); err != nil {
				return err
			}
		}
		if b.Snapshot != nil {
			if err := putProto(meta, snapshotKey, b.Snapshot); err != nil {
				return err
			}
			c := log.Cursor()
			for k, _ := c.First(); k != nil && (b.ReplaceLog || binary.BigEndian.Uint64(k) <= b.Snapshot.GetMetadata().GetIndex()); k, _ = c.First() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		if len(b.Entries) > 0 {
			c := log.Cursor()
			for k, _ := c.Last(); k != nil && binary.BigEndian.Uint64(k) >= b.Entries[0].GetIndex(); k, _ = c.Last() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		for _, e := range b.Entries {
			if err := putProto(log, binary.BigEndian.AppendUint64(nil, e.GetIndex()), e); err != nil {
				return err
			}
		}
		for id, st := range b.PeerVersions {
			if err := putCBOR(peers, binary.BigEndian.AppendUint64(nil, id), st); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Store) update(f func(*bbolt.Tx) error) (err error) {
	defer recoverDamage(s.path, &err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	err = s.db.Update(f)
	if err != nil {
		for _, full := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
			// bbolt hands on what it is told when the file is to grow as text alone.
			if errors.Is(err, full) || strings.Contains(err.Error(), full.Error()) {
				return DiskFullError{s.path, err}
			}
		}
		return fmt.Errorf("consensus: writing %s: %w", s.path, err)
	}
	return nil
}

// Identity is whose store it is.
func (s *Store) Identity() Identity { return s.identity }

// Close writes what waited, and ends the store.
func (s *Store) Close() error {
	var err error
	if !s.deferred.Empty() {
		s.deferred.WriteSeq = s.version.WriteSeq
		err = s.commit(&s.deferred)
	}
	return errors.Join(err, s.db.Close())
}

func checksum(k, v []byte) uint64 {
	h := xxh3.New()
	_, _ = h.Write(k)
	_, _ = h.Write(v)
	return h.Sum64()
}

func putRecord(b *bbolt.Bucket, k, v []byte) error {
	return b.Put(k, append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(v)), checksum(k, v)), v...))
}

func verifyRecord(k, v []byte) ([]byte, bool) {
	if len(v) < 8 || binary.BigEndian.Uint64(v) != checksum(k, v[8:]) {
		return nil, false
	}
	return append([]byte{}, v[8:]...), true // bbolt's bytes do not outlive the transaction
}

func putCBOR(b *bbolt.Bucket, k []byte, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return putRecord(b, k, data)
}

func putProto(b *bbolt.Bucket, k []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return putRecord(b, k, data)
}
