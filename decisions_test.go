package notch_test

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// decisionPackages are the folders of the packages that decide. None of them may
// import one of forbiddenImports or contain one of forbiddenCalls.
var (
	decisionPackages = []string{
		".", "consensus", "table", "claim", "batch", "gateway", "member", "share", "traffic",
		"pick", "queue", "retry", "order", "place", "interference", "flow", "graph", "lease", "colocation", "assign",
		"inventory",
	}
	forbiddenImports = []string{
		"net", "net/http", "os", "encoding/json", "github.com/fxamacker/cbor/v2", "github.com/coder/websocket",
		"github.com/gin-gonic/gin", "tamaracknotch/wire", "tamaracknotch/link", "tamaracknotch/api",
		"tamaracknotch/front", "tamaracknotch/entry", "tamaracknotch/engine", "tamaracknotch/wal",
	}
	forbiddenCalls = []string{"time.Now(", "time.Sleep(", "time.After(", "rand.Int", "go func"}
)

// TestDecisionsStayPure checks that no decision package imports a codec, HTTP or
// link package, reads a clock, uses a global random source or starts a goroutine.
func TestDecisionsStayPure(t *testing.T) {
	for _, dir := range decisionPackages {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		if len(files) == 0 {
			t.Errorf("%s: got no source files, want a package", dir)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			checkImports(t, file)
			checkCalls(t, file)
		}
	}
}

func checkImports(t *testing.T, file string) {
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range f.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		if slices.Contains(forbiddenImports, path) {
			t.Errorf("%s imports %s, which decision packages must not import", file, path)
		}
	}
}

func checkCalls(t *testing.T, file string) {
	text := readFile(t, file)
	for _, call := range forbiddenCalls {
		if strings.Contains(text, call) {
			t.Errorf("%s contains %q; decision packages take time and randomness from events", file, call)
		}
	}
}
