package client_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
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
	"lapisspread/internal/policy/store"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/staleness"
)

// operatorErrors are all error types of the control plane that have advice for operators.
var operatorErrors = []operatorerror.Error{
	consensus.LogConflictError{},
	consensus.NoQuorumError{},
	consensus.NotLeaderError{},
	consensus.FleetMismatchError{},
	consensus.QueueFullError{},
	consensus.SilentError{},
	consensus.StoreRolledBackError{},
	consensus.CommandTooLargeError{},
	consensus.UndecidedError{},
	storage.DiskFullError{},
	storage.DamagedError{},
	storage.LockedError{},
	storage.MissingError{},
	storage.NewerFormatError{},
	storage.FleetMismatchError{},
	storage.NodeMismatchError{},
	api.MalformedMessageError{},
	api.UnknownServerError{},
	api.ServerUnreachableError{},
	client.WorkerCrashedError{},
	client.WorkerStalledError{},
	client.FloorsNotPersistedError{},
	client.PolicyNotInstalledError{},
	freshness.WorkerDiedError{},
	freshness.WorkerStuckError{},
	freshness.TooManyListsError{},
	quotalease.InvalidCommandError{},
	quotalease.FloorClaimedError{},
	quotalease.LeaseExpiredError{},
	quotalease.UnknownQuotaError{},
	quotalease.NoLeaseError{},
	quotalease.NotBootstrappedError{},
	quotalease.StaleConfigError{},
	quotalease.StaleEpochError{},
	quotalease.StaleTokenError{},
	quotalease.FleetMismatchError{},
	quotalease.HolderMismatchError{},
	quotalease.LimitExceededError{},
	quotalease.ExhaustedError{},
	quotalease.BootstrapPendingError{},
	server.DuplicateFloorClaimError{},
	server.ChunksRequiredError{},
	staleness.InvalidSettingsError{},
	staleness.ImplausibleClaimError{},
	staleness.RouteBlindError{},
	staleness.NameTakenError{},
	staleness.UnknownSourceError{},
	staleness.RouteDoubtfulError{},
	namespace.ConflictError{},
	namespace.DelegationCycleError{},
	namespace.DelegationTooWideError{},
	namespace.FileError{},
	namespace.MinimumsExceedLimitError{},
	namespace.WithheldError{},
	namespace.OutsideDomainError{},
	namespace.UnknownNamespaceError{},
	namespace.VersionTakenError{},
	namespace.InvalidItemError{},
	merkle.IncompleteError{},
	merkle.MalformedChunkError{},
	merkle.TooLongError{},
	merkle.DuplicateKeyError{},
	merkle.InvalidHashError{},
	merkle.UnexpectedChunkError{},
	store.InvalidCommandError{},
	store.EpochNotRetainedError{},
	store.NoDeclarationError{},
	store.TooLargeError{},
	rollout.EpochConflictError{},
	rollout.StaleVersionError{},
	rollout.NotAdoptedError{},
	rollout.HarmDetectedError{},
	rollout.RegressionError{},
	rollout.HashMismatchError{},
}

const (
	operatorPage = "../../../docs/fleet.md"
	tableBegin   = "<!-- errors: from their types; UPDATE_DOCS=1 go test ./internal/controlplane/client writes this -->\n"
	tableEnd     = "<!-- end of errors -->"
)

// errorDirs are the directories of the packages whose error types must be in operatorErrors.
var errorDirs = []string{
	".",
	"../api",
	"../freshness",
	"../server",
	"../../consensus",
	"../../consensus/node",
	"../../consensus/storage",
	"../../policy/merkle",
	"../../policy/namespace",
	"../../policy/rollout",
	"../../policy/store",
	"../../quotalease",
	"../../staleness",
}

// errorCode returns the code of an error in messages between processes.
func errorCode(e operatorerror.Error) string {
	if coded, ok := e.(interface{ Code() string }); ok {
		return coded.Code()
	}
	return fmt.Sprintf("%T", e)
}

// errorTable returns the table of errors as it must be on the operators' page, with its begin and end markers.
func errorTable() string {
	var table strings.Builder
	table.WriteString(tableBegin + "\n| error | what to do |\n| --- | --- |\n")
	for _, e := range operatorErrors {
		fmt.Fprintf(&table, "| `%s` | %s |\n", errorCode(e), e.Advice())
	}
	return table.String() + "\n" + tableEnd
}

// The table of errors on the operators' page must have the code and the advice of each error type.
func TestOperatorPageHasEachErrorsAdvice(t *testing.T) {
	data, err := os.ReadFile(operatorPage)
	if err != nil {
		t.Fatalf("reading the operators' page: %v", err)
	}
	page := string(data)
	before, rest, hasBegin := strings.Cut(page, tableBegin)
	_, after, hasEnd := strings.Cut(rest, tableEnd)
	if !hasBegin || !hasEnd {
		t.Fatalf("%s has no table of errors: begin marker found: %v, end marker found: %v; want both",
			operatorPage, hasBegin, hasEnd)
	}
	want := before + errorTable() + after
	if page == want {
		return
	}
	if os.Getenv("UPDATE_DOCS") == "" {
		t.Errorf("the table of errors in %s differs from the advice of the error types; UPDATE_DOCS=1 rewrites it",
			operatorPage)
	} else if err := os.WriteFile(operatorPage, []byte(want), 0o644); err != nil {
		t.Fatalf("rewriting the table of errors: %v", err)
	}
}

// Each error type with a method Advice must be in operatorErrors, and so on the operators' page.
func TestOperatorErrorsAreComplete(t *testing.T) {
	listed := map[string]bool{
		fmt.Sprintf("%T", api.RemoteError{}): true, // carries the advice of another error
	}
	for _, e := range operatorErrors {
		listed[fmt.Sprintf("%T", e)] = true
	}
	for _, dir := range errorDirs {
		names := errorsWithAdvice(t, dir)
		for _, name := range names {
			if !listed[name] {
				t.Errorf("error type %s has advice but is not in operatorErrors, want it there", name)
			}
		}
	}
}

// errorsWithAdvice returns the qualified names of the types in a package's directory that have a method Advice.
func errorsWithAdvice(t *testing.T, dir string) (names []string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("listing the Go files in %s: %d found, error %v; want at least 1 and no error", dir, len(paths), err)
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatalf("parsing %s: %v", path, err)
		}
		for _, declaration := range file.Decls {
			method, ok := declaration.(*ast.FuncDecl)
			if ok && method.Name.Name == "Advice" && method.Recv != nil {
				receiver := method.Recv.List[0].Type.(*ast.Ident)
				names = append(names, file.Name.Name+"."+receiver.Name)
			}
		}
	}
	return names
}
