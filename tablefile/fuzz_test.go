package tablefile

import (
	"strings"
	"testing"

	notch "tamaracknotch"
)

// FuzzParse checks that no input makes Parse, Check or Line panic.
func FuzzParse(f *testing.F) {
	f.Add("routes:\n  - name: x\n    path: /x\n    pool: y\n    timeout: 2s\n")
	f.Add("pools:\n  - name: x\n    kind: workers\n    teams: [{name: t, weight: 2}]\n")
	f.Fuzz(func(t *testing.T, text string) {
		for _, name := range []notch.TableName{notch.RoutesTable, notch.PoolsTable} {
			p, err := Parse(name, strings.NewReader(text))
			if err != nil {
				continue
			}
			for _, e := range p.Check(name) {
				p.Line(e.Field)
			}
		}
	})
}
