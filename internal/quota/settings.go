package quota

import "fmt"

// Settings limit the active requests and the rate of new ones. A zero field sets no limit.
type Settings struct {
	PerAddress     int            // max active requests per client address
	Rate           float64        // max average of new requests per second and address
	Burst          int            // max new requests at once per address; 0: those of a second at Rate, at least one
	PerClass       map[string]int // max active requests per class
	FairShareSlots int            // admission slots to share fairly among addresses when scarce; 0: not shared
}

// maxRate is the exclusive upper bound of Settings.Rate.
const maxRate = 1e6

// Validate returns an error that names the first limit that is out of range.
func (s *Settings) Validate() error {
	switch {
	case s.PerAddress < 0 || s.Burst < 0 || s.FairShareSlots < 0:
		return fmt.Errorf("negative limit: per_address %d, burst %d, fair-share slots %d", s.PerAddress, s.Burst, s.FairShareSlots)
	case !(s.Rate >= 0 && s.Rate < maxRate):
		return fmt.Errorf("rate is %v, must be at least 0 and below %v", s.Rate, maxRate)
	case s.Burst > 0 && s.Rate == 0:
		return fmt.Errorf("burst is %d, but rate is not set", s.Burst)
	}
	for class, limit := range s.PerClass {
		if limit < 1 {
			return fmt.Errorf("class %q is limited to %d transactions, must be at least 1", class, limit)
		}
	}
	return nil
}

// burst returns the capacity of an address's token bucket.
func (s *Settings) burst() float64 {
	if s.Burst > 0 {
		return float64(s.Burst)
	}
	return max(1, s.Rate)
}
