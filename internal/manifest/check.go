package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

var manifestSchema = schemacheck.Embedded("manifest")

// Check decodes a manifest and checks it against its schema and, if it matches,
// against the semantic rules that the schema cannot express. The error is
// schemacheck.Faults, sorted by path, with every fault of the stage that failed.
// A manifest above platform.MaxValueBytes is a fault at "$".
func Check(raw []byte) (api.Manifest, error) {
	if len(raw) > platform.MaxValueBytes {
		problem := fmt.Sprintf("has %d bytes, at most %d are allowed", len(raw), platform.MaxValueBytes)
		return api.Manifest{}, schemacheck.Faults{{Path: "$", Problem: problem}}
	}
	var m api.Manifest
	faults := findDuplicateFields(raw)
	if err := manifestSchema.Decode(raw, &m); err != nil {
		var found schemacheck.Faults
		if !errors.As(err, &found) {
			return api.Manifest{}, err
		}
		return api.Manifest{}, sortByPath(append(faults, found...))
	}
	faults = append(faults, checkSemantics(&m)...)
	if len(faults) > 0 {
		return api.Manifest{}, sortByPath(faults)
	}
	return m, nil
}

// sortByPath sorts faults in place and keeps the order of those with equal paths.
func sortByPath(faults schemacheck.Faults) schemacheck.Faults {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

// findDuplicateFields finds fields that occur more than once in an object. The JSON
// decoder would keep the last one and silently ignore the others.
func findDuplicateFields(raw []byte) schemacheck.Faults {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	var faults schemacheck.Faults
	// The schema check reports syntax errors.
	_ = walkValue(decoder, "$", &faults)
	return faults
}

func walkValue(d *json.Decoder, path string, faults *schemacheck.Faults) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return walkObject(d, path, faults)
	case json.Delim('['):
		return walkArray(d, path, faults)
	}
	return nil
}

func walkObject(d *json.Decoder, path string, faults *schemacheck.Faults) error {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		field := path + "." + name
		if seen[name] {
			*faults = append(*faults, schemacheck.Fault{Path: field, Problem: "occurs more than once in its object, at most once is allowed"})
		}
		seen[name] = true
		if err := walkValue(d, field, faults); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func walkArray(d *json.Decoder, path string, faults *schemacheck.Faults) error {
	for i := 0; d.More(); i++ {
		if err := walkValue(d, fmt.Sprintf("%s[%d]", path, i), faults); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}
