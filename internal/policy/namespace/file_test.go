package namespace

import (
	"errors"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
)

func TestInvalidFilesNameLineAndKey(t *testing.T) {
	text := newExampleFleet(t).texts["dispatch"]
	contradictoryOverride := "[[order]]\nname = \"x\"\nserver = \"d-17\"\nzone = \"2\"\ndo = \"attach\"\n[[order]]"
	for _, test := range []struct{ old, replacement, want string }{
		{"version = 1", "version = 3", "f.toml:2: version: 3"},
		{"number = 7", "", "f.toml: number: left out"},
		{`min = 6000`, `mins = 6000`, `unknown key "budget.mins"`},
		{`bears = "doubtful"`, `bears = "old"`,
			`f.toml:13: route[0].bears: "old" is none of confirmed, fresh, ageing, doubtful, blind`},
		{`host = "dispatch.kigali.example.org"`, `host = "Dispatch"`, `f.toml:9: route[0]: host`},
		{`to = [{ service = "dispatch" }]`, `to = []`, "f.toml:12: route[0].to: no service"},
		{`name = "desks"`, `name = "all"`, "f.toml:15: route[1]: route all is there twice"},
		{`host = "*.desks.kigali.example.org"`, `host = "dispatch.kigali.example.org"`,
			`f.toml:15: route[1]: ties with route[0] "all"`},
		{`effect = "safe"`, `effect = "maybe"`, "class[1].effect"},
		{`aim = "300ms"`, `aim = "3s"`, "class[1].aim: aim 3s and give_up 1s"},
		{`cap = 3000`, `min = 3000`, "for another namespace only a cap"},
		{`do = "detach"`, `do = "stop"`, `order[0].do: "stop" is neither`},
		{`until = 2026-12-01T08:00:00Z`, `until = 2026-12-01T05:00:00Z`, "order[0].until: it is not after from"},
		{`from = 2026-12-01T06:00:00Z`, `from = 2026-12-01T06:00:00`, "order[0].from: a time needs its offset"},
		{`[[order]]`, contradictoryOverride, `order[1]: contradicts order[0] "x"`},
		{`path_prefix = "/v0"`, `path_prefix = "v0"`, "block[0]: path_prefix"},
	} {
		_, err := Parse("f.toml", []byte(replaceEach(t, text, test.old, test.replacement)))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("Parse with %q replaced by %q = error %v, want an error that contains %q",
				test.old, test.replacement, err, test.want)
			continue
		}
		if !errors.As(err, new(FileError)) || operatorerror.AdviceOf(err) == "" {
			t.Errorf("Parse with %q replaced by %q = error of type %T (%v), want a FileError with advice",
				test.old, test.replacement, err, err)
		}
	}
}
