package client_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
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

var told = []operatorerror.Error{
	consensus.LogConflictError{}, consensus.NoQuorumError{}, consensus.NotLeaderError{}, consensus.FleetMismatchError{}, consensus.QueueFullError{}, consensus.SilentError{},
	consensus.StoreRolledBackError{}, consensus.CommandTooLargeError{}, consensus.UndecidedError{},
	storage.DiskFullError{}, storage.DamagedError{}, storage.LockedError{}, storage.MissingError{}, storage.NewerFormatError{}, storage.FleetMismatchError{}, storage.NodeMismatchError{},
	api.MalformedMessageError{}, api.UnknownServerError{}, api.ServerUnreachableError{},
	client.WorkerCrashedError{}, client.WorkerStalledError{}, client.FloorsNotPersistedError{}, client.PolicyNotInstalledError{},
	freshness.WorkerDiedError{}, freshness.WorkerStuckError{}, freshness.TooManyListsError{},
	quotalease.InvalidCommandError{}, quotalease.FloorClaimedError{}, quotalease.LeaseExpiredError{}, quotalease.UnknownQuotaError{}, quotalease.NoLeaseError{}, quotalease.NotBootstrappedError{}, quotalease.StaleConfigError{},
	quotalease.StaleEpochError{}, quotalease.StaleTokenError{}, quotalease.FleetMismatchError{}, quotalease.HolderMismatchError{}, quotalease.LimitExceededError{}, quotalease.ExhaustedError{}, quotalease.BootstrapPendingError{},
	server.DuplicateFloorClaimError{}, server.ChunksRequiredError{},
	staleness.BadSettings{}, staleness.ClaimCannotBeTrue{}, staleness.EdgeBlind{}, staleness.NameTaken{}, staleness.UnknownSource{}, staleness.ViewDoubtful{},
	namespace.Clash{}, namespace.DelegationCircle{}, namespace.DelegationTooWide{}, namespace.FileError{}, namespace.MinimumsExceedWhole{},
	namespace.NamespaceHeld{}, namespace.OutsideDomain{}, namespace.UnknownNamespace{}, namespace.VersionTaken{}, namespace.WrongItem{},
	merkle.Incomplete{}, merkle.Malformed{}, merkle.TooLong{}, merkle.Twice{}, merkle.WrongName{}, merkle.WrongPiece{},
	store.BadCommand{}, store.EpochGone{}, store.NoCharter{}, store.TooMuch{},
	rollout.EpochConflictError{}, rollout.StaleVersionError{}, rollout.NotAdoptedError{}, rollout.HarmDetectedError{}, rollout.RegressionError{}, rollout.HashMismatchError{},
}

const (
	page  = "../../../docs/fleet.md"
	begin = "<!-- errors: from their types; UPDATE_DOCS=1 go test ./internal/fleetlink writes this -->\n"
	end   = "<!-- end of errors -->"
)

// codeOf is the name of an error in messages between processes.
func codeOf(e operatorerror.Error) string {
	if coded, ok := e.(interface{ Code() string }); ok {
		return coded.Code()
	}
	return fmt.Sprintf("%T", e)
}

func table() string {
	var out strings.Builder
	out.WriteString(begin + "\n| error | what to do |\n| --- | --- |\n")
	for _, e := range told {
		fmt.Fprintf(&out, "| `%s` | %s |\n", codeOf(e), e.Advice())
	}
	return out.String() + "\n" + end
}

// The page for staff says of each error what its type says, and leaves none out.
func TestThePageHasEachErrorsAdvice(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	from, to := strings.Index(string(text), begin), strings.Index(string(text), end)
	if from < 0 || to < from {
		t.Fatal("the page has no place for the errors")
	}
	if string(text[from:to+len(end)]) != table() {
		if os.Getenv("UPDATE_DOCS") == "" {
			t.Error("the page is not what the types say")
		} else if err := os.WriteFile(page, []byte(string(text[:from])+table()+string(text[to+len(end):])), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	var have []string
	for _, e := range told {
		have = append(have, fmt.Sprintf("%T", e))
	}
	for _, dir := range []string{
		"../../consensus", "../../consensus/storage", "../../consensus/node", "../api", ".", "../freshness", "../../staleness",
		"../../quotalease", "../server", "../../policy/namespace", "../../policy/merkle", "../../policy/store", "../../policy/rollout",
	} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatal(dir, err)
		}
		for _, path := range files {
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range f.Decls {
				m, ok := d.(*ast.FuncDecl)
				if !ok || m.Name.Name != "Advice" || m.Recv == nil || strings.HasSuffix(path, "_test.go") {
					continue
				}
				name := f.Name.Name + "." + m.Recv.List[0].Type.(*ast.Ident).Name
				if name != fmt.Sprintf("%T", api.RemoteError{}) && !slices.Contains(have, name) { // that one passes on another's
					t.Errorf("%s is not on the page", name)
				}
			}
		}
	}
}
