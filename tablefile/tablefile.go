// Package tablefile reads and writes the two tables as YAML files. Errors name
// the line of the file.
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

// maxFile is the largest file that is read, in bytes.
const maxFile = api.MaxBody

// File is the content of a table's file. One of the two lists is used.
type File struct {
	Routes []api.Route `yaml:"routes,omitempty"`
	Pools  []api.Pool  `yaml:"pools,omitempty"`
}

// Parsed is a file together with the lines of its fields.
type Parsed struct {
	File
	root *yaml.Node
}

// Parse reads the file of the named table. Unknown and repeated fields are
// errors.
func Parse(name notch.TableName, r io.Reader) (Parsed, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxFile+1))
	if err != nil {
		return Parsed{}, errors.Wrap(err, "read table")
	}
	if len(b) > maxFile {
		return Parsed{}, errors.Wrapf(notch.ErrInvalid, "the file has more than %d bytes", maxFile)
	}
	var p Parsed
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&p.File); err != nil && err != io.EOF {
		return p, errors.Wrap(notch.ErrInvalid, yamlReason(err))
	}
	if err := d.Decode(new(yaml.Node)); err != io.EOF {
		return p, errors.Wrap(notch.ErrInvalid, "the file holds more than one document")
	}
	if name == notch.RoutesTable && p.Pools != nil || name == notch.PoolsTable && p.Routes != nil {
		return p, errors.Wrapf(notch.ErrInvalid, "the file isn't one of the table %s", name)
	}
	var root yaml.Node
	if err := yaml.Unmarshal(b, &root); err == nil {
		p.root = &root
	}
	return p, nil
}

// yamlReason makes one line of the library's error.
func yamlReason(err error) string {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	text = strings.ReplaceAll(text, "unmarshal errors:\n  ", "")
	return strings.ReplaceAll(text, "\n  ", "; ")
}

// Check returns what is wrong with the file, as far as that shows without the
// other table.
func (p Parsed) Check(name notch.TableName) []notch.FieldError {
	if name == notch.RoutesTable {
		routes, errs := api.RoutesOf(p.Routes)
		return append(errs, table.ValidateRoutes(routes)...)
	}
	return table.ValidatePools(api.PoolsOf(p.Pools))
}

// step is one part of a field's path: a name or an index.
var step = regexp.MustCompile(`[a-z-]+|\[\d+\]`)

// Line returns the line of a field such as "routes[2].pool", or of the nearest
// one above it that the file holds, or 0.
func (p Parsed) Line(field string) int {
	if p.root == nil || len(p.root.Content) == 0 {
		return 0
	}
	node := p.root.Content[0]
	line := node.Line
	for _, part := range step.FindAllString(field, -1) {
		next := child(node, part)
		if next == nil {
			break
		}
		node, line = next, next.Line
	}
	return line
}

func child(n *yaml.Node, part string) *yaml.Node {
	if strings.HasPrefix(part, "[") {
		i, _ := strconv.Atoi(strings.Trim(part, "[]"))
		if n.Kind != yaml.SequenceNode || i >= len(n.Content) {
			return nil
		}
		return n.Content[i]
	}
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == part {
			return n.Content[i+1]
		}
	}
	return nil
}

// Explain formats errors, one a line, with the file's name and lines.
func (p Parsed) Explain(file string, errs []api.Field) string {
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

// Write writes a table as YAML. The version stands in a comment.
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
