package balancer

// hashEndpointID is an endpoint's part of a hash: the golden ratio spreads successive IDs.
func hashEndpointID(id EndpointID) uint64 { return uint64(id) * 0x9e3779b97f4a7c15 }

// mixBits spreads the bits of a number, as the finalizer of SplitMix64 does.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashKey hashes a key and an endpoint.
func hashKey(key uint64, id EndpointID) uint64 { return mixBits(key ^ hashEndpointID(id)) }

// uniform hashes a key and an endpoint to a number between 0 and 1, both excluded.
func uniform(key uint64, id EndpointID) float64 {
	return (float64(hashKey(key, id)>>11) + 0.5) / (1 << 53)
}
