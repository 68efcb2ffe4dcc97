package simprotocol

import (
	"fmt"

	"lockroad/balancer"
)

var listKinds = map[uint8]balancer.ListKind{
	0: balancer.ListFailed,
	2: balancer.ListFull,
	3: balancer.ListCached,
	4: balancer.ListDelta,
}

// decodeTopology decodes an endpoint list's arrival, which names a catalog sent before.
func (reader *Reader) decodeTopology(c *cursor) (any, error) {
	mode := c.u8()
	c.u64() // the version: lists arrive in order with none skipped, so it isn't needed
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
		return nil, fmt.Errorf("no list has the number %d", number)
	}
	return balancer.EndpointList{Kind: kind, Endpoints: reader.catalogs[number]}, nil
}

// decodeCatalog decodes a numbered endpoint list. Numbers are used again; the slice of an
// earlier list is never written to, as its events may still hold it.
func (reader *Reader) decodeCatalog(c *cursor) error {
	number, count := c.u16(), c.u32()
	if c.truncated || uint64(count)*endpointSize > uint64(len(c.unread)) {
		c.truncated = true
		return nil
	}
	if number >= maxCatalogs {
		return fmt.Errorf("list number %d is not below %d", number, maxCatalogs)
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
	c.u16() // the machine's kind: decisions go by what is observed
	if state > uint8(balancer.StateDraining) {
		return fmt.Errorf("server %d: unknown state %d", endpoint.ID, state)
	}
	endpoint.State = balancer.EndpointState(state)
	if !(endpoint.Size >= 0 && endpoint.Size < maxLevel) { // also false for NaN
		return fmt.Errorf("server %d: weight %v is out of range", endpoint.ID, endpoint.Size)
	}
	return nil
}
