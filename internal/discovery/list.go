package discovery

import (
	"fmt"
	"slices"

	"lockroad/balancer"
)

// List is an endpoint list as the agent sends it: all endpoints if Complete,
// otherwise those that changed since the previous revision.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one endpoint of a List, with the fields of the discovery protocol.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`       // "ready", "draining" or "gone"
	Size     float64 `json:"size"`        // relative weight
	UpSince  int64   `json:"up_since_ms"` // Unix time in milliseconds
}

// Values of Member.Phase that the watcher compares.
const (
	phaseReady = "ready"
	phaseGone  = "gone"
)

// maxMemberSize is the exclusive upper bound of Member.Size.
const maxMemberSize = 1e12

var endpointStates = map[string]balancer.EndpointState{
	phaseReady: balancer.StateReady, "draining": balancer.StateDraining, phaseGone: balancer.StateGone,
}

// state returns the balancer's state for the phase of a member, or an error if
// the member is invalid.
func (m *Member) state() (balancer.EndpointState, error) {
	state, known := endpointStates[m.Phase]
	if !known || m.ID == "" || !(m.Size >= 0 && m.Size < maxMemberSize) {
		return state, fmt.Errorf("discovery: invalid member %q: phase %q, size %v", m.ID, m.Phase, m.Size)
	}
	return state, nil
}

// merge applies the changes of a delta to a complete list.
func (l *List) merge(delta List) {
	l.Revision, l.Complete = delta.Revision, true
	index := make(map[string]int, len(l.Members)) // a linear search for each change would take quadratic time
	for i, member := range l.Members {
		index[member.ID] = i
	}
	for _, member := range delta.Members {
		if i, exists := index[member.ID]; exists {
			l.Members[i] = member
			continue
		}
		index[member.ID] = len(l.Members)
		l.Members = append(l.Members, member)
	}
	l.Members = slices.DeleteFunc(l.Members, func(m Member) bool { return m.Phase == phaseGone })
}
