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

// operatorErrors are all errors of the control plane that say what an operator can do.
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

// errorDirs are the packages that may have such errors.
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

// errorCode is the name of an error in messages between processes.
func errorCode(e operatorerror.Error) string {
	if coded, ok := e.(interface{ Code() string }); ok {
		return coded.Code()
	}
	return fmt.Sprintf("%T", e)
}

func errorTable() string {
	var table strings.Builder
	table.WriteString(tableBegin + "\n| error | what to do |\n| --- | --- |\n")
	for _, e := range operatorErrors {
		fmt.Fprintf(&table, "| `%s` | %s |\n", errorCode(e), e.Advice())
	}
	return table.String() + "\n" + tableEnd
}

// The page for operators says of each error what its type says.
func TestOperatorPageHasEachErrorsAdvice(t *testing.T) {
	data, err := os.ReadFile(operatorPage)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	before, rest, hasBegin := strings.Cut(page, tableBegin)
	_, after, hasEnd := strings.Cut(rest, tableEnd)
	if !hasBegin || !hasEnd {
		t.Fatal("the page has no place for the errors")
	}
	want := before + errorTable() + after
	if page == want {
		return
	}
	if os.Getenv("UPDATE_DOCS") == "" {
		t.Error("the page is not what the types say")
	} else if err := os.WriteFile(operatorPage, []byte(want), 0o644); err != nil {
		t.Fatal(err)
	}
}

// The page leaves no error out.
func TestOperatorErrorsAreComplete(t *testing.T) {
	listed := map[string]bool{
		fmt.Sprintf("%T", api.RemoteError{}): true, // it passes on another error's advice
	}
	for _, e := range operatorErrors {
		listed[fmt.Sprintf("%T", e)] = true
	}
	for _, dir := range errorDirs {
		names := errorsWithAdvice(t, dir)
		for _, name := range names {
			if !listed[name] {
				t.Errorf("%s is not on the page", name)
			}
		}
	}
}

// errorsWithAdvice are the types of a package that have a method Advice.
func errorsWithAdvice(t *testing.T, dir string) (names []string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatal(dir, err)
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
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
