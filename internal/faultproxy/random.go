package faultproxy

// hash derives a pseudo-random number from words; equal words give equal numbers.
func hash(words ...uint64) uint64 {
	state := uint64(0x9e3779b97f4a7c15)
	for _, w := range words {
		state = (state ^ w) * 0xbf58476d1ce4e5b9
		state = (state ^ state>>27) * 0x94d049bb133111eb
		state ^= state >> 31
	}
	return state
}

// uniform derives a pseudo-random number in [0, 1) from words.
func uniform(words ...uint64) float64 { return float64(hash(words...)>>11) / (1 << 53) }

// hashText returns the FNV-1a hash of a string.
func hashText(text string) uint64 {
	sum := uint64(14695981039346656037)
	for i := range len(text) {
		sum = (sum ^ uint64(text[i])) * 1099511628211
	}
	return sum
}
