package testutil

// Source turns the bytes of a fuzzer into choices; when they are used up it chooses 0. Equal
// bytes give equal choices.
type Source struct{ data []byte }

// NewSource returns a Source of the bytes of a fuzzer, which it does not copy.
func NewSource(data []byte) *Source { return &Source{data: data} }

// More reports whether there are bytes left.
func (s *Source) More() bool { return len(s.data) > 0 }

// Pick returns a number from 0 up to n-1; numbers over 255 are never chosen.
func (s *Source) Pick(n int) int {
	if len(s.data) == 0 {
		return 0
	}
	choice := s.data[0]
	s.data = s.data[1:]
	return int(choice) % n
}

// Cut splits bytes at a random place after the first.
func (s *Source) Cut(data []byte) (part, rest []byte) {
	if len(data) == 0 {
		return nil, nil
	}
	n := 1 + s.Pick(len(data))
	return data[:n], data[n:]
}
