package forwarding

import (
	"maps"

	"github.com/borageflow/borageflow/internal/forward"
)

// Copy is a copy of the workers of a store.
type Copy struct {
	revision int64
	workers  map[string]forward.Worker
}

// CopyWorkers returns a copy of the workers.
func (s *Store) CopyWorkers() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.workers)}
}

// ComeBack ends an outage of the store: it holds the workers of an older copy, in the next era. The other
// objects stay as they are.
func (s *Store) ComeBack(older Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, _ := forward.SplitRevision(s.revision)
	_, own := forward.SplitRevision(older.revision)
	s.revision = forward.EraRevision(era+1, own)
	s.oldestRevision = s.revision
	s.changes = nil
	s.workers = maps.Clone(older.workers)
	s.down = false
}
