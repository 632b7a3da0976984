package docs

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/errkind"
)

// rewrite replaces the generated parts of the pages:
//
//	go test ./docs -run Reference -rewrite
var rewrite = flag.Bool("rewrite", false, "rewrite the generated parts of the pages")

const (
	beginMark = "<!-- generated: begin -->\n"
	endMark   = "<!-- generated: end -->\n"
)

// checkGenerated compares the part between the marks of a page with want.
func checkGenerated(t *testing.T, page, want string) {
	t.Helper()
	raw, err := os.ReadFile(page)
	assert.NilError(t, err)
	before, rest, ok := strings.Cut(string(raw), beginMark)
	assert.Assert(t, ok, "%s has no mark %q", page, beginMark)
	got, after, ok := strings.Cut(rest, endMark)
	assert.Assert(t, ok, "%s has no mark %q", page, endMark)
	if *rewrite {
		assert.NilError(t, os.WriteFile(page, []byte(before+beginMark+want+endMark+after), 0o600))
		return
	}
	assert.Equal(t, got, want, "%s is out of date: run go test ./docs -run Reference -rewrite", page)
}

// Guards against a manifest field that the operators' page does not show as the
// schema has it.
func TestManifestReference(t *testing.T) {
	checkGenerated(t, "operators/manifest-reference.md", schemaTables(t, "manifest"))
}

// Guards against a setting that the operators' page does not show as the schema
// has it.
func TestSettingsReference(t *testing.T) {
	checkGenerated(t, "operators/settings-reference.md", schemaTables(t, "settings"))
}

// Guards against error kinds whose status, run state or advice differs from the
// callers' page.
func TestErrorReference(t *testing.T) {
	kinds := errkind.All()
	slices.Sort(kinds)
	var b strings.Builder
	fmt.Fprintf(&b, "| kind | HTTP status | run state unless the error states another | `Retry-After` possible |\n|---|---|---|---|\n")
	for _, k := range kinds {
		answer := errkind.Lookup(k)
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s |\n", k, answer.HTTPStatus, answer.RunState, yesNo(answer.Retry))
	}
	checkGenerated(t, "operators/caller-api.md", b.String())
}

// field holds the parts of JSON Schema that the project's schemas use.
type field struct {
	Ref              string            `json:"$ref"`
	Title            string            `json:"title"`
	Description      string            `json:"description"`
	Type             string            `json:"type"`
	Enum             []string          `json:"enum"`
	Const            any               `json:"const"`
	Default          any               `json:"default"`
	Pattern          string            `json:"pattern"`
	Minimum          *json.Number      `json:"minimum"`
	Maximum          *json.Number      `json:"maximum"`
	ExclusiveMinimum *json.Number      `json:"exclusiveMinimum"`
	ExclusiveMaximum *json.Number      `json:"exclusiveMaximum"`
	MinItems         *json.Number      `json:"minItems"`
	MaxItems         *json.Number      `json:"maxItems"`
	MaxLength        *json.Number      `json:"maxLength"`
	Required         []string          `json:"required"`
	Properties       map[string]*field `json:"properties"`
	Items            *field            `json:"items"`
	Defs             map[string]*field `json:"$defs"`
}

// schemaTables returns a table for the root of a schema and for each of its
// object definitions.
func schemaTables(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "schema", name+".json"))
	assert.NilError(t, err)
	var root field
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	assert.NilError(t, decoder.Decode(&root))
	var b strings.Builder
	root.table(&b, root.Defs)
	for _, def := range slices.Sorted(maps.Keys(root.Defs)) {
		if root.Defs[def].Type == "object" {
			root.Defs[def].table(&b, root.Defs)
		}
	}
	return b.String()
}

func (f *field) table(b *strings.Builder, defs map[string]*field) {
	fmt.Fprintf(b, "\n## %s\n\n%s\n\n", f.Title, f.Description)
	fmt.Fprintf(b, "| field | type | default | bounds | meaning |\n|---|---|---|---|---|\n")
	for _, name := range slices.Sorted(maps.Keys(f.Properties)) {
		p := f.Properties[name]
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", name, p.typeName(defs),
			p.defaultText(slices.Contains(f.Required, name)), p.bounds(defs), p.meaning(defs))
	}
}

func (f *field) target(defs map[string]*field) *field {
	if def, ok := defs[strings.TrimPrefix(f.Ref, "#/$defs/")]; ok {
		return def
	}
	return f
}

func (f *field) typeName(defs map[string]*field) string {
	target := f.target(defs)
	switch target.Type {
	case "array":
		return "list of " + target.Items.typeName(defs)
	case "object":
		return fmt.Sprintf("[%s](#%s)", target.Title, strings.ToLower(target.Title))
	default:
		return target.Type
	}
}

func (f *field) defaultText(required bool) string {
	switch {
	case required:
		return "required"
	case f.Default == nil:
		return "absent"
	case f.Default == "":
		return "empty"
	default:
		return fmt.Sprintf("`%v`", f.Default)
	}
}

// bounds lists every limit of a value, and of the items of a list.
func (f *field) bounds(defs map[string]*field) string {
	target := f.target(defs)
	var out []string
	add := func(format string, bound *json.Number) {
		if bound != nil {
			out = append(out, fmt.Sprintf(format, bound))
		}
	}
	add("at least %s", target.Minimum)
	add("above %s", target.ExclusiveMinimum)
	add("at most %s", target.Maximum)
	add("below %s", target.ExclusiveMaximum)
	add("at least %s items", target.MinItems)
	add("at most %s items", target.MaxItems)
	add("at most %s characters", target.MaxLength)
	if target.Const != nil {
		out = append(out, fmt.Sprintf("`%v`", target.Const))
	}
	if target.Pattern != "" {
		out = append(out, patternText(target.Pattern))
	}
	if len(target.Enum) > 0 {
		out = append(out, enumText(target.Enum))
	}
	if target.Items != nil {
		if items := target.Items.bounds(defs); items != "" {
			out = append(out, "each: "+items)
		}
	}
	return strings.Join(out, ", ")
}

// patternText names the patterns that many fields share.
func patternText(pattern string) string {
	if pattern == "^[a-z0-9][a-z0-9._-]{0,62}$" {
		return "[name](#names)"
	}
	return "`" + pattern + "`"
}

func enumText(values []string) string {
	var out []string
	for _, v := range values {
		if v != "" {
			out = append(out, "`"+v+"`")
		}
	}
	return "one of " + strings.Join(out, ", ")
}

func (f *field) meaning(defs map[string]*field) string {
	if f.Description != "" {
		return f.Description
	}
	target := f.target(defs)
	if target.Type == "array" {
		target = target.Items.target(defs)
	}
	return target.Description
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
