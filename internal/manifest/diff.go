package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
)

// ChangeKind is the kind of a change to an item or field of a manifest.
type ChangeKind string

// Kinds of changes. Added and Removed apply to whole items, Changed to fields.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two manifests.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Section is the name of the changed list, such as "customers" or "versions",
	// or "manifest" for a field of the manifest itself.
	Section string `json:"section"`
	// Name is the name of the item; a version or operation is named "parent/name".
	// It is empty for a field of the manifest itself.
	Name string `json:"name,omitempty"`
	// Field is the changed field; empty when the whole item was added or removed.
	Field string `json:"field,omitempty"`
	// Old and New are the values as JSON; an absent value is empty.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	name := strings.TrimSpace(c.Section + " " + c.Name)
	switch c.Kind {
	case Added:
		return "+ " + name
	case Removed:
		return "- " + name
	}
	return fmt.Sprintf("~ %s %s: %s -> %s", name, c.Field, formatValue(c.Old), formatValue(c.New))
}

func formatValue(raw json.RawMessage) string {
	if len(raw) == 0 {
		return "(none)"
	}
	return string(raw)
}

// Changes lists the differences between two manifests.
type Changes []Change

// String returns one line per change.
func (c Changes) String() string {
	lines := make([]string, len(c))
	for i, change := range c {
		lines[i] = change.String()
	}
	return strings.Join(lines, "\n")
}

// listKeyFields maps the name of a list to the field that identifies its items.
var listKeyFields = map[string]string{
	"operators": "name", "customers": "name", "models": "name", "versions": "name",
	"services": "name", "operations": "name", "classes": "name", "rollouts": "version",
	"pools": "name", "objectives": "class",
}

// commitField is set by every commit. Diff ignores it because operators do not
// edit it.
const commitField = "commit"

// Diff returns the changes from old to next, sorted by section, name and field.
// Items are matched by name, so their order in a list does not matter. The error
// states that a manifest cannot be encoded or compared.
func Diff(old, next *api.Manifest) (Changes, error) {
	before, err := objectFields(old)
	if err != nil {
		return nil, err
	}
	after, err := objectFields(next)
	if err != nil {
		return nil, err
	}
	delete(before, commitField)
	delete(after, commitField)
	var changes Changes
	if err := diffFields(&changes, "manifest", "", before, after); err != nil {
		return nil, err
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].sortKey() < changes[j].sortKey() })
	return changes, nil
}

func (c Change) sortKey() string { return c.Section + "\x00" + c.Name + "\x00" + c.Field }

// objectFields returns the JSON fields of v.
func objectFields(v any) (map[string]json.RawMessage, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "manifest cannot be encoded as JSON")
	}
	var out map[string]json.RawMessage
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil, eris.Wrap(err, "fields of the manifest cannot be compared")
	}
	return out, nil
}

func diffFields(changes *Changes, section, name string, before, after map[string]json.RawMessage) error {
	for _, field := range sortedFieldNames(before, after) {
		oldValue, newValue := before[field], after[field]
		if bytes.Equal(oldValue, newValue) {
			continue
		}
		if key, ok := listKeyFields[field]; ok && isObjectList(oldValue, newValue) {
			if err := diffItems(changes, field, key, name, oldValue, newValue); err != nil {
				return err
			}
			continue
		}
		*changes = append(*changes, Change{Kind: Changed, Section: section, Name: name, Field: field, Old: oldValue, New: newValue})
	}
	return nil
}

// isObjectList reports whether one of the values is a list of objects. The field
// "models" of a customer is a list of names, that of the manifest one of objects.
func isObjectList(lists ...json.RawMessage) bool {
	for _, list := range lists {
		if bytes.HasPrefix(list, []byte("[{")) {
			return true
		}
	}
	return false
}

func diffItems(changes *Changes, section, key, parent string, oldValue, newValue json.RawMessage) error {
	before, err := itemsByName(oldValue, key, parent)
	if err != nil {
		return err
	}
	after, err := itemsByName(newValue, key, parent)
	if err != nil {
		return err
	}
	for name, item := range before {
		if _, ok := after[name]; !ok {
			*changes = append(*changes, Change{Kind: Removed, Section: section, Name: name, Old: encodeItem(item)})
		}
	}
	for name, item := range after {
		old, ok := before[name]
		if !ok {
			*changes = append(*changes, Change{Kind: Added, Section: section, Name: name, New: encodeItem(item)})
			continue
		}
		if err := diffFields(changes, section, name, old, item); err != nil {
			return err
		}
	}
	return nil
}

// itemsByName decodes a list of objects and returns them by name, prefixed with
// "parent/" if there is a parent.
func itemsByName(raw json.RawMessage, key, parent string) (map[string]map[string]json.RawMessage, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var list []map[string]json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, eris.Wrap(err, "list of the manifest cannot be compared")
	}
	out := map[string]map[string]json.RawMessage{}
	for _, item := range list {
		name := strings.Trim(string(item[key]), `"`)
		if parent != "" {
			name = parent + "/" + name
		}
		out[name] = item
	}
	return out, nil
}

// encodeItem returns an item as JSON. Encoding cannot fail, because the item was
// decoded from JSON.
func encodeItem(item map[string]json.RawMessage) json.RawMessage {
	raw, _ := json.Marshal(item)
	return raw
}

// sortedFieldNames returns the names of the fields of a and b without duplicates.
func sortedFieldNames(a, b map[string]json.RawMessage) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
