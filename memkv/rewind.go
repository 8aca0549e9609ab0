package memkv

import (
	"fmt"
	"maps"

	"currantstile/store"
)

// Copy is the state of a store at some time.
type Copy struct {
	revision store.Revision
	entries  map[string]store.Entry
}

// Copy returns a copy of the present state.
func (m *Store) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{
		revision: m.revision,
		entries:  maps.Clone(m.entries),
	}
}

// Rewind returns to a copy in a new era: what was written since is gone, as are the leases, and the numbers
// of revisions are issued again. Keys keep their entries whatever lease they had.
func (m *Store) Rewind(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision = m.era.Position(c.revision.Number())
	m.entries = make(map[string]store.Entry, len(c.entries))
	for k, e := range c.entries {
		e.Revision = m.era.At(e.Revision.Number())
		m.entries[k] = e
	}
	m.deleted = nil
}

// leaseOf returns the lease that is granted in an era.
func leaseOf(era store.Era) store.LeaseID {
	if era == 0 {
		return "lease"
	}
	return store.LeaseID(fmt.Sprintf("lease-%d", era))
}
