// Package schemacheck validates JSON documents against the embedded schemas and decodes
// them. It reports all faults of a document at once, each with its path and the values
// that are allowed.
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

const schemaBaseURL = "https://borageflow.dev/schema/"

// Fault is a violation of the schema, or of a rule beyond it, in a document.
type Fault struct {
	// Path is the JSON path, such as "$.customers[2].weight".
	Path string `json:"path"`
	// Problem states what is wrong and what is allowed.
	Problem string `json:"problem"`
}

// String returns the path and the problem.
func (f Fault) String() string { return f.Path + ": " + f.Problem }

// Faults is an error that holds every fault of a document.
type Faults []Fault

// Error returns the faults, separated by semicolons.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "; ")
}

// Print writes the number of faults and then each fault on its own line. Document is the
// name that the first line shows.
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

// Schema validates and decodes documents of one kind. It is compiled at the first use,
// because a process needs only one or two of the schemas and compiling all of them
// takes 16 ms of its start.
type Schema struct {
	load func() (*compiledSchema, error)
}

// compiledSchema is a schema that is ready for validation, with its default values.
type compiledSchema struct {
	validator *jsonschema.Schema
	defaults  *schemaNode
}

// Embedded returns the schema <name>.json of package schema. An unknown name is reported
// by Decode.
func Embedded(name string) *Schema {
	return &Schema{load: sync.OnceValues(func() (*compiledSchema, error) { return compile(name) })}
}

// compile reads and compiles an embedded schema.
func compile(name string) (*compiledSchema, error) {
	raw, err := schema.Files.ReadFile(name + ".json")
	if err != nil {
		return nil, eris.Wrapf(err, "schema %q does not exist", name)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrapf(err, "schema %q is not valid JSON", name)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaBaseURL+name+".json", doc); err != nil {
		return nil, eris.Wrapf(err, "schema %q cannot be added to the compiler", name)
	}
	compiled, err := compiler.Compile(schemaBaseURL + name + ".json")
	if err != nil {
		return nil, eris.Wrapf(err, "schema %q cannot be compiled", name)
	}
	defaults, err := parseSchemaNode(raw)
	if err != nil {
		return nil, eris.Wrapf(err, "default values of schema %q cannot be read", name)
	}
	return &compiledSchema{validator: compiled, defaults: defaults}, nil
}

// Decode validates raw, sets the default values of absent properties and decodes the
// document into out. It returns Faults for a document that does not match the schema.
func (s *Schema) Decode(raw []byte, out any) error {
	compiled, err := s.load()
	if err != nil {
		return err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return Faults{{Path: "$", Problem: fmt.Sprintf("is not JSON: %v", err)}}
	}
	if err := compiled.validator.Validate(doc); err != nil {
		return toFaults(err)
	}
	compiled.defaults.fillDefaults(doc)
	filled, err := json.Marshal(doc)
	if err != nil {
		return eris.Wrap(err, "document cannot be encoded after its defaults are set")
	}
	if err := json.Unmarshal(filled, out); err != nil {
		return Faults{{Path: "$", Problem: err.Error()}}
	}
	return nil
}

// toFaults converts a validation error to sorted Faults.
func toFaults(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return eris.Wrap(err, "document cannot be validated")
	}
	var faults Faults
	appendFaults(invalid, &faults)
	sort.Slice(faults, func(i, j int) bool { return faults[i].String() < faults[j].String() })
	return faults
}

// appendFaults appends a fault for each leaf of a validation error. The inner nodes only
// name the schema that failed.
func appendFaults(e *jsonschema.ValidationError, faults *Faults) {
	for _, cause := range e.Causes {
		appendFaults(cause, faults)
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

// jsonPath formats a location as a path such as $.customers[2].weight.
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
