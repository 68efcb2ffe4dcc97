package balancer

import (
	"math"
	"time"
)

const (
	cacheSize = 1 << 14         // routes held
	cacheLife = 2 * time.Minute // a route not confirmed for this long is forgotten
)

// routes is a bounded cache of the servers of groups; the oldest entry goes first.
type routes struct {
	size int
	at   map[uint64]int // place in ring
	ring []route
	next int
}

type route struct {
	key    uint64
	server EndpointID
	until  time.Duration
}

func (r *routes) get(key uint64, now time.Duration) (EndpointID, bool) {
	i, ok := r.at[key]
	if !ok || now >= r.ring[i].until {
		return 0, false
	}
	return r.ring[i].server, true
}

func (r *routes) put(key uint64, id EndpointID, until time.Duration) {
	if key == 0 {
		return
	}
	i, ok := r.at[key]
	if !ok && len(r.ring) < r.size {
		i = len(r.ring)
		r.ring = append(r.ring, route{})
	} else if !ok {
		i, r.next = r.next, (r.next+1)%r.size
		delete(r.at, r.ring[i].key)
	}
	r.at[key] = i
	r.ring[i] = route{key, id, until}
}

// clear forgets the route of a group if it leads to the server.
func (r *routes) clear(key uint64, id EndpointID) {
	if i, ok := r.at[key]; ok && r.ring[i].server == id {
		r.ring[i].until = math.MinInt64
	}
}
