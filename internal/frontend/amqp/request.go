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

// Properties of an attach that describe the request, and of an error's info.
const (
	propClass      = "class"
	propTenant     = "tenant"
	propDeadline   = "give-up-ms"
	propGroup      = "group"
	propItem       = "item"
	propLoad       = "load-us" // microseconds of work a second
	propReturning  = "again"
	infoRetryAfter = "come-back-ms"
)

// parseRequest reads what the attach says of the transaction, or else the rule for it. It returns the attach with what the
// rule has added, for the application server. Its error names what is missing, for the client.
func (f *Frontend) parseRequest(performative framing.Performative, container, name string) (proxy.Request, framing.Performative, error) {
	properties, _ := performative.Field(framing.AttachProperties).(codec.Map)
	address := terminusAddress(performative)
	placement := f.findPlacement(address, container)
	request := proxy.Request{Front: "amqp", Name: container + "/" + name, Class: codec.AsString(properties.Get(propClass)), Tenant: codec.AsString(properties.Get(propTenant))}
	request.Settings = f.Proxy.Settings()
	if request.Class == "" && placement != nil {
		request.Class = placement.Class
		properties = properties.With(propClass, request.Class)
	}
	if request.RequestOptions.Class = request.Settings.ClassIndex(request.Class); request.Class == "" {
		return request, performative, fmt.Errorf("no class is told: there is neither the property %q nor a rule for the address %q of the container %q", propClass, address, container)
	} else if request.RequestOptions.Class < 0 {
		return request, performative, fmt.Errorf("%q is no known class", request.Class)
	}
	if !request.Settings.AcceptsTenant(request.Tenant) {
		return request, performative, fmt.Errorf("%q is no known tenant; the property %q names one", request.Tenant, propTenant)
	}
	var timeout time.Duration
	switch wait, ok := codec.AsUint64(properties.Get(propDeadline)); {
	case ok && wait <= 1<<31:
		timeout = time.Duration(wait) * time.Millisecond
	case properties.Get(propDeadline) != nil || placement == nil:
		return request, performative, fmt.Errorf("the property %q has to tell in milliseconds how long the client waits", propDeadline)
	default:
		timeout = cmp.Or(placement.Timeout, request.Settings.Classes[request.RequestOptions.Class].Deadline)
	}
	request.Deadline = f.Proxy.Clock.Now() + timeout
	if request.Group = hashKey(properties.Get(propGroup)); request.Group == 0 && placement != nil {
		if request.Group = placement.groupKey(performative, address, container); request.Group != 0 {
			properties = properties.With(propGroup, strconv.FormatUint(request.Group, 16))
		}
	}
	request.Item = hashKey(properties.Get(propItem))
	request.Returning, _ = properties.Get(propReturning).(bool)
	if microseconds, ok := parseLoad(properties.Get(propLoad)); ok {
		request.ExpectedLoad = microseconds / 1e6
	}
	return request, performative.With(framing.AttachProperties, properties), nil
}

// hashKey is the number of a group or an item: a hexadecimal word as it is,
// anything else by its hash.
func hashKey(value any) uint64 {
	if number, ok := codec.AsUint64(value); ok {
		return number
	}
	word := codec.AsString(value)
	if word == "" {
		return 0
	}
	if number, err := strconv.ParseUint(word, 16, 64); err == nil {
		return number
	}
	hash := fnv.New64a()
	hash.Write([]byte(word))
	return hash.Sum64()
}

// parseLoad returns a number of any kind that a load can have.
func parseLoad(value any) (float64, bool) {
	load, ok := value.(float64)
	if !ok {
		var number uint64
		number, ok = codec.AsUint64(value)
		load = float64(number)
	}
	return load, ok && load >= 0 && load < 1e12
}

// retryAfterInfo says when to come again, if that is known.
func retryAfterInfo(wait time.Duration) (info codec.Map) {
	if wait >= time.Millisecond {
		info = info.With(infoRetryAfter, uint32(wait.Milliseconds()))
	}
	return info
}
