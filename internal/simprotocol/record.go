package simprotocol

import (
	"errors"
	"fmt"
	"time"

	"lockroad/balancer"
)

// Codes of event records, with the names of the simulator's protocol.
const (
	codeAttach     = 1
	codeTopology   = 2
	codeRequest    = 3
	codeBegun      = 4
	codeOutcome    = 5
	codeClientLeft = 6
	codeWake       = 7
	codeProbeDone  = 8
	codeDatagram   = 9
	codeRetire     = 10
	codeCatalog    = 11
	codeResumed    = 12
	codeHeartbeat  = 13
)

// Flags of a request.
const (
	flagLoadValid = 1
	flagReturning = 16
)

// Kinds of a heartbeat record.
const (
	levelIsLoad  = 1
	levelIsDelay = 2
)

// maxLevel bounds heartbeat levels and endpoint sizes, which are floats on the wire.
const maxLevel = 1e12

// Attach is the record that starts an instance.
type Attach struct {
	Seed     uint64
	Settings balancer.Settings
}

// Retire is the record that ends an instance.
type Retire struct{}

// Record is a decoded record. Its Body is an Attach, a Retire, a balancer.Event, or nil for records
// that no instance has to handle.
type Record struct {
	Instance uint32
	Body     any
}

// decodeRecord decodes the fields of a record.
func (reader *Reader) decodeRecord(code uint8, fields *cursor) (Record, error) {
	if code == codeCatalog { // shared by all instances
		return Record{}, reader.decodeCatalog(fields)
	}
	if code == 0 || code > codeHeartbeat {
		return Record{}, errors.New("unknown code")
	}
	instance := fields.u32()
	body, err := reader.decodeBody(code, fields)
	return Record{Instance: instance, Body: body}, err
}

// decodeBody decodes the fields after the instance number.
func (reader *Reader) decodeBody(code uint8, fields *cursor) (any, error) {
	switch code {
	case codeAttach:
		return decodeAttach(fields)
	case codeTopology:
		return reader.decodeTopology(fields)
	case codeRequest:
		return decodeRequest(fields), nil
	case codeResumed:
		return decodeResumed(fields), nil
	case codeBegun:
		return decodeEstablished(fields), nil
	case codeOutcome:
		return decodeOutcome(fields)
	case codeClientLeft:
		return balancer.ClientLeft{Request: fields.requestID()}, nil
	case codeWake:
		return balancer.Timer{Token: fields.u32()}, nil
	case codeProbeDone:
		skipProbe(fields)
	case codeDatagram:
		skipDatagram(fields)
	case codeRetire:
		return Retire{}, nil
	case codeHeartbeat:
		return decodeHeartbeat(fields)
	}
	return nil, nil
}

func decodeAttach(fields *cursor) (any, error) {
	seed, text := fields.u64(), fields.bytes(fields.u32())
	if fields.truncated {
		return nil, nil
	}
	settings, err := ParseSettings(text)
	if err != nil {
		return nil, err
	}
	return Attach{Seed: seed, Settings: settings}, nil
}

func decodeRequest(fields *cursor) balancer.Request {
	var request balancer.Request
	request.ID = fields.requestID()
	request.Class = int(fields.u8())
	fields.u16() // tenant, not used by the balancer
	request.Item = fields.u64()
	request.TimeLeft = fields.duration()
	load := fields.u32()
	request.Group = fields.u64()
	setRequestFlags(&request, fields.u16(), load)
	return request
}

func decodeResumed(fields *cursor) balancer.Resumed {
	var request balancer.Request
	request.ID = fields.requestID()
	request.TimeLeft = fields.duration()
	endpoint := fields.endpointID()
	request.Group = fields.u64()
	request.Class = int(fields.u8())
	load := fields.u32()
	fields.u16() // tenant, not used by the balancer
	request.Item = fields.u64()
	setRequestFlags(&request, fields.u16(), load)
	return balancer.Resumed{Request: request, Endpoint: endpoint}
}

// setRequestFlags sets the fields that depend on flags. load is in microseconds of work per second.
func setRequestFlags(request *balancer.Request, flags uint16, load uint32) {
	if flags&flagLoadValid != 0 {
		request.ExpectedLoad = float64(load) / 1e6
	}
	request.Returning = flags&flagReturning != 0
}

func decodeEstablished(c *cursor) balancer.Established {
	id, setupTime := c.requestID(), c.duration()
	c.u16() // attempt number, not needed as the attempts of a request never overlap
	return balancer.Established{Request: id, Endpoint: c.endpointID(), SetupTime: setupTime}
}

// skipProbe skips the result of a probe, as the balancer sends none.
func skipProbe(fields *cursor) {
	fields.u32()
	fields.u16()
	fields.u32()
	fields.skipFloats()
}

// skipDatagram skips a message between relays, as the balancer sends none.
func skipDatagram(c *cursor) {
	c.u32()
	c.bytes(uint32(c.u16()))
}

// statuses has the statuses of attempts by the codes of outcome records.
var statuses = map[uint16]balancer.AttemptStatus{
	100: balancer.StatusOK,
	301: balancer.StatusError,
	302: balancer.StatusFull,
	303: balancer.StatusTimeout,
	304: balancer.StatusConnectFailed,
	305: balancer.StatusReset,
	306: balancer.StatusCancelled,
	307: balancer.StatusNotSent,
}

func decodeOutcome(fields *cursor) (any, error) {
	var outcome balancer.Outcome
	outcome.Request = fields.requestID()
	outcome.Final = fields.u8() != 0
	fields.u32() // duration, not used by the balancer
	fields.u16() // attempt number, not needed as the attempts of a request never overlap
	code := fields.u16()
	outcome.Endpoint = fields.endpointID()
	fields.skipFloats() // load reports, not used by the balancer
	status, ok := statuses[code]
	if !ok && !fields.truncated {
		return nil, fmt.Errorf("unknown outcome code %d", code)
	}
	outcome.Status = status
	return outcome, nil
}

// decodeHeartbeat decodes a report of a connection's load, in microseconds of work per second, or of an
// endpoint's message delay, in milliseconds.
func decodeHeartbeat(fields *cursor) (any, error) {
	id := fields.requestID()
	fields.u16() // attempt number, not needed as the attempts of a request never overlap
	endpoint := fields.endpointID()
	kind, level := fields.u8(), float64(fields.f32())
	if fields.truncated {
		return nil, nil
	}
	if !(level >= 0 && level < maxLevel) { // also false for NaN
		return nil, fmt.Errorf("heartbeat level %v is out of range", level)
	}
	switch kind {
	case levelIsLoad:
		return balancer.ConnectionLoad{Request: id, Endpoint: endpoint, Load: level / 1e6}, nil
	case levelIsDelay:
		return balancer.EndpointDelay{Request: id, Endpoint: endpoint,
			Delay: time.Duration(level * float64(time.Millisecond))}, nil
	}
	return nil, fmt.Errorf("unknown heartbeat kind %d", kind)
}
