package platform

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxTokenBytes is the largest token file.
const maxTokenBytes = 16 << 10

// tokenFile caches a bearer token and reads it again when the modification time of
// its file changes.
type tokenFile struct {
	path string

	mu      sync.Mutex
	token   string
	modTime time.Time
}

func newTokenFile(path string) *tokenFile { return &tokenFile{path: path} }

// currentToken returns the token in the file, or "" when the path is empty. If the
// file cannot be read, it returns the previous token.
func (f *tokenFile) currentToken() (string, error) {
	if f.path == "" {
		return "", nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	info, err := os.Stat(f.path)
	if err != nil {
		return f.previousOr(eris.Wrapf(err, "token file %q cannot be read", f.path))
	}
	if f.token != "" && info.ModTime().Equal(f.modTime) {
		return f.token, nil
	}
	if info.Size() > maxTokenBytes {
		return f.previousOr(eris.Errorf("token file %q exceeds %d bytes", f.path, maxTokenBytes))
	}
	raw, err := os.ReadFile(f.path)
	if err != nil {
		return f.previousOr(eris.Wrapf(err, "token file %q cannot be read", f.path))
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return f.previousOr(eris.Errorf("token file %q is empty", f.path))
	}
	f.token, f.modTime = token, info.ModTime()
	return f.token, nil
}

// previousOr returns the previous token, which stays valid while the file is being
// replaced, or err when there is none.
func (f *tokenFile) previousOr(err error) (string, error) {
	if f.token != "" {
		return f.token, nil
	}
	return "", err
}
