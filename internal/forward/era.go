package forward

// eraShift is the number of bits of a revision within an era of the store.
const eraShift = 40

// EraRevision returns a revision of the store that is higher than all revisions of earlier eras. An
// era begins when the store has come back from an older copy: its own revisions go back then, and
// are given out again.
func EraRevision(era, revision int64) int64 { return era<<eraShift | revision }

// SplitRevision returns the era and the store's own revision of what EraRevision returned.
func SplitRevision(revision int64) (era, own int64) {
	return revision >> eraShift, revision & (1<<eraShift - 1)
}

// IsNewerEra reports whether a revision belongs to a later era than another.
func IsNewerEra(revision, than int64) bool { return revision>>eraShift > than>>eraShift }
