package quota

import "fmt"

// Settings are limits on the requests that are active and that begin. Zero is no limit.
type Settings struct {
	PerAddress     int            // active requests of a client address
	Rate           float64        // requests that an address may begin a second, averaged
	Burst          int            // and at once after a pause; 0: a second's worth, at least one
	PerClass       map[string]int // active requests of a class
	FairShareSlots int            // admission slots that are shared fairly among addresses once they run short; 0: they aren't
}

// maxRate bounds Settings.Rate.
const maxRate = 1e6

// Validate returns an error that says which limit is out of its range.
func (s *Settings) Validate() error {
	switch {
	case s.PerAddress < 0 || s.Burst < 0 || s.FairShareSlots < 0:
		return fmt.Errorf("a bound is negative")
	case !(s.Rate >= 0 && s.Rate < maxRate):
		return fmt.Errorf("a rate of %v is not within 0 and a million", s.Rate)
	case s.Burst > 0 && s.Rate == 0:
		return fmt.Errorf("a burst of %d without a rate", s.Burst)
	}
	for class, limit := range s.PerClass {
		if limit < 1 {
			return fmt.Errorf("class %q may have %d transactions: nobody of it would be served", class, limit)
		}
	}
	return nil
}

// burst returns how many requests an address may begin at once after a pause.
func (s *Settings) burst() float64 {
	if s.Burst > 0 {
		return float64(s.Burst)
	}
	return max(1, s.Rate)
}
