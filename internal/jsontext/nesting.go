// Package jsontext bounds JSON texts that other writers may have shaped.
package jsontext

// MaxNesting is the deepest nesting that is read in a list of objects of several writers. Objects of the system
// stay below 12. encoding/json refuses a whole document that is nested more than 10,000 levels deep.
const MaxNesting = 100

// LimitNesting returns a JSON text in which each array and object below MaxNesting levels is null, so that
// one object of another writer doesn't make the others unreadable. Other texts are returned as they are.
func LimitNesting(text []byte) []byte {
	var out []byte // nil until something is left out
	depth, copied := 0, 0
	inString := false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++ // the next byte is escaped
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			if depth++; depth == MaxNesting+1 {
				out = append(append(out, text[copied:i]...), "null"...)
			}
		case c == ']' || c == '}':
			if depth--; depth == MaxNesting {
				copied = i + 1
			}
		}
	}
	switch {
	case out == nil:
		return text
	case depth > MaxNesting:
		return out // the text ends within what is left out
	}
	return append(out, text[copied:]...)
}
