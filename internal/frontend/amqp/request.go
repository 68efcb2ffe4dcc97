package amqp

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/proxy"
)

// Keys in the properties of attaches and flows and in the info of errors that clients, endpoints and the relay
// exchange.
const (
	propClass      = "class"
	propTenant     = "tenant"
	propDeadline   = "give-up-ms" // milliseconds that the client waits for its answer
	propGroup      = "group"
	propItem       = "item"
	propLoad       = "load-us"      // microseconds of work per second
	propReturning  = "again"        // true: the client returns after a broken connection or a migration
	infoRetryAfter = "come-back-ms" // in the info of a rejection: milliseconds to wait before a retry
)

// Upper bounds of properties.
const (
	maxDeadlineMilliseconds = 1 << 31
	maxLoad                 = 1e12 // microseconds of work per second
)

// parseRequest returns the request that an attach describes by its properties or by the placement rule that matches it,
// and the attach for the endpoint, to which the rule's properties are added. The error text is sent to the client. With
// an error the request is incomplete.
func (f *Frontend) parseRequest(attach framing.Performative, container, name string) (proxy.Request, framing.Performative, error) {
	properties, _ := attach.Field(framing.AttachProperties).(codec.Map)
	address := terminusAddress(attach)
	placement := f.findPlacement(address, container)
	request := proxy.Request{
		Frontend: "amqp",
		Name:     container + "/" + name, // a link name is unique between two containers
		Class:    codec.AsString(properties.Get(propClass)),
		Tenant:   codec.AsString(properties.Get(propTenant)),
	}
	request.Settings = f.Proxy.Settings()
	if request.Class == "" && placement != nil {
		request.Class = placement.Class
		properties = properties.With(propClass, request.Class)
	}
	request.RequestOptions.Class = request.Settings.ClassIndex(request.Class)
	if request.Class == "" {
		return request, attach, fmt.Errorf("no class is told: there is neither the property %q nor a rule for the address %q of the container %q", propClass, address, container)
	}
	if request.RequestOptions.Class < 0 {
		return request, attach, fmt.Errorf("%q is no known class", request.Class)
	}
	if !request.Settings.AcceptsTenant(request.Tenant) {
		return request, attach, fmt.Errorf("%q is no known tenant; the property %q names one", request.Tenant, propTenant)
	}
	classDeadline := request.Settings.Classes[request.RequestOptions.Class].Deadline
	timeout, err := requestTimeout(properties, placement, classDeadline)
	if err != nil {
		return request, attach, err
	}
	request.Deadline = f.Proxy.Clock.Now() + timeout
	if request.Group = hashKey(properties.Get(propGroup)); request.Group == 0 && placement != nil {
		if request.Group = placement.groupKey(attach, address, container); request.Group != 0 {
			properties = properties.With(propGroup, strconv.FormatUint(request.Group, 16))
		}
	}
	request.Item = hashKey(properties.Get(propItem))
	request.Returning, _ = properties.Get(propReturning).(bool)
	if microseconds, ok := parseLoad(properties.Get(propLoad)); ok {
		request.ExpectedLoad = microseconds / 1e6
	}
	return request, attach.With(framing.AttachProperties, codec.Raw(codec.Append(nil, properties))), nil
}

// maxAttachSize limits what a link keeps of its attach until it is established, in bytes. An attach as it was received is
// smaller, but properties may take more room as the relay encodes them.
const maxAttachSize = 2 * framing.MaxFrameSize

// checkAttachSize returns an error if an attach is larger than a link may keep.
func checkAttachSize(attach framing.Performative) error {
	if size := attach.MemorySize(); size > maxAttachSize {
		return fmt.Errorf("the attach takes %d bytes and may take %d", size, maxAttachSize)
	}
	return nil
}

// requestTimeout returns how long a client waits, from the property or else from the placement rule or the class.
// Without a placement rule (nil) the property is mandatory.
func requestTimeout(properties codec.Map, placement *Placement, classDeadline time.Duration) (time.Duration, error) {
	value := properties.Get(propDeadline)
	milliseconds, ok := codec.AsUint64(value)
	if ok && milliseconds <= maxDeadlineMilliseconds {
		return time.Duration(milliseconds) * time.Millisecond, nil
	}
	if value != nil || placement == nil {
		return 0, fmt.Errorf("the property %q has to tell in milliseconds how long the client waits", propDeadline)
	}
	return cmp.Or(placement.Timeout, classDeadline), nil
}

// hashKey returns the key of a group or an item: the value of an integer or a hexadecimal number, the hash of any other
// text, 0 if there is none.
func hashKey(value any) uint64 {
	if number, ok := codec.AsUint64(value); ok {
		return number
	}
	text := codec.AsString(value)
	if text == "" {
		return 0
	}
	if number, err := strconv.ParseUint(text, 16, 64); err == nil {
		return number
	}
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return hash.Sum64()
}

// parseLoad returns a load in microseconds of work per second. It reports false if value is no number or out of range.
func parseLoad(value any) (float64, bool) {
	load, ok := value.(float64)
	if !ok {
		var number uint64
		number, ok = codec.AsUint64(value)
		load = float64(number)
	}
	return load, ok && load >= 0 && load < maxLoad
}

// retryAfterInfo returns the error info that tells a client when to retry. It is nil if wait is under a millisecond,
// which means unknown.
func retryAfterInfo(wait time.Duration) (info codec.Map) {
	if wait >= time.Millisecond {
		info = info.With(infoRetryAfter, uint32(wait.Milliseconds()))
	}
	return info
}
