package balancer

// mix hashes a key and a server.
func mix(key uint64, id EndpointID) uint64 { return stir(key ^ salted(id)) }

// salted is a server's part of a hash.
func salted(id EndpointID) uint64 { return uint64(id) * 0x9e3779b97f4a7c15 }

func stir(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform hashes a key and a server to a number between 0 and 1.
func uniform(key uint64, id EndpointID) float64 { return (float64(mix(key, id)>>11) + 0.5) / (1 << 53) }
