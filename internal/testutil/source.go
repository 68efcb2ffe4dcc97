package testutil

// Source turns the bytes of a fuzzer into choices. Equal bytes give equal choices; once the
// bytes are used up, every choice is 0.
type Source struct{ data []byte }

// NewSource returns a Source of the bytes of a fuzzer. It does not copy data.
func NewSource(data []byte) *Source { return &Source{data: data} }

// More reports whether there are bytes left.
func (s *Source) More() bool { return len(s.data) > 0 }

// Pick returns a number in [0, limit), at most 255.
func (s *Source) Pick(limit int) int {
	if len(s.data) == 0 {
		return 0
	}
	choice := s.data[0]
	s.data = s.data[1:]
	return int(choice) % limit
}

// Cut splits data at a chosen position after its first byte.
func (s *Source) Cut(data []byte) (part, rest []byte) {
	if len(data) == 0 {
		return nil, nil
	}
	n := 1 + s.Pick(len(data))
	return data[:n], data[n:]
}
