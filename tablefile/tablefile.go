// Package tablefile reads and writes the two tables as YAML files. Its errors name
// the lines of the file.
package tablefile

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	notch "tamaracknotch"
	"tamaracknotch/api"
	"tamaracknotch/table"
)

// maxFileBytes is the size of the largest file that is read.
const maxFileBytes = api.MaxBody

// File is the content of a file. A file holds one table, so that one of the lists is
// empty.
type File struct {
	Routes []api.Route `yaml:"routes,omitempty"`
	Pools  []api.Pool  `yaml:"pools,omitempty"`
}

// Parsed is a parsed file together with the lines of its fields.
type Parsed struct {
	File
	root *yaml.Node // nil if the lines aren't known
}

// Parse reads a file of the named table. Unknown fields and repeated fields are
// errors.
func Parse(name notch.TableName, r io.Reader) (Parsed, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err != nil {
		return Parsed{}, errors.Wrap(err, "read table")
	}
	if len(b) > maxFileBytes {
		return Parsed{}, errors.Wrapf(notch.ErrInvalid, "the file has more than %d bytes", maxFileBytes)
	}
	var p Parsed
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&p.File); err != nil && err != io.EOF {
		return p, errors.Wrap(notch.ErrInvalid, yamlReason(err))
	}
	if err := d.Decode(new(yaml.Node)); err != io.EOF {
		return p, errors.Wrap(notch.ErrInvalid, "the file must hold one document only")
	}
	if name == notch.RoutesTable && p.Pools != nil || name == notch.PoolsTable && p.Routes != nil {
		return p, errors.Wrapf(notch.ErrInvalid, "the file must hold the table %s only", name)
	}
	var root yaml.Node
	if err := yaml.Unmarshal(b, &root); err == nil {
		p.root = &root
	}
	return p, nil
}

// yamlReason returns the text of an error of the YAML library on one line.
func yamlReason(err error) string {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	text = strings.ReplaceAll(text, "unmarshal errors:\n  ", "")
	return strings.ReplaceAll(text, "\n  ", "; ")
}

// Check returns the errors that can be found without the other table.
func (p Parsed) Check(name notch.TableName) []notch.FieldError {
	if name == notch.RoutesTable {
		routes, errs := api.ConvertRoutes(p.Routes)
		return append(errs, table.ValidateRoutes(routes)...)
	}
	return table.ValidatePools(api.ConvertPools(p.Pools))
}

// fieldStep matches one step of a field's path: a name or an index.
var fieldStep = regexp.MustCompile(`[a-z-]+|\[\d+\]`)

// Line returns the line of a field such as "routes[2].pool". If the file doesn't
// contain the field, it returns the line of the innermost enclosing field that the
// file contains. It returns 0 if the lines aren't known.
func (p Parsed) Line(field string) int {
	if p.root == nil || len(p.root.Content) == 0 {
		return 0
	}
	node := p.root.Content[0]
	line := node.Line
	for _, step := range fieldStep.FindAllString(field, -1) {
		next := childNode(node, step)
		if next == nil {
			break
		}
		node, line = next, next.Line
	}
	return line
}

// childNode returns the child of n at a step of a field's path, or nil.
func childNode(n *yaml.Node, step string) *yaml.Node {
	if strings.HasPrefix(step, "[") {
		i, _ := strconv.Atoi(strings.Trim(step, "[]"))
		if n.Kind != yaml.SequenceNode || i >= len(n.Content) {
			return nil
		}
		return n.Content[i]
	}
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == step {
			return n.Content[i+1]
		}
	}
	return nil
}

// FormatErrors formats errors, one per line, with the name and the lines of the file.
func (p Parsed) FormatErrors(file string, errs []api.Field) string {
	var b strings.Builder
	for _, e := range errs {
		if line := p.Line(e.Field); line > 0 {
			fmt.Fprintf(&b, "%s:%d: %s %s\n", file, line, e.Field, e.Reason)
		} else {
			fmt.Fprintf(&b, "%s: %s %s\n", file, e.Field, e.Reason)
		}
	}
	return b.String()
}

// Write writes a table as YAML. The first line is a comment that gives the version.
func Write(w io.Writer, t api.Table) error {
	if _, err := fmt.Fprintf(w, "# table %s, version %d\n", t.Table, t.Version); err != nil {
		return err
	}
	e := yaml.NewEncoder(w)
	e.SetIndent(2)
	if err := e.Encode(File{Routes: t.Routes, Pools: t.Pools}); err != nil {
		return errors.Wrap(err, "write table")
	}
	return e.Close()
}
