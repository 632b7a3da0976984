// Package schemacheck decodes JSON documents against the embedded schemas. It
// reports every fault at once, each with its path and what is allowed.
package schemacheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/borageflow/borageflow/schema"
)

const baseURL = "https://borageflow.dev/schema/"

// Fault is one fault of a document.
type Fault struct {
	// Path is the JSON path, such as "$.customers[2].weight".
	Path string `json:"path"`
	// Problem says what is wrong and what is allowed.
	Problem string `json:"problem"`
}

// String returns the path and the problem.
func (f Fault) String() string { return f.Path + ": " + f.Problem }

// Faults is the error that lists every fault of a document.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "; ")
}

// Print lists the faults of the named document, each on a line of its own.
func (f Faults) Print(out io.Writer, document string) {
	noun := "faults"
	if len(f) == 1 {
		noun = "fault"
	}
	fmt.Fprintf(out, "%s has %d %s:\n", document, len(f), noun)
	for _, fault := range f {
		fmt.Fprintln(out, "  "+fault.String())
	}
}

// Schema checks documents of one kind. It is compiled at its first use: a process needs one
// or two of the schemas, and all of them took 16 ms of its start.
type Schema struct {
	load func() (*rules, error)
}

// rules is a compiled schema.
type rules struct {
	compiled *jsonschema.Schema
	defaults *node
}

// Embedded returns the schema "<name>.json" that is part of the binary.
func Embedded(name string) *Schema {
	return &Schema{load: sync.OnceValues(func() (*rules, error) { return compile(name) })}
}

func compile(name string) (*rules, error) {
	raw, err := schema.Files.ReadFile(name + ".json")
	if err != nil {
		return nil, eris.Wrapf(err, "schema %q does not exist", name)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrapf(err, "schema %q is not JSON", name)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(baseURL+name+".json", doc); err != nil {
		return nil, eris.Wrapf(err, "schema %q cannot be added", name)
	}
	compiled, err := compiler.Compile(baseURL + name + ".json")
	if err != nil {
		return nil, eris.Wrapf(err, "schema %q cannot be compiled", name)
	}
	defaults, err := newDefaults(raw)
	if err != nil {
		return nil, eris.Wrapf(err, "schema %q has unreadable defaults", name)
	}
	return &rules{compiled: compiled, defaults: defaults}, nil
}

// Decode checks raw, fills in defaults and decodes it into out. A document that
// does not match yields Faults.
func (s *Schema) Decode(raw []byte, out any) error {
	rules, err := s.load()
	if err != nil {
		return err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return Faults{{Path: "$", Problem: fmt.Sprintf("is not JSON: %v", err)}}
	}
	if err := rules.compiled.Validate(doc); err != nil {
		return toFaults(err)
	}
	rules.defaults.fill(doc)
	filled, err := json.Marshal(doc)
	if err != nil {
		return eris.Wrap(err, "document cannot be encoded")
	}
	if err := json.Unmarshal(filled, out); err != nil {
		return Faults{{Path: "$", Problem: err.Error()}}
	}
	return nil
}

func toFaults(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return eris.Wrap(err, "document cannot be checked")
	}
	var faults Faults
	collect(invalid, &faults)
	sort.Slice(faults, func(i, j int) bool { return faults[i].String() < faults[j].String() })
	return faults
}

// collect appends the leaves of a validation error; the inner nodes only name
// the schema that failed.
func collect(e *jsonschema.ValidationError, faults *Faults) {
	for _, cause := range e.Causes {
		collect(cause, faults)
	}
	if len(e.Causes) > 0 {
		return
	}
	printer := message.NewPrinter(language.English)
	path := jsonPath(e.InstanceLocation)
	if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, property := range extra.Properties {
			*faults = append(*faults, Fault{Path: path + "." + property, Problem: "unknown field"})
		}
		return
	}
	*faults = append(*faults, Fault{Path: path, Problem: e.ErrorKind.LocalizedString(printer)})
}

func jsonPath(location []string) string {
	var b strings.Builder
	b.WriteString("$")
	for _, part := range location {
		if isIndex(part) {
			b.WriteString("[" + part + "]")
			continue
		}
		b.WriteString("." + part)
	}
	return b.String()
}

func isIndex(part string) bool {
	if part == "" {
		return false
	}
	return strings.Trim(part, "0123456789") == ""
}
