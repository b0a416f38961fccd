package server_test

import (
	"fmt"
	"testing"

	"lapisspread/internal/consensus"
	"lapisspread/internal/consensus/storage"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/controlplane/freshness"
	"lapisspread/internal/controlplane/server"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/routetable"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/staleness"
)

// wireCodes lists the code of each error as the release built from commit c8fad44 sends it.
var wireCodes = []struct {
	err  operatorerror.Error
	code string
}{
	{consensus.LogConflictError{}, "consensus.LogContradicts"},
	{consensus.NoQuorumError{}, "consensus.NotEnoughStewards"},
	{consensus.NotLeaderError{}, "consensus.NotLeader"},
	{consensus.FleetMismatchError{}, "consensus.OtherFleet"},
	{consensus.QueueFullError{}, "consensus.QueueFull"},
	{consensus.SilentError{}, "consensus.Silent"},
	{consensus.StoreRolledBackError{}, "consensus.StoreRolledBack"},
	{consensus.CommandTooLargeError{}, "consensus.TooLarge"},
	{consensus.UndecidedError{}, "consensus.Undecided"},
	{storage.DiskFullError{}, "store.DiskFull"},
	{storage.DamagedError{}, "store.StoreDamaged"},
	{storage.LockedError{}, "store.StoreHeld"},
	{storage.MissingError{}, "store.StoreMissing"},
	{storage.NewerFormatError{}, "store.StoreNewer"},
	{storage.FleetMismatchError{}, "store.StoreOfAnotherFleet"},
	{storage.NodeMismatchError{}, "store.StoreOfAnotherNode"},
	{api.MalformedMessageError{}, "fleet.BadMessage"},
	{api.UnknownServerError{}, "fleet.UnknownSteward"},
	{api.ServerUnreachableError{}, "fleet.Unreachable"},
	{client.WorkerCrashedError{}, "fleetlink.DutyDied"},
	{client.WorkerStalledError{}, "fleetlink.DutyStuck"},
	{client.FloorsNotPersistedError{}, "fleetlink.FloorsNotKept"},
	{client.PolicyNotInstalledError{}, "fleetlink.PolicyNotTaken"},
	{freshness.WorkerDiedError{}, "fleetview.DutyDied"},
	{freshness.WorkerStuckError{}, "fleetview.DutyStuck"},
	{freshness.TooManyListsError{}, "fleetview.TooManyRegisters"},
	{quotalease.InvalidCommandError{}, "grant.BadCommand"},
	{quotalease.FloorClaimedError{}, "grant.FloorTaken"},
	{quotalease.LeaseExpiredError{}, "grant.GrantEnded"},
	{quotalease.UnknownQuotaError{}, "grant.NoBudget"},
	{quotalease.NoLeaseError{}, "grant.NoGrant"},
	{quotalease.NotBootstrappedError{}, "grant.NotFounded"},
	{quotalease.StaleConfigError{}, "grant.OldBudgets"},
	{quotalease.StaleEpochError{}, "grant.OldEpoch"},
	{quotalease.StaleTokenError{}, "grant.OldToken"},
	{quotalease.FleetMismatchError{}, "grant.OtherFleet"},
	{quotalease.HolderMismatchError{}, "grant.OtherHolder"},
	{quotalease.LimitExceededError{}, "grant.OverWhole"},
	{quotalease.ExhaustedError{}, "grant.Spent"},
	{quotalease.BootstrapPendingError{}, "grant.StillSilent"},
	{namespace.ConflictError{}, "namespace.Clash"},
	{namespace.DelegationCycleError{}, "namespace.DelegationCircle"},
	{namespace.DelegationTooWideError{}, "namespace.DelegationTooWide"},
	{namespace.FileError{}, "namespace.FileError"},
	{namespace.MinimumsExceedLimitError{}, "namespace.MinimumsExceedWhole"},
	{namespace.WithheldError{}, "namespace.NamespaceHeld"},
	{namespace.OutsideDomainError{}, "namespace.OutsideDomain"},
	{namespace.UnknownNamespaceError{}, "namespace.UnknownNamespace"},
	{namespace.VersionTakenError{}, "namespace.VersionTaken"},
	{namespace.InvalidItemError{}, "namespace.WrongItem"},
	{merkle.IncompleteError{}, "pieces.Incomplete"},
	{merkle.MalformedChunkError{}, "pieces.Malformed"},
	{merkle.TooLongError{}, "pieces.TooLong"},
	{merkle.DuplicateKeyError{}, "pieces.Twice"},
	{merkle.InvalidHashError{}, "pieces.WrongName"},
	{merkle.UnexpectedChunkError{}, "pieces.WrongPiece"},
	{store.InvalidCommandError{}, "policybook.BadCommand"},
	{store.EpochNotRetainedError{}, "policybook.EpochGone"},
	{store.NoDeclarationError{}, "policybook.NoCharter"},
	{store.TooLargeError{}, "policybook.TooMuch"},
	{routetable.InvalidRulesError{}, "policyroutes.BadRoutes"},
	{routetable.MissingServicesError{}, "policyroutes.MissingServices"},
	{rollout.EpochConflictError{}, "rollout.EpochTwice"},
	{rollout.StaleVersionError{}, "rollout.OldEpoch"},
	{rollout.NotAdoptedError{}, "rollout.RolloutNotTaken"},
	{rollout.HarmDetectedError{}, "rollout.RolloutStopped"},
	{rollout.RegressionError{}, "rollout.WorseAfter"},
	{rollout.HashMismatchError{}, "rollout.WrongContent"},
	{staleness.InvalidSettingsError{}, "staleness.BadSettings"},
	{staleness.ImplausibleClaimError{}, "staleness.ClaimCannotBeTrue"},
	{staleness.RouteBlindError{}, "staleness.EdgeBlind"},
	{staleness.NameTakenError{}, "staleness.NameTaken"},
	{staleness.UnknownSourceError{}, "staleness.UnknownSource"},
	{staleness.RouteDoubtfulError{}, "staleness.ViewDoubtful"},
	{server.DuplicateFloorClaimError{}, "steward.FloorsTwice"},
	{server.ChunksRequiredError{}, "steward.NeedsPieces"},
}

// Servers and proxies of different releases identify errors by these codes, so the codes must not change.
func TestErrorsKeepTheirNamesOnTheWire(t *testing.T) {
	for _, c := range wireCodes {
		if got := api.RemoteErrorOf(fmt.Errorf("wrapped: %w", c.err)).Code; got != c.code {
			t.Errorf("RemoteErrorOf(%T).Code = %q, want %q", c.err, got, c.code)
		}
	}
}
