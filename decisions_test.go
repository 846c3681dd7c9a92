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

// decisions are the packages that decide; outside are what none of them may use.
var (
	decisions = []string{
		".", "consensus", "table", "claim", "batch", "gateway", "member", "share", "traffic",
		"pick", "queue", "retry", "order", "place", "interfere", "flow", "graph", "lease", "press", "assign",
	}
	outside = []string{
		"net", "net/http", "os", "encoding/json", "github.com/fxamacker/cbor/v2", "github.com/coder/websocket",
		"github.com/gin-gonic/gin", "tamaracknotch/wire", "tamaracknotch/link", "tamaracknotch/api",
		"tamaracknotch/front", "tamaracknotch/entry", "tamaracknotch/engine", "tamaracknotch/wal",
	}
	impure = []string{"time.Now(", "time.Sleep(", "time.After(", "rand.Int", "go func"}
)

// TestDecisionsStayPure checks that no decision package imports a codec, HTTP or a
// link, reads a clock, draws from a global source or starts a goroutine.
func TestDecisionsStayPure(t *testing.T) {
	for _, dir := range decisions {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			checkImports(t, file)
			checkText(t, file)
		}
	}
}

func checkImports(t *testing.T, file string) {
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, im := range f.Imports {
		path, _ := strconv.Unquote(im.Path.Value)
		if slices.Contains(outside, path) {
			t.Errorf("%s imports %s, which no decision may use", file, path)
		}
	}
}

func checkText(t *testing.T, file string) {
	text := read(t, file)
	for _, call := range impure {
		if strings.Contains(text, call) {
			t.Errorf("%s holds %q; time and chance come with events", file, call)
		}
	}
}
