package storage

import (
	"encoding/binary"
	"maps"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"

	"lapisspread/internal/consensus"
)

// Write writes a batch atomically. A batch with Sync, entries or a snapshot is flushed to disk and survives a power
// failure once Write returns nil. Any other batch is deferred until the next flush or Close, since Raft determines
// the commit index again if it is lost.
//
// The errors are DamagedError, DiskFullError, and other errors of the file. After an error the contents of the store
// are unknown, and the store must not be used any more.
func (s *Store) Write(batch *consensus.Batch) error {
	merged := s.withDeferred(batch)
	if !merged.Sync && len(merged.Entries) == 0 && merged.Snapshot == nil {
		s.deferred = merged
		return nil
	}
	s.deferred = consensus.Batch{}
	return s.commit(&merged)
}

// withDeferred returns the batch merged with the deferred ones; where both have a value, that of the batch wins.
// Deferred batches have no entries, no snapshot and no AcknowledgedIndex: Core sets the last only with Sync.
func (s *Store) withDeferred(batch *consensus.Batch) consensus.Batch {
	merged := *batch
	if merged.HardState == nil {
		merged.HardState = s.deferred.HardState
	}
	if merged.TruncationSilence == nil {
		merged.TruncationSilence = s.deferred.TruncationSilence
	}
	if len(s.deferred.PeerVersions) > 0 {
		merged.PeerVersions = maps.Clone(s.deferred.PeerVersions)
		maps.Copy(merged.PeerVersions, batch.PeerVersions)
	}
	return merged
}

// commit writes a batch in one transaction.
func (s *Store) commit(batch *consensus.Batch) error {
	s.version.WriteSeq = batch.WriteSeq
	return s.update(func(tx *bbolt.Tx) error {
		if err := s.writeMeta(tx.Bucket(metaBucket), batch); err != nil {
			return err
		}
		if err := writeLog(tx.Bucket(logBucket), batch); err != nil {
			return err
		}
		peers := tx.Bucket(peersBucket)
		for id, version := range batch.PeerVersions {
			if err := putCBOR(peers, numberKey(id), version); err != nil {
				return err
			}
		}
		return nil
	})
}

// writeMeta writes the records of bucket "meta" that the batch has.
func (s *Store) writeMeta(meta *bbolt.Bucket, batch *consensus.Batch) error {
	if err := putCBOR(meta, versionKey, s.version); err != nil {
		return err
	}
	if batch.HardState != nil {
		if err := putProto(meta, hardStateKey, batch.HardState); err != nil {
			return err
		}
	}
	if batch.AcknowledgedIndex > 0 {
		if err := putCBOR(meta, acknowledgedIndexKey, batch.AcknowledgedIndex); err != nil {
			return err
		}
	}
	if batch.TruncationSilence != nil {
		if err := putCBOR(meta, truncationSilenceKey, *batch.TruncationSilence); err != nil {
			return err
		}
	}
	if batch.Snapshot != nil {
		return putProto(meta, snapshotKey, batch.Snapshot)
	}
	return nil
}

// writeLog deletes the entries that a snapshot or newer entries replace, and adds the new entries.
func writeLog(log *bbolt.Bucket, batch *consensus.Batch) error {
	if batch.Snapshot != nil {
		if err := deleteUpTo(log, batch.Snapshot.GetMetadata().GetIndex(), batch.ReplaceLog); err != nil {
			return err
		}
	}
	if len(batch.Entries) == 0 {
		return nil
	}
	if err := deleteFrom(log, batch.Entries[0].GetIndex()); err != nil {
		return err
	}
	return putEntries(log, batch.Entries)
}

// deleteUpTo deletes the entries up to and including an index, or all entries.
func deleteUpTo(log *bbolt.Bucket, index uint64, all bool) error {
	cursor := log.Cursor()
	for key, _ := cursor.First(); key != nil; key, _ = cursor.First() {
		if !all && binary.BigEndian.Uint64(key) > index {
			return nil
		}
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteFrom deletes the entries from an index on.
func deleteFrom(log *bbolt.Bucket, index uint64) error {
	cursor := log.Cursor()
	for key, _ := cursor.Last(); key != nil && binary.BigEndian.Uint64(key) >= index; key, _ = cursor.Last() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func putEntries(log *bbolt.Bucket, entries []*pb.Entry) error {
	for _, entry := range entries {
		if err := putProto(log, numberKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}
