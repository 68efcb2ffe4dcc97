package discovery

import (
	"fmt"
	"slices"

	"lockroad/balancer"
)

// List is an endpoint list as the agent sends it: all endpoints if Complete,
// or else those that changed since the previous revision.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one endpoint of a List, in discovery's own terms.
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

// Phases of a Member that the watcher compares.
const (
	phaseReady = "ready"
	phaseGone  = "gone"
)

// maxMemberSize bounds the weight that a list may give an endpoint.
const maxMemberSize = 1e12

var endpointStates = map[string]balancer.EndpointState{
	phaseReady: balancer.StateReady, "draining": balancer.StateDraining, phaseGone: balancer.StateGone,
}

// state returns the endpoint state of a valid member, or an error that names
// the member.
func (m *Member) state() (balancer.EndpointState, error) {
	state, known := endpointStates[m.Phase]
	if !known || m.ID == "" || !(m.Size >= 0 && m.Size < maxMemberSize) {
		return state, fmt.Errorf("discovery: invalid member %q in phase %q of size %v", m.ID, m.Phase, m.Size)
	}
	return state, nil
}

// merge applies the changes of a delta to a complete list.
func (l *List) merge(delta List) {
	l.Revision, l.Complete = delta.Revision, true
	index := make(map[string]int, len(l.Members)) // a scan for each change would be quadratic over thousands
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
