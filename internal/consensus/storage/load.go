package storage

import (
	"encoding/binary"
	"fmt"
	"runtime/debug"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lapisspread/internal/consensus"
)

// load reads and checks all that the store holds.
func (s *Store) load(fleet string, epoch, id uint64) (state consensus.State, err error) {
	defer recoverDamage(s.path, &err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		log := tx.Bucket(logBucket)
		peers := tx.Bucket(peersBucket)
		if meta == nil || log == nil || peers == nil {
			return s.damaged("it lacks a bucket")
		}
		if err := s.loadIdentity(meta, fleet, epoch, id); err != nil {
			return err
		}
		if err := s.loadMeta(meta, &state); err != nil {
			return err
		}
		if err := s.loadLog(log, &state); err != nil {
			return err
		}
		return s.loadPeers(peers, &state)
	})
	return state, err
}

// damaged returns a DamagedError with the formatted reason.
func (s *Store) damaged(format string, args ...any) error {
	return DamagedError{s.path, fmt.Sprintf(format, args...)}
}

// loadIdentity reads the store's identity and version, and checks that the store belongs to the given server.
func (s *Store) loadIdentity(meta *bbolt.Bucket, fleet string, epoch, id uint64) error {
	if err := s.readCBOR(meta, identityKey, &s.identity); err != nil {
		return err
	}
	switch {
	case s.identity.Format > formatVersion:
		return NewerFormatError{s.path, s.identity.Format}
	case s.identity.Fleet != fleet || s.identity.Epoch != epoch:
		return FleetMismatchError{s.path, s.identity.Fleet, s.identity.Epoch}
	case s.identity.ID != id:
		return NodeMismatchError{s.path, s.identity.ID}
	}
	if err := s.readCBOR(meta, versionKey, &s.version); err != nil {
		return err
	}
	if s.version.StoreID != s.identity.StoreID {
		return s.damaged("its stamp is of another store")
	}
	return nil
}

// loadMeta reads the optional records of bucket "meta".
func (s *Store) loadMeta(meta *bbolt.Bucket, state *consensus.State) error {
	if meta.Get(hardStateKey) != nil {
		state.HardState = &pb.HardState{}
		if err := s.readProto(meta, hardStateKey, state.HardState); err != nil {
			return err
		}
	}
	if meta.Get(snapshotKey) != nil {
		state.Snapshot = &pb.Snapshot{}
		if err := s.readProto(meta, snapshotKey, state.Snapshot); err != nil {
			return err
		}
	}
	if meta.Get(truncationSilenceKey) != nil {
		if err := s.readCBOR(meta, truncationSilenceKey, &state.TruncationSilence); err != nil {
			return err
		}
	}
	if meta.Get(acknowledgedIndexKey) != nil {
		return s.readCBOR(meta, acknowledgedIndexKey, &state.AcknowledgedIndex)
	}
	return nil
}

// loadLog reads the entries, which must follow the snapshot and each other without a gap and reach the commit index.
func (s *Store) loadLog(log *bbolt.Bucket, state *consensus.State) error {
	next := uint64(1)
	if state.Snapshot != nil {
		next = state.Snapshot.GetMetadata().GetIndex() + 1
	}
	err := log.ForEach(func(key, _ []byte) error {
		entry := &pb.Entry{}
		if err := s.readProto(log, key, entry); err != nil {
			return err
		}
		if len(key) != numberKeyBytes || binary.BigEndian.Uint64(key) != next || entry.GetIndex() != next {
			return s.damaged("entry %d stands where %d belongs", entry.GetIndex(), next)
		}
		next++
		state.Entries = append(state.Entries, entry)
		return nil
	})
	if err != nil {
		return err
	}
	if state.HardState.GetCommit() >= next {
		return s.damaged("entry %d was committed, the last is %d", state.HardState.GetCommit(), next-1)
	}
	return nil
}

// loadPeers reads the store versions of other servers.
func (s *Store) loadPeers(peers *bbolt.Bucket, state *consensus.State) error {
	state.PeerVersions = map[uint64]consensus.StoreVersion{}
	return peers.ForEach(func(key, _ []byte) error {
		var version consensus.StoreVersion
		if err := s.readCBOR(peers, key, &version); err != nil {
			return err
		}
		if len(key) != numberKeyBytes {
			return s.damaged("a peer's number of %d bytes", len(key))
		}
		state.PeerVersions[binary.BigEndian.Uint64(key)] = version
		return nil
	})
}

func (s *Store) readCBOR(bucket *bbolt.Bucket, key []byte, value any) error {
	return s.readRecord(bucket, key, func(data []byte) error { return cbor.Unmarshal(data, value) })
}

func (s *Store) readProto(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	return s.readRecord(bucket, key, func(data []byte) error { return proto.Unmarshal(data, message) })
}

// readRecord verifies and decodes a record that must exist. Any error is a DamagedError.
func (s *Store) readRecord(bucket *bbolt.Bucket, key []byte, decode func([]byte) error) error {
	record := bucket.Get(key)
	if record == nil {
		return s.damaged("it has no %s", key)
	}
	value, ok := verifyRecord(key, record)
	if !ok {
		return s.damaged("the sum of record %q is wrong", key)
	}
	if err := decode(value); err != nil {
		return s.damaged("record %q: %v", key, err)
	}
	return nil
}
