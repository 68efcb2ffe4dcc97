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
func (reader *Reader) decodeRecord(code uint8, c *cursor) (Record, error) {
	if code == codeCatalog { // shared by all instances
		return Record{}, reader.decodeCatalog(c)
	}
	if code == 0 || code > codeHeartbeat {
		return Record{}, errors.New("unknown code")
	}
	instance := c.u32()
	body, err := reader.decodeBody(code, c)
	return Record{Instance: instance, Body: body}, err
}

// decodeBody decodes the fields after the instance number.
func (reader *Reader) decodeBody(code uint8, c *cursor) (any, error) {
	switch code {
	case codeAttach:
		return decodeAttach(c)
	case codeTopology:
		return reader.decodeTopology(c)
	case codeRequest:
		return decodeRequest(c), nil
	case codeResumed:
		return decodeResumed(c), nil
	case codeBegun:
		return decodeEstablished(c), nil
	case codeOutcome:
		return decodeOutcome(c)
	case codeClientLeft:
		return balancer.ClientLeft{Request: c.requestID()}, nil
	case codeWake:
		return balancer.Timer{Token: c.u32()}, nil
	case codeProbeDone:
		skipProbe(c)
	case codeDatagram:
		skipDatagram(c)
	case codeRetire:
		return Retire{}, nil
	case codeHeartbeat:
		return decodeHeartbeat(c)
	}
	return nil, nil
}

func decodeAttach(c *cursor) (any, error) {
	seed, text := c.u64(), c.bytes(c.u32())
	if c.truncated {
		return nil, nil
	}
	settings, err := ParseSettings(text)
	if err != nil {
		return nil, err
	}
	return Attach{Seed: seed, Settings: settings}, nil
}

func decodeRequest(c *cursor) balancer.Request {
	var request balancer.Request
	request.ID = c.requestID()
	request.Class = int(c.u8())
	c.u16() // tenant, not used by the balancer
	request.Item = c.u64()
	request.TimeLeft = c.duration()
	load := c.u32()
	request.Group = c.u64()
	setRequestFlags(&request, c.u16(), load)
	return request
}

func decodeResumed(c *cursor) balancer.Resumed {
	var request balancer.Request
	request.ID = c.requestID()
	request.TimeLeft = c.duration()
	endpoint := c.endpointID()
	request.Group = c.u64()
	request.Class = int(c.u8())
	load := c.u32()
	c.u16() // tenant, not used by the balancer
	request.Item = c.u64()
	setRequestFlags(&request, c.u16(), load)
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
func skipProbe(c *cursor) {
	c.u32()
	c.u16()
	c.u32()
	c.skipFloats()
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

func decodeOutcome(c *cursor) (any, error) {
	var outcome balancer.Outcome
	outcome.Request = c.requestID()
	outcome.Final = c.u8() != 0
	c.u32() // duration, not used by the balancer
	c.u16() // attempt number, not needed as the attempts of a request never overlap
	code := c.u16()
	outcome.Endpoint = c.endpointID()
	c.skipFloats() // load reports, not used by the balancer
	status, ok := statuses[code]
	if !ok && !c.truncated {
		return nil, fmt.Errorf("unknown outcome code %d", code)
	}
	outcome.Status = status
	return outcome, nil
}

// decodeHeartbeat decodes a report of a connection's load, in microseconds of work per second, or of an
// endpoint's message delay, in milliseconds.
func decodeHeartbeat(c *cursor) (any, error) {
	id := c.requestID()
	c.u16() // attempt number, not needed as the attempts of a request never overlap
	endpoint := c.endpointID()
	kind, level := c.u8(), float64(c.f32())
	if c.truncated {
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
