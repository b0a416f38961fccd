package server

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/consensus"
	"lapisspread/internal/consensus/node"
	"lapisspread/internal/consensus/storage"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/quotalease"
)

// maxCommandBytes is the maximum size of one log entry.
const maxCommandBytes = api.MaxBodyBytes

// replica holds a server's state of one epoch of the fleet.
type replica struct {
	bootstrap api.BootstrapRequest
	node      *node.Node
	handler   http.Handler // handles Raft messages of the other servers
	state     *stateMachine
	rollouts  rolloutDriver
}

// raftStorePath returns the path of the Raft log of an epoch.
func (s *Server) raftStorePath(epoch uint64) string {
	return filepath.Join(s.config.StateDir, fmt.Sprintf("log-%d.db", epoch))
}

// bootstrapPath returns the path of the file that stores the bootstrap request of an epoch.
func (s *Server) bootstrapPath(epoch uint64) string {
	return filepath.Join(s.config.StateDir, fmt.Sprintf("founding-%d", epoch))
}

// latestBootstrap returns the bootstrap of the highest epoch in the state directory, or nil if there
// is none.
func (s *Server) latestBootstrap() (*api.BootstrapRequest, error) {
	paths, err := filepath.Glob(filepath.Join(s.config.StateDir, "founding-*"))
	if err != nil {
		return nil, err
	}
	var latest *api.BootstrapRequest
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		stored := &api.BootstrapRequest{}
		if err := cbor.Unmarshal(text, stored); err != nil {
			return nil, fmt.Errorf("%s: %w", path, api.MalformedMessageError{Reason: err.Error()})
		}
		if latest == nil || stored.Epoch > latest.Epoch {
			latest = stored
		}
	}
	return latest, nil
}

// bootstrap starts the epoch that an operator requests. Repeating the latest bootstrap changes nothing. Logs of earlier
// epochs stay in the state directory.
func (s *Server) bootstrap(request api.BootstrapRequest) error {
	s.bootstrapMu.Lock()
	defer s.bootstrapMu.Unlock()
	latest, err := s.latestBootstrap()
	if err != nil {
		return err
	}
	if err := s.checkBootstrap(request); err != nil {
		return err
	}
	if latest != nil {
		if sameBootstrap(request, *latest) {
			return nil
		}
		if err := checkSuccessor(request, *latest); err != nil {
			return err
		}
	}
	// Without this the server would still vote in the earlier epoch while the new one starts.
	if earlier := s.replica.Swap(nil); earlier != nil {
		if err := earlier.node.Close(); err != nil {
			return err
		}
	}
	if err := s.storeBootstrap(request); err != nil {
		return err
	}
	s.config.Logger.Info("epoch bootstrapped by an operator", "fleet", request.Fleet, "epoch", request.Epoch)
	return s.startReplica(request)
}

// checkBootstrap rejects a request that is for another fleet or server, or whose epoch or maximum lifetime is not
// positive.
func (s *Server) checkBootstrap(request api.BootstrapRequest) error {
	switch {
	case request.Fleet != s.config.Fleet.Fleet:
		return quotalease.FleetMismatchError{Ours: s.config.Fleet.Fleet, Theirs: request.Fleet}
	case request.ServerID != s.self.ID:
		return storage.NodeMismatchError{Path: s.self.Address, ID: s.self.ID}
	case request.Epoch == 0 || request.MaxLifetimeNanos <= 0:
		reason := fmt.Sprintf("epoch %d, longest %v", request.Epoch, time.Duration(request.MaxLifetimeNanos))
		return quotalease.InvalidCommandError{Reason: reason}
	}
	return nil
}

// sameBootstrap reports whether two bootstraps have the same epoch, maximum lifetime and maximum drift of leases. The
// servers are not compared.
func sameBootstrap(a, b api.BootstrapRequest) bool {
	return a.Epoch == b.Epoch && a.MaxLifetimeNanos == b.MaxLifetimeNanos && a.MaxDrift == b.MaxDrift
}

// checkSuccessor rejects a request that must not follow the latest bootstrap. Its epoch must be higher. Leases of the
// earlier epoch may last as long as its maximum lifetime and drift allow, so these must not decrease.
func checkSuccessor(request, latest api.BootstrapRequest) error {
	if request.Epoch <= latest.Epoch {
		return quotalease.StaleEpochError{Got: request.Epoch, Have: latest.Epoch}
	}
	if request.MaxLifetimeNanos < latest.MaxLifetimeNanos || request.MaxDrift < latest.MaxDrift {
		reason := fmt.Sprintf("longest %v or drift %v is less than held before",
			time.Duration(request.MaxLifetimeNanos), request.MaxDrift)
		return quotalease.InvalidCommandError{Reason: reason}
	}
	return nil
}

// storeBootstrap creates the Raft log of the epoch and then persists the bootstrap request, which makes the epoch the
// latest one.
func (s *Server) storeBootstrap(request api.BootstrapRequest) error {
	path := s.raftStorePath(request.Epoch)
	err := storage.Bootstrap(path, request.Fleet, request.Epoch, request.ServerID, request.ServerIDs)
	if err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	text, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	return writeFileDurably(s.bootstrapPath(request.Epoch), text)
}

// startReplica starts the Raft node of a bootstrapped epoch and notifies the allocator.
func (s *Server) startReplica(bootstrap api.BootstrapRequest) error {
	peers := map[uint64]string{}
	for _, server := range s.config.Fleet.Servers {
		peers[server.ID] = "http://" + server.Address
	}
	state := newStateMachine(s.clock, bootstrap.Epoch)
	silence := quotalease.StartupSilence(time.Duration(bootstrap.MaxLifetimeNanos), bootstrap.MaxDrift)
	raftNode, err := node.Start(node.Config{
		Fleet:        bootstrap.Fleet,
		Epoch:        bootstrap.Epoch,
		ID:           bootstrap.ServerID,
		StorePath:    s.raftStorePath(bootstrap.Epoch),
		Peers:        peers,
		Machine:      state,
		Silence:      silence + s.config.TickInterval,
		TickInterval: s.config.TickInterval,
		Limits:       consensus.Config{MaxCommandBytes: maxCommandBytes},
		Transport:    s.config.Transport,
	})
	if err != nil {
		return err
	}
	s.replica.Store(&replica{bootstrap: bootstrap, node: raftNode, handler: raftNode.Handler(), state: state})
	select {
	case s.replicaChanged <- struct{}{}:
	default: // the allocator has not handled the previous notification yet
	}
	return nil
}

// writeFileDurably replaces a file atomically. When it returns without an error, the new content survives a power
// failure.
func writeFileDurably(path string, text []byte) error {
	temporary := path + ".new"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
