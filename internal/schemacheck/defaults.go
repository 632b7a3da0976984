package schemacheck

import (
	"encoding/json"
	"strings"
)

// schemaNode holds the parts of a JSON Schema that default values depend on.
type schemaNode struct {
	Ref        string                 `json:"$ref"`
	Default    any                    `json:"default"`
	Properties map[string]*schemaNode `json:"properties"`
	Items      *schemaNode            `json:"items"`
	Defs       map[string]*schemaNode `json:"$defs"`
}

// parseSchemaNode parses a schema and resolves its references.
func parseSchemaNode(raw []byte) (*schemaNode, error) {
	root := &schemaNode{}
	if err := json.Unmarshal(raw, root); err != nil {
		return nil, err
	}
	root.resolveRefs(root.Defs)
	return root, nil
}

// resolveRefs replaces each reference below the node with the definition that it names.
func (n *schemaNode) resolveRefs(defs map[string]*schemaNode) {
	for name, property := range n.Properties {
		n.Properties[name] = property.resolveRef(defs)
	}
	if n.Items != nil {
		n.Items = n.Items.resolveRef(defs)
	}
	for _, def := range n.Defs {
		def.resolveRefs(defs)
	}
}

// resolveRef returns the definition that the node refers to, or the node itself.
func (n *schemaNode) resolveRef(defs map[string]*schemaNode) *schemaNode {
	if def, ok := defs[strings.TrimPrefix(n.Ref, "#/$defs/")]; ok {
		return def
	}
	n.resolveRefs(defs)
	return n
}

// fillDefaults sets the default value of every absent property below value.
func (n *schemaNode) fillDefaults(value any) {
	switch v := value.(type) {
	case map[string]any:
		n.fillObjectDefaults(v)
	case []any:
		if n.Items == nil {
			return
		}
		for _, item := range v {
			n.Items.fillDefaults(item)
		}
	}
}

// fillObjectDefaults sets the default values of one object.
func (n *schemaNode) fillObjectDefaults(object map[string]any) {
	for name, property := range n.Properties {
		existing, ok := object[name]
		if ok {
			property.fillDefaults(existing)
			continue
		}
		if property.Default != nil {
			object[name] = property.Default
		}
	}
}
