// Package decoder decodes YAML into structs and reports every mistake.
//
// The YAML library stops at some mistakes and describes others poorly. An
// operator needs all of them at once, each with file, line, field, what was found
// and what is allowed. A [Decoder] walks the library's node tree along with the
// target type and collects [Problem] values. It decodes what it can, so that
// later semantic checks can add their problems to the same list.
//
// # Usage
//
//	d := decoder.Decoder{File: "settings.yaml"}
//	d.Decode(source, &settings)
//	if settings.Host == "" {
//		d.Report("Host", "nothing", "a name")
//	}
//	if err := d.Err(); err != nil { ... }
//
// Field paths are written as in Go: Rules[2].Then.Pool. YAML keys match the exact
// Go name of a field. A type with an UnmarshalText method decodes itself from a
// scalar; the text of its error states what is allowed.
package decoder

import (
	"encoding"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Decoder decodes one document and collects its problems. The zero value is ready
// for use.
type Decoder struct {
	// File is the name shown in problems.
	File string

	problems Problems
	// lines maps field paths to line numbers.
	lines map[string]int
}

// Problem is one mistake in a document.
type Problem struct {
	File string
	Line int
	// Field is the path of the field.
	Field string
	// Found and Allowed describe the value found and the values allowed.
	Found   string
	Allowed string
}

// Error formats p as one line that starts with FILE:LINE, to which editors can jump.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: found %s; allowed: %s", p.File, p.Line, p.Field, p.Found, p.Allowed)
}

// Problems is the error that lists all mistakes of a document.
type Problems []Problem

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Decode decodes source into target, a pointer to a struct. Err returns the problems.
func (d *Decoder) Decode(source []byte, target any) {
	d.lines = make(map[string]int)
	var root yaml.Node
	if err := yaml.Unmarshal(source, &root); err != nil {
		d.reportSyntaxError(err)
		return
	}
	if len(root.Content) == 0 {
		d.problems = append(d.problems, Problem{d.File, 1, "document", "nothing", "a mapping"})
		return
	}
	d.decodeValue(root.Content[0], reflect.ValueOf(target).Elem(), "")
}

// Report adds a problem found by a later check. Its line is that of the field, or
// of the nearest parent that is present in the document.
func (d *Decoder) Report(field, found, allowed string) {
	d.problems = append(d.problems, Problem{d.File, d.lineOf(field), field, found, allowed})
}

// Err returns all problems as one error, or nil.
func (d *Decoder) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.problems
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

func (d *Decoder) reportSyntaxError(err error) {
	line := 1
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		line, _ = strconv.Atoi(m[1])
	}
	d.problems = append(d.problems, Problem{d.File, line, "document", strings.TrimPrefix(err.Error(), "yaml: "), "YAML"})
}

func (d *Decoder) lineOf(field string) int {
	for field != "" {
		if line, ok := d.lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

func (d *Decoder) decodeValue(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	d.lines[path] = n.Line
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, path)
	case reflect.Slice:
		d.decodeList(n, v, path)
	default:
		d.decodeScalar(n, v, path)
	}
}

func (d *Decoder) decodeStruct(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.reportNode(n, path, "a mapping of "+fieldNames(v.Type()))
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		field := joinPath(path, key.Value)
		d.lines[field] = key.Line
		if seen[key.Value] {
			d.problems = append(d.problems, Problem{d.File, key.Line, field, "the field twice", "each field once"})
			continue
		}
		seen[key.Value] = true
		sf, ok := v.Type().FieldByName(key.Value)
		if !ok || !sf.IsExported() {
			d.problems = append(d.problems, Problem{d.File, key.Line, field, "an unknown field", fieldNames(v.Type())})
			continue
		}
		d.decodeValue(n.Content[i+1], v.FieldByIndex(sf.Index), field)
	}
}

func (d *Decoder) decodeList(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		d.reportNode(n, path, "a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		d.decodeValue(item, out.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(out)
}

func (d *Decoder) decodeText(n *yaml.Node, u encoding.TextUnmarshaler, path string) {
	if n.Kind != yaml.ScalarNode {
		d.reportNode(n, path, "a single value")
		return
	}
	if err := u.UnmarshalText([]byte(n.Value)); err != nil {
		d.reportNode(n, path, err.Error())
	}
}

func (d *Decoder) decodeScalar(n *yaml.Node, v reflect.Value, path string) {
	allowed := map[reflect.Kind]string{
		reflect.String: "text", reflect.Bool: "true or false",
		reflect.Int: "a whole number", reflect.Float64: "a number",
	}[v.Kind()]
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		d.reportNode(n, path, allowed)
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(n.Value)
		return
	case reflect.Bool:
		if b, err := strconv.ParseBool(n.Value); err == nil && n.Tag == "!!bool" {
			v.SetBool(b)
			return
		}
	case reflect.Int:
		if i, err := strconv.Atoi(n.Value); err == nil {
			v.SetInt(int64(i))
			return
		}
	case reflect.Float64:
		if f, err := strconv.ParseFloat(n.Value, 64); err == nil {
			v.SetFloat(f)
			return
		}
	}
	d.reportNode(n, path, allowed)
}

func (d *Decoder) reportNode(n *yaml.Node, path, allowed string) {
	found := map[yaml.Kind]string{yaml.MappingNode: "a mapping", yaml.SequenceNode: "a list"}[n.Kind]
	if found == "" {
		found = strconv.Quote(n.Value)
	}
	d.problems = append(d.problems, Problem{d.File, n.Line, path, found, allowed})
}

func fieldNames(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return strings.Join(names, ", ")
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
