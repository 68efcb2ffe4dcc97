package balancer

// hashEndpointID hashes an endpoint ID by Fibonacci hashing, which spreads successive IDs over 64 bits.
func hashEndpointID(id EndpointID) uint64 { return uint64(id) * 0x9e3779b97f4a7c15 }

// mixBits mixes the bits of a number with the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func hashKey(key uint64, id EndpointID) uint64 { return mixBits(key ^ hashEndpointID(id)) }

// uniform hashes a key and an endpoint ID to a number in the open interval (0, 1).
func uniform(key uint64, id EndpointID) float64 {
	return (float64(hashKey(key, id)>>11) + 0.5) / (1 << 53)
}
