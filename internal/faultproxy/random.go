package faultproxy

// hash mixes words into a pseudo-random number.
func hash(words ...uint64) uint64 {
	x := uint64(0x9e3779b97f4a7c15)
	for _, w := range words {
		x = (x ^ w) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return x
}

// uniform returns a pseudo-random number from 0 to 1.
func uniform(words ...uint64) float64 { return float64(hash(words...)>>11) / (1 << 53) }

// hashText is the FNV-1a hash of a text.
func hashText(s string) uint64 {
	x := uint64(14695981039346656037)
	for i := range len(s) {
		x = (x ^ uint64(s[i])) * 1099511628211
	}
	return x
}
