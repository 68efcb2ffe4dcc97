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
func (f *Frontend) parseRequest(p framing.Performative, container, name string) (proxy.Request, framing.Performative, error) {
	props, _ := p.Field(13).(codec.Map)
	address := terminusAddress(p)
	rule := f.findPlacement(address, container)
	ask := proxy.Request{Front: "amqp", Name: container + "/" + name, Class: codec.AsString(props.Get(propClass)), Tenant: codec.AsString(props.Get(propTenant))}
	ask.Settings = f.Proxy.Settings()
	if ask.Class == "" && rule != nil {
		ask.Class = rule.Class
		props = props.With(propClass, ask.Class)
	}
	if ask.RequestOptions.Class = ask.Settings.ClassIndex(ask.Class); ask.Class == "" {
		return ask, p, fmt.Errorf("no class is told: there is neither the property %q nor a rule for the address %q of the container %q", propClass, address, container)
	} else if ask.RequestOptions.Class < 0 {
		return ask, p, fmt.Errorf("%q is no known class", ask.Class)
	}
	if !ask.Settings.AcceptsTenant(ask.Tenant) {
		return ask, p, fmt.Errorf("%q is no known tenant; the property %q names one", ask.Tenant, propTenant)
	}
	var give time.Duration
	switch wait, ok := codec.AsUint64(props.Get(propDeadline)); {
	case ok && wait <= 1<<31:
		give = time.Duration(wait) * time.Millisecond
	case props.Get(propDeadline) != nil || rule == nil:
		return ask, p, fmt.Errorf("the property %q has to tell in milliseconds how long the client waits", propDeadline)
	default:
		give = cmp.Or(rule.Timeout, ask.Settings.Classes[ask.RequestOptions.Class].Deadline)
	}
	ask.Deadline = f.Proxy.Clock.Now() + give
	if ask.Group = hashKey(props.Get(propGroup)); ask.Group == 0 && rule != nil {
		if ask.Group = rule.groupKey(p, address, container); ask.Group != 0 {
			props = props.With(propGroup, strconv.FormatUint(ask.Group, 16))
		}
	}
	ask.Item = hashKey(props.Get(propItem))
	ask.Returning, _ = props.Get(propReturning).(bool)
	if us, ok := parseLoad(props.Get(propLoad)); ok {
		ask.ExpectedLoad = us / 1e6
	}
	return ask, p.With(13, props), nil
}

// hashKey is the number of a group or an item: a hexadecimal word as it is,
// anything else by its hash.
func hashKey(v any) uint64 {
	if n, ok := codec.AsUint64(v); ok {
		return n
	}
	word := codec.AsString(v)
	if word == "" {
		return 0
	}
	if n, err := strconv.ParseUint(word, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(word))
	return h.Sum64()
}

// parseLoad returns a number of any kind that a load can have.
func parseLoad(v any) (float64, bool) {
	x, ok := v.(float64)
	if !ok {
		var n uint64
		n, ok = codec.AsUint64(v)
		x = float64(n)
	}
	return x, ok && x >= 0 && x < 1e12
}

// retryAfterInfo says when to come again, if that is known.
func retryAfterInfo(wait time.Duration) (info codec.Map) {
	if wait >= time.Millisecond {
		info = info.With(infoRetryAfter, uint32(wait.Milliseconds()))
	}
	return info
}
