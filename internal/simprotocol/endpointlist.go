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
func (reader *Reader) decodeTopology(fields *cursor) (any, error) {
	mode := fields.u8()
	fields.u64() // version, not needed as lists arrive in order and none is skipped
	number := fields.u16()
	if fields.truncated {
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
func (reader *Reader) decodeCatalog(fields *cursor) error {
	number, count := fields.u16(), fields.u32()
	if fields.truncated || uint64(count)*endpointSize > uint64(len(fields.unread)) {
		fields.truncated = true
		return nil
	}
	if number >= maxCatalogs {
		return fmt.Errorf("catalog number %d is not below %d", number, maxCatalogs)
	}
	endpoints := make([]balancer.Endpoint, count)
	for i := range endpoints {
		if err := decodeEndpoint(fields, &endpoints[i]); err != nil {
			return err
		}
	}
	reader.catalogs[number] = endpoints
	return nil
}

// decodeEndpoint decodes an entry of a catalog.
func decodeEndpoint(fields *cursor, endpoint *balancer.Endpoint) error {
	endpoint.Zone = int(fields.u16())
	endpoint.Size = float64(fields.f32())
	endpoint.Cell = int(fields.u16())
	startedAt, err := decodeMicroseconds(fields.u64())
	if err != nil {
		return err
	}
	endpoint.StartedAt = startedAt
	endpoint.ID = fields.endpointID()
	state := fields.u8()
	fields.u16() // machine type, not used by the balancer
	if state > uint8(balancer.StateDraining) {
		return fmt.Errorf("endpoint %d: unknown state %d", endpoint.ID, state)
	}
	endpoint.State = balancer.EndpointState(state)
	if !(endpoint.Size >= 0 && endpoint.Size < maxLevel) { // also false for NaN
		return fmt.Errorf("endpoint %d: size %v is out of range", endpoint.ID, endpoint.Size)
	}
	return nil
}
