package balancer

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// fleet holds the servers in order of their IDs.
type fleet struct {
	servers []*server
	recent  fading  // new connections that warm servers took
	load    float64 // mean told load of a connection
	loads   float64 // told so far

	marks

	load0   float64   // of the ready servers together
	size0   float64   // and their size
	biggest float64   // the largest of them
	odd     []*server // those that may be cold, or have been slow: all others are neither
	salts   []uint64  // of their hashes, in the same order
	sieve   sieve     // of the draw at hand
}

// marks are what is worked out while a decision is made. Only decisions may change
// them: who looks on puts them back, so that all comes as it would have without.
type marks struct {
	perSize float64    // new connections a second and size, while there were warm servers
	sums    [4]float64 // totals as of the event at hand
	summed  bool
	sure    bool // the fleet's accounts are true; a list makes them untrue
}

func (f *fleet) search(id EndpointID) (int, bool) {
	return slices.BinarySearchFunc(f.servers, id, func(s *server, id EndpointID) int {
		return cmp.Compare(s.ID, id)
	})
}

func (f *fleet) find(id EndpointID) *server {
	if i, ok := f.search(id); ok {
		return f.servers[i]
	}
	return nil
}

// goneLife is how long a server that is gone is kept after anything was last sent to it.
const goneLife = time.Minute

// insert adds a server. Those that are long gone make room: changes alone may come for as long as the
// relay runs, and only a whole list drops what it leaves out.
func (f *fleet) insert(s *server, now time.Duration) {
	f.sure = false
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		return s.State == StateGone && len(s.conns) == 0 &&
			now > max(s.lastSent, s.stoodAt, s.failedAt)+goneLife
	})
	s.groups = make(map[uint64]int)
	i, _ := f.search(s.ID)
	f.servers = slices.Insert(f.servers, i, s)
}

// replace marks the servers that a whole list leaves out as gone, and drops
// those that nothing refers to any more.
func (f *fleet) replace(list []Endpoint) {
	f.sure = false
	named := make(map[EndpointID]bool, len(list))
	for _, line := range list {
		named[line.ID] = true
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		if !named[s.ID] {
			s.State = StateGone
		}
		return s.State == StateGone && len(s.conns) == 0
	})
}

// cold yields the ready servers that have started within a time.
func (f *fleet) cold(now, within time.Duration) iter.Seq[*server] {
	servers := f.servers
	if len(servers) >= largeFleet && f.sure {
		servers = f.odd
	}
	return func(yield func(*server) bool) {
		for _, s := range servers {
			if s.State == StateReady && s.StartedAt > 0 && now < s.StartedAt+within && !yield(s) {
				return
			}
		}
	}
}

// largeFleet is how many servers a fleet has for which it pays to keep accounts of it.
// Sums that are kept differ from those added up anew in their last digits; a smaller
// fleet has no need of that.
const largeFleet = 64

// leastLoad, in mean connections, is what rounding may leave of the load of a fleet that has none.
const leastLoad = 1e-9

// totals adds up the ready servers: what this relay has placed on them, their
// size, and the size of those that are warm and of those that are slow. It does
// so once an event; of a large fleet only the odd servers are looked at.
func (b *Balancer) totals() (load, size, warm, slow float64) {
	f := &b.fleet
	if f.summed {
		return f.sums[0], f.sums[1], f.sums[2], f.sums[3]
	}
	if len(f.servers) >= largeFleet {
		load, size, warm, slow = b.kept()
	} else {
		load, size, warm, slow = b.added(f.servers)
	}
	f.sums, f.summed = [4]float64{load, size, warm, slow}, true
	return load, size, warm, slow
}

// added adds up servers one by one.
func (b *Balancer) added(servers []*server) (load, size, warm, slow float64) {
	for _, s := range servers {
		if s.State == StateReady {
			load += s.demand()
			size += s.size()
			if b.warmth(s) >= 1 {
				warm += s.size()
			}
			if s.slowAt(b.now) {
				slow += s.size()
			}
		}
	}
	return load, size, warm, slow
}

// kept are the totals from the fleet's accounts.
func (b *Balancer) kept() (load, size, warm, slow float64) {
	f := &b.fleet
	if !f.sure {
		f.survey()
	}
	_, odd, warm, slow := b.added(f.odd)
	if load = f.load0; load < leastLoad {
		load = 0
	}
	return load, f.size0, f.size0 - odd + warm, slow
}

// survey goes through the whole fleet, after a list.
func (f *fleet) survey() {
	f.sure, f.load0, f.size0, f.biggest, f.odd = true, 0, 0, 0, f.odd[:0]
	f.salts = f.salts[:0]
	for _, s := range f.servers {
		s.fleet, s.odd = f, s.StartedAt > 0 || s.lastSlow > 0
		f.salts = append(f.salts, salted(s.ID))
		if s.State == StateReady {
			f.load0 += s.demand()
			f.size0 += s.size()
			f.biggest = max(f.biggest, s.size())
		}
		if s.odd {
			f.odd = append(f.odd, s)
		}
	}
}
