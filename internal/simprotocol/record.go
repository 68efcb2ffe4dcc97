package simprotocol

import (
	"errors"
	"fmt"
	"time"

	"lockroad/balancer"
)

// Codes of the events, by their names in the simulator's description.
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

// Bits of a request.
const (
	flagLoadValid = 1
	flagReturning = 16
)

// Kinds of a heartbeat's level.
const (
	levelIsLoad  = 1
	levelIsDelay = 2
)

// maxLevel bounds levels and weights, which are floats of the wire.
const maxLevel = 1e12

// Attach starts an instance.
type Attach struct {
	Seed     uint64
	Settings balancer.Settings
}

// Retire ends an instance.
type Retire struct{}

// Record is what one record of a batch means for one instance: an Attach, a
// Retire or a balancer.Event. Body is nil for records that no decision needs.
type Record struct {
	Instance uint32
	Body     any
}

// decodeRecord decodes the fields of one decodeRecord.
func (reader *Reader) decodeRecord(code uint8, c *cursor) (Record, error) {
	if code == codeCatalog { // addressed to all instances
		return Record{}, reader.decodeCatalog(c)
	}
	if code == 0 || code > codeHeartbeat {
		return Record{}, errors.New("unknown code")
	}
	instance := c.u32()
	body, err := reader.decodeBody(code, c)
	return Record{Instance: instance, Body: body}, err
}

// decodeBody decodes what follows the instance's number.
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
	c.u16() // the tenant: all are treated alike
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
	c.u16() // the tenant: all are treated alike
	request.Item = c.u64()
	setRequestFlags(&request, c.u16(), load)
	return balancer.Resumed{Request: request, Endpoint: endpoint}
}

// setRequestFlags sets what a request's bits say; load is in microseconds of work a second.
func setRequestFlags(request *balancer.Request, bits uint16, load uint32) {
	if bits&flagLoadValid != 0 {
		request.ExpectedLoad = float64(load) / 1e6
	}
	request.Returning = bits&flagReturning != 0
}

func decodeEstablished(c *cursor) balancer.Established {
	id, took := c.requestID(), c.duration()
	c.u16() // attempts of a request never overlap, so their numbers are not needed
	return balancer.Established{Request: id, Endpoint: c.endpointID(), SetupTime: took}
}

// skipProbe skips the result of a probe: no instance sends probes.
func skipProbe(c *cursor) {
	c.u32()
	c.u16()
	c.u32()
	c.skipFloats()
}

// skipDatagram skips a message between relays: no instance sends any.
func skipDatagram(c *cursor) {
	c.u32()
	c.bytes(uint32(c.u16()))
}

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
	c.u32() // how long it took: no decision uses it
	c.u16() // the attempt's number
	code := c.u16()
	outcome.Endpoint = c.endpointID()
	c.skipFloats() // load reports: no decision uses them
	status, ok := statuses[code]
	if !ok && !c.truncated {
		return nil, fmt.Errorf("unknown outcome %d", code)
	}
	outcome.Status = status
	return outcome, nil
}

func decodeHeartbeat(c *cursor) (any, error) {
	id := c.requestID()
	c.u16() // the attempt's number
	endpoint := c.endpointID()
	kind, level := c.u8(), float64(c.f32())
	if c.truncated {
		return nil, nil
	}
	if !(level >= 0 && level < maxLevel) { // also false for NaN
		return nil, fmt.Errorf("level %v is out of range", level)
	}
	switch kind {
	case levelIsLoad:
		return balancer.ConnectionLoad{Request: id, Endpoint: endpoint, Load: level / 1e6}, nil
	case levelIsDelay:
		return balancer.EndpointDelay{Request: id, Endpoint: endpoint,
			Delay: time.Duration(level * float64(time.Millisecond))}, nil
	}
	return nil, fmt.Errorf("unknown kind %d", kind)
}
