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

// rewrite makes the tests replace the generated parts of the pages instead of comparing
// them:
//
//	go test ./docs -run Reference -rewrite
var rewrite = flag.Bool("rewrite", false, "rewrite the generated parts of the pages")

// Lines around the generated part of a page.
const (
	beginMark = "<!-- generated: begin -->\n"
	endMark   = "<!-- generated: end -->\n"
)

// checkGenerated compares the part between the marks of a page with want, or replaces it
// when the flag -rewrite is set.
func checkGenerated(t *testing.T, page, want string) {
	t.Helper()
	raw, err := os.ReadFile(page)
	assert.NilError(t, err)
	before, rest, ok := strings.Cut(string(raw), beginMark)
	assert.Assert(t, ok, "%s does not contain the mark %q", page, beginMark)
	got, after, ok := strings.Cut(rest, endMark)
	assert.Assert(t, ok, "%s does not contain the mark %q", page, endMark)
	if *rewrite {
		assert.NilError(t, os.WriteFile(page, []byte(before+beginMark+want+endMark+after), 0o600))
		return
	}
	assert.Equal(t, got, want, "%s is out of date: run go test ./docs -run Reference -rewrite", page)
}

// Guards against a manifest reference that differs from schema/manifest.json.
func TestManifestReference(t *testing.T) {
	checkGenerated(t, "operators/manifest-reference.md", schemaTables(t, "manifest"))
}

// Guards against a settings reference that differs from schema/settings.json.
func TestSettingsReference(t *testing.T) {
	checkGenerated(t, "operators/settings-reference.md", schemaTables(t, "settings"))
}

// Guards against error kinds whose HTTP status, run state or Retry-After differs from the
// table in caller-api.md.
func TestErrorReference(t *testing.T) {
	kinds := errkind.All()
	slices.Sort(kinds)
	var b strings.Builder
	fmt.Fprintf(&b, "| kind | HTTP status | run state unless the error states another | `Retry-After` possible |\n|---|---|---|---|\n")
	for _, k := range kinds {
		answer := errkind.Lookup(k)
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s |\n", k, answer.HTTPStatus, answer.RunState, yesNo(answer.IsRetryable))
	}
	checkGenerated(t, "operators/caller-api.md", b.String())
}

// schemaField holds the JSON Schema keywords that the project's schemas use.
type schemaField struct {
	Ref              string                  `json:"$ref"`
	Title            string                  `json:"title"`
	Description      string                  `json:"description"`
	Type             string                  `json:"type"`
	Enum             []string                `json:"enum"`
	Const            any                     `json:"const"`
	Default          any                     `json:"default"`
	Pattern          string                  `json:"pattern"`
	Minimum          *json.Number            `json:"minimum"`
	Maximum          *json.Number            `json:"maximum"`
	ExclusiveMinimum *json.Number            `json:"exclusiveMinimum"`
	ExclusiveMaximum *json.Number            `json:"exclusiveMaximum"`
	MinItems         *json.Number            `json:"minItems"`
	MaxItems         *json.Number            `json:"maxItems"`
	MaxLength        *json.Number            `json:"maxLength"`
	Required         []string                `json:"required"`
	Properties       map[string]*schemaField `json:"properties"`
	Items            *schemaField            `json:"items"`
	Defs             map[string]*schemaField `json:"$defs"`
}

// schemaTables returns a table for the root of a schema and for each of its
// object definitions.
func schemaTables(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "schema", name+".json"))
	assert.NilError(t, err)
	var root schemaField
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	assert.NilError(t, decoder.Decode(&root))
	var b strings.Builder
	root.writeTable(&b, root.Defs)
	for _, def := range slices.Sorted(maps.Keys(root.Defs)) {
		if root.Defs[def].Type == "object" {
			root.Defs[def].writeTable(&b, root.Defs)
		}
	}
	return b.String()
}

// writeTable writes a Markdown table of the properties of an object.
func (f *schemaField) writeTable(b *strings.Builder, defs map[string]*schemaField) {
	fmt.Fprintf(b, "\n## %s\n\n%s\n\n", f.Title, f.Description)
	fmt.Fprintf(b, "| field | type | default | bounds | meaning |\n|---|---|---|---|---|\n")
	for _, name := range slices.Sorted(maps.Keys(f.Properties)) {
		p := f.Properties[name]
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", name, p.typeName(defs),
			p.defaultText(slices.Contains(f.Required, name)), p.boundsText(defs), p.descriptionText(defs))
	}
}

// resolveRef returns the definition that the field refers to, or the field itself.
func (f *schemaField) resolveRef(defs map[string]*schemaField) *schemaField {
	if def, ok := defs[strings.TrimPrefix(f.Ref, "#/$defs/")]; ok {
		return def
	}
	return f
}

// typeName returns the type of a field, with a link for an object.
func (f *schemaField) typeName(defs map[string]*schemaField) string {
	target := f.resolveRef(defs)
	switch target.Type {
	case "array":
		return "list of " + target.Items.typeName(defs)
	case "object":
		return fmt.Sprintf("[%s](#%s)", target.Title, strings.ToLower(target.Title))
	default:
		return target.Type
	}
}

// defaultText returns the content of the column default.
func (f *schemaField) defaultText(required bool) string {
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

// boundsText returns the limits of a value, and of the items of a list.
func (f *schemaField) boundsText(defs map[string]*schemaField) string {
	target := f.resolveRef(defs)
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
		out = append(out, formatPattern(target.Pattern))
	}
	if len(target.Enum) > 0 {
		out = append(out, formatEnum(target.Enum))
	}
	if target.Items != nil {
		if items := target.Items.boundsText(defs); items != "" {
			out = append(out, "each: "+items)
		}
	}
	return strings.Join(out, ", ")
}

// formatPattern formats a regular expression. The pattern for names, which many fields
// share, becomes a link.
func formatPattern(pattern string) string {
	if pattern == "^[a-z0-9][a-z0-9._-]{0,62}$" {
		return "[name](#names)"
	}
	return "`" + pattern + "`"
}

func formatEnum(values []string) string {
	var out []string
	for _, v := range values {
		if v != "" {
			out = append(out, "`"+v+"`")
		}
	}
	return "one of " + strings.Join(out, ", ")
}

// descriptionText returns the description of a field, or else that of its type.
func (f *schemaField) descriptionText(defs map[string]*schemaField) string {
	if f.Description != "" {
		return f.Description
	}
	target := f.resolveRef(defs)
	if target.Type == "array" {
		target = target.Items.resolveRef(defs)
	}
	return target.Description
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
