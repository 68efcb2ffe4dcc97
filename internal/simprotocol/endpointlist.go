package simprotocol

import (
	"fmt"

	"lockroad/balancer"
)

// listKinds has the kinds of lists by the mode of a topology record.
var listKinds = map[uint8]balancer.ListKind{
	0: balancer.ListFailed,
	2: balancer.ListFull,
	3: balancer.ListCached,
	4: balancer.ListDelta,
}

// decodeTopology decodes the delivery of an endpoint list, which an earlier catalog record holds.
func (reader *Reader) decodeTopology(c *cursor) (any, error) {
	mode := c.u8()
	c.u64() // version, not needed as lists arrive in order and none is skipped
	number := c.u16()
	if c.truncated {
		return nil, nil
	}
	kind, ok := listKinds[mode]
	if !ok {
		return nil, fmt.Errorf("unknown mode %d", mode)
	}
	if kind == balancer.ListFailed {
		return balancer.EndpointList{Kind: kind}, nil
	}
	if number >= maxCatalogs || reader.catalogs[number] == nil {
		return nil, fmt.Errorf("no catalog has the number %d", number)
	}
	return balancer.EndpointList{Kind: kind, Endpoints: reader.catalogs[number]}, nil
}

// decodeCatalog decodes a numbered endpoint list and stores it for topology records. Numbers are
// reused, and events may still hold the earlier list, so its slice is replaced and not overwritten.
func (reader *Reader) decodeCatalog(c *cursor) error {
	number, count := c.u16(), c.u32()
	if c.truncated || uint64(count)*endpointSize > uint64(len(c.unread)) {
		c.truncated = true
		return nil
	}
	if number >= maxCatalogs {
		return fmt.Errorf("catalog number %d is not below %d", number, maxCatalogs)
	}
	endpoints := make([]balancer.Endpoint, count)
	for i := range endpoints {
		if err := decodeEndpoint(c, &endpoints[i]); err != nil {
			return err
		}
	}
	reader.catalogs[number] = endpoints
	return nil
}

// decodeEndpoint decodes an entry of a catalog.
func decodeEndpoint(c *cursor, endpoint *balancer.Endpoint) error {
	endpoint.Zone = int(c.u16())
	endpoint.Size = float64(c.f32())
	endpoint.Cell = int(c.u16())
	startedAt, err := decodeMicroseconds(c.u64())
	if err != nil {
		return err
	}
	endpoint.StartedAt = startedAt
	endpoint.ID = c.endpointID()
	state := c.u8()
	c.u16() // machine type, not used by the balancer
	if state > uint8(balancer.StateDraining) {
		return fmt.Errorf("endpoint %d: unknown state %d", endpoint.ID, state)
	}
	endpoint.State = balancer.EndpointState(state)
	if !(endpoint.Size >= 0 && endpoint.Size < maxLevel) { // also false for NaN
		return fmt.Errorf("endpoint %d: size %v is out of range", endpoint.ID, endpoint.Size)
	}
	return nil
}
