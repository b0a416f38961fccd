package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"

	"lapisspread/internal/consensus"
)

const (
	// formatVersion is the newest format of a store that this program can read, and the one that it writes.
	formatVersion = 1
	// lockTimeout is how long Open waits for another process to release its lock on the file.
	lockTimeout = 3 * time.Second
	// fileMode lets only the file's owner read and write a store.
	fileMode = 0o600
)

// Identity names the server that a store belongs to. It never changes.
type Identity struct {
	// Format is the version of the format of the records.
	Format uint64 `cbor:"Format"`
	Fleet  string `cbor:"Fleet"`
	// Epoch counts the bootstraps of the fleet.
	Epoch uint64 `cbor:"Epoch"`
	// ID is the server's ID in the fleet, above 0.
	ID uint64 `cbor:"ID"`
	// StoreID is a random number, drawn when the store was created.
	StoreID uint64 `cbor:"Store"`
}

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	db       *bbolt.DB
	path     string
	identity Identity
	version  consensus.StoreVersion
	deferred consensus.Batch // merged batches that need no flush; written with the next one that does
}

// Bootstrap creates the store of a member of a new fleet, or of a fleet that starts over under a higher epoch. It is
// called at an operator's command, on each member with the same list of members. If the file exists already, the error
// wraps os.ErrExist.
func Bootstrap(path, fleet string, epoch, id uint64, members []uint64) error {
	if !slices.Contains(members, id) {
		return fmt.Errorf("consensus: steward %d is not among the members %v", id, members)
	}
	return create(path, fleet, epoch, id, &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
		ConfState: pb.EnsureConfState(&pb.ConfState{Voters: members}),
		Index:     new(uint64(1)),
		Term:      new(uint64(1)),
	}})
}

// Join creates the empty store of a server that the fleet will add as a learner, under an ID that no server has had. If
// the file exists already, the error wraps os.ErrExist.
func Join(path, fleet string, epoch, id uint64) error { return create(path, fleet, epoch, id, nil) }

// create creates a store. Without a snapshot the store has no members.
func create(path, fleet string, epoch, id uint64, snapshot *pb.Snapshot) error {
	if id == 0 || fleet == "" {
		return errors.New("consensus: a store needs a fleet's name and a steward's number above 0")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	if err := file.Close(); err != nil {
		return err
	}
	db, err := openDB(path)
	if err != nil {
		return err
	}
	s := &Store{db: db, path: path, identity: Identity{formatVersion, fleet, epoch, id, randomID()}}
	s.version.StoreID = s.identity.StoreID
	err = s.update(func(tx *bbolt.Tx) error { return s.writeInitialRecords(tx, snapshot) })
	return errors.Join(err, db.Close())
}

// writeInitialRecords creates the buckets and writes the records of a new store.
func (s *Store) writeInitialRecords(tx *bbolt.Tx, snapshot *pb.Snapshot) error {
	for _, name := range [][]byte{metaBucket, logBucket, peersBucket} {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	meta := tx.Bucket(metaBucket)
	errs := []error{putCBOR(meta, identityKey, s.identity), putCBOR(meta, versionKey, s.version)}
	if snapshot != nil {
		hardState := &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
		errs = append(errs, putProto(meta, hardStateKey, hardState), putProto(meta, snapshotKey, snapshot))
	}
	return errors.Join(errs...)
}

// randomID returns a random odd number, so that it is never 0.
func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Open opens the store of a server, counts the start, and returns the contents of the store. The errors are
// MissingError, LockedError, FleetMismatchError, NodeMismatchError, NewerFormatError, DamagedError, DiskFullError,
// and an error that wraps os.ErrPermission if the file may not be read. It waits up to lockTimeout (3 s) for another
// process to close the store.
func Open(path, fleet string, epoch, id uint64) (*Store, consensus.State, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, consensus.State{}, MissingError{path}
	}
	db, err := openDB(path)
	if err != nil {
		return nil, consensus.State{}, err
	}
	s := &Store{db: db, path: path}
	state, err := s.load(fleet, epoch, id)
	if err == nil {
		state.Version, err = s.countStart()
	}
	if err != nil {
		return nil, consensus.State{}, errors.Join(err, db.Close())
	}
	return s, state, nil
}

// countStart increments the number of starts in the store's version, draws the nonce of this start, and writes both to
// disk.
func (s *Store) countStart() (consensus.StoreVersion, error) {
	s.version.Incarnation++
	s.version.Nonce = randomID()
	err := s.update(func(tx *bbolt.Tx) error { return putCBOR(tx.Bucket(metaBucket), versionKey, s.version) })
	return s.version, err
}

func openDB(path string) (db *bbolt.DB, err error) {
	defer recoverDamage(path, &err)
	db, err = bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
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

// recoverDamage turns a panic of bbolt into a DamagedError. bbolt maps the file into memory, so reading a truncated
// file causes a memory fault. The caller enables debug.SetPanicOnFault where that may happen.
func recoverDamage(path string, err *error) {
	if r := recover(); r != nil {
		*err = DamagedError{path, fmt.Sprint(r)}
	}
}

// update runs a read-write transaction. An error for lack of disk space is a DiskFullError.
func (s *Store) update(f func(*bbolt.Tx) error) (err error) {
	defer recoverDamage(s.path, &err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	err = s.db.Update(f)
	switch {
	case err == nil:
		return nil
	case isDiskFull(err):
		return DiskFullError{s.path, err}
	default:
		return fmt.Errorf("consensus: writing %s: %w", s.path, err)
	}
}

// isDiskFull reports whether a write failed for lack of disk space. When bbolt can't grow its file, its error holds
// only the text of the system's error, so the text is compared too.
func isDiskFull(err error) bool {
	for _, cause := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, cause) || strings.Contains(err.Error(), cause.Error()) {
			return true
		}
	}
	return false
}

// Identity returns the store's identity.
func (s *Store) Identity() Identity { return s.identity }

// Close writes the deferred batches and closes the file. The errors are those of Write and of closing the file.
func (s *Store) Close() error {
	var err error
	if !s.deferred.Empty() {
		s.deferred.WriteSeq = s.version.WriteSeq
		err = s.commit(&s.deferred)
	}
	return errors.Join(err, s.db.Close())
}
