package platform

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

// instanceList and objectList are responses whose elements are decoded one by one: an element that another
// writer has left unreadable hides none of the others.
type instanceList struct {
	Instances []json.RawMessage `json:"instances"`
}

type objectList struct {
	Objects []json.RawMessage `json:"objects"`
}

// decodeElements returns the readable elements of a list, and the error of the first one that is left out.
func decodeElements[T any](raw []json.RawMessage, decode func(json.RawMessage) (T, error)) (elements []T, firstErr error) {
	elements = make([]T, 0, len(raw))
	for i, r := range raw {
		e, err := decode(r)
		if err == nil {
			elements = append(elements, e)
			continue
		}
		if firstErr == nil {
			firstErr = eris.Wrapf(err, "element %d of the list is left out", i)
		}
	}
	return elements, firstErr
}

func decodeInstance(raw json.RawMessage) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(raw, &i); err != nil {
		return i, eris.Wrap(err, "instance cannot be decoded")
	}
	if i.Name == "" {
		return i, eris.New("instance has no name")
	}
	if !isPeerAddress(i.Address) {
		return i, eris.Errorf("instance %q has address %q, must be host:port", i.Name, i.Address)
	}
	return i, nil
}

// isPeerAddress reports whether an instance can listen at an address.
func isPeerAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func decodeListedObject(raw json.RawMessage) (Object, error) {
	var o objectJSON
	if err := json.Unmarshal(raw, &o); err != nil {
		return Object{}, eris.Wrap(err, "object cannot be decoded")
	}
	if o.Key == "" || o.Version < 1 {
		return Object{}, eris.Errorf("object has key %q and version %d", o.Key, o.Version)
	}
	return o.object(), nil
}
