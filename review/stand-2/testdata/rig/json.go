package rig

import "encoding/json"

// mustJSON returns the JSON of a value that always has one.
func mustJSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// Ready returns the list entry of a server that has been up for long.
func (s *Server) Ready() Member {
	return Member{ID: s.Name, HostPort: s.Address, Locality: "hall-a", Flavor: "std-2", Phase: "ready", Size: 1}
}

// Draining returns the list entry of a server that drains.
func (s *Server) Draining() Member {
	member := s.Ready()
	member.Phase = "draining"
	return member
}
