package balancer

import (
	"math"
	"time"
)

const (
	// routeCacheCapacity limits the number of cached routes. A group whose route is evicted is redrawn.
	routeCacheCapacity = 1 << 14

	// routeLifetime is how long a route is valid after a connection of its group was last established.
	routeLifetime = 2 * time.Minute
)

// routeCache caches the endpoint of each group. It evicts the oldest entry when it is full.
type routeCache struct {
	capacity int
	index    map[uint64]int // in ring, by route key
	ring     []cachedRoute
	next     int // index of the oldest entry once the ring is full
}

// cachedRoute is the endpoint cached for a route key.
type cachedRoute struct {
	key       uint64
	endpoint  EndpointID
	expiresAt time.Duration
}

// get returns the endpoint cached for a key, and false if there is none or it has expired.
func (c *routeCache) get(key uint64, now time.Duration) (EndpointID, bool) {
	i, ok := c.index[key]
	if !ok || now >= c.ring[i].expiresAt {
		return 0, false
	}
	return c.ring[i].endpoint, true
}

// put caches the endpoint of a key. It ignores the key 0, which means that a request has none.
func (c *routeCache) put(key uint64, endpoint EndpointID, expiresAt time.Duration) {
	if key == 0 {
		return
	}
	i, ok := c.index[key]
	if !ok && len(c.ring) < c.capacity {
		i = len(c.ring)
		c.ring = append(c.ring, cachedRoute{})
	} else if !ok {
		i, c.next = c.next, (c.next+1)%c.capacity
		delete(c.index, c.ring[i].key)
	}
	c.index[key] = i
	c.ring[i] = cachedRoute{key, endpoint, expiresAt}
}

// invalidate expires the route of a key if it leads to the endpoint.
func (c *routeCache) invalidate(key uint64, endpoint EndpointID) {
	if i, ok := c.index[key]; ok && c.ring[i].endpoint == endpoint {
		c.ring[i].expiresAt = math.MinInt64
	}
}
