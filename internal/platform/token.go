package platform

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxTokenBytes bounds a token file.
const maxTokenBytes = 16 << 10

// tokenFile holds a bearer token that is read again when its file changes.
type tokenFile struct {
	path string

	mu       sync.Mutex
	token    string
	modified time.Time
}

func newTokenFile(path string) *tokenFile { return &tokenFile{path: path} }

// read returns the present token; the empty path has none.
func (f *tokenFile) read() (string, error) {
	if f.path == "" {
		return "", nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	info, err := os.Stat(f.path)
	if err != nil {
		return f.kept(eris.Wrapf(err, "token file %q cannot be read", f.path))
	}
	if f.token != "" && info.ModTime().Equal(f.modified) {
		return f.token, nil
	}
	if info.Size() > maxTokenBytes {
		return f.kept(eris.Errorf("token file %q exceeds %d bytes", f.path, maxTokenBytes))
	}
	raw, err := os.ReadFile(f.path)
	if err != nil {
		return f.kept(eris.Wrapf(err, "token file %q cannot be read", f.path))
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return f.kept(eris.Errorf("token file %q is empty", f.path))
	}
	f.token, f.modified = token, info.ModTime()
	return f.token, nil
}

// kept returns the last token while its file is being replaced.
func (f *tokenFile) kept(err error) (string, error) {
	if f.token != "" {
		return f.token, nil
	}
	return "", err
}
