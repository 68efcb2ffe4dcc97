package amqp

import (
	"strings"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

// The first rule that matches an attach without properties must determine the request, and add its properties for the
// endpoint. If no rule matches, the error must name the missing property.
func TestPlacementRulesApplyToClientsWithoutProperties(t *testing.T) {
	rules := []Placement{{Address: "scores/*/preview", Class: "none"}, {Address: "scores/*", Class: "page", Timeout: 900 * time.Millisecond, Group: "address"}, {Container: "desk-*", Class: "page"}}
	for i := range rules {
		if err := rules[i].Compile(); err != nil {
			t.Fatal(err)
		}
	}
	frontend := &Frontend{Proxy: newTestRelay(t, protocols[1], 1, nil).proxy, Placements: rules}
	attach := func(address string, properties codec.Map) framing.Performative {
		return senderAttach("a link", 0, properties).With(framing.AttachTarget, terminus(framing.CodeTarget, address))
	}
	for _, testCase := range []struct {
		address, container string
		properties         codec.Map
		class, wantError   string
		timeout            time.Duration
		group              uint64
	}{
		{"scores/12", "x", nil, "page", "", 900 * time.Millisecond, hashKey("scores/12")},
		{"scores/12", "x", codec.Map{codec.Symbol(propGroup), "ab", codec.Symbol(propDeadline), uint32(300)}, "page", "", 300 * time.Millisecond, 0xab},
		{"other", "desk-3", nil, "page", "", clientTimeout, 0},
		{"scores/1/preview", "x", nil, "", `"none" is no known class`, 0, 0},
		{"other", "x", nil, "", `no class is told: there is neither the property "class" nor a rule for the address "other" of the container "x"`, 0, 0},
		{"other", "x", codec.Map{codec.Symbol(propClass), "page"}, "", `"give-up-ms"`, 0, 0},
		{"scores/12", "x", codec.Map{codec.Symbol(propDeadline), "soon"}, "", `"give-up-ms"`, 0, 0},
	} {
		now := frontend.Proxy.Clock.Now()
		request, forwarded, err := frontend.parseRequest(attach(testCase.address, testCase.properties), testCase.container, "a link")
		if testCase.wantError != "" {
			if err == nil || !strings.Contains(err.Error(), testCase.wantError) {
				t.Errorf("address %s, container %s: error %v, want %s", testCase.address, testCase.container, err, testCase.wantError)
			}
			continue
		}
		properties, _ := forwarded.Field(framing.AttachProperties).(codec.Map)
		if err != nil || request.Class != testCase.class || request.Group != testCase.group || (request.Deadline-now).Round(50*time.Millisecond) != testCase.timeout ||
			codec.AsString(properties.Get(propClass)) != testCase.class || hashKey(properties.Get(propGroup)) != testCase.group {
			t.Errorf("address %s, container %s: request %+v, properties %v, error %v", testCase.address, testCase.container, request, properties, err)
		}
	}
	for wantError, rule := range map[string]Placement{"class: is missing": {Address: "x"}, "give_up": {Class: "x", Timeout: -1}, "group": {Class: "x", Group: "property:"}} {
		if err := rule.Compile(); err == nil || !strings.Contains(err.Error(), wantError) {
			t.Errorf("compiling %+v: error %v, want %q", rule, err, wantError)
		}
	}
	protocol := amqpProtocol(func(frontend *Frontend) { frontend.Placements = rules }, nil)
	relay := newTestRelay(t, protocol, 1, nil)
	conn, err := dialSecured(relay.address, nil, client10.SASLTypeAnonymous())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := attachTo(conn, "scores/7", nil); err != nil {
		t.Errorf("attach to an address with a rule: %v", err)
	}
	if err := attachTo(conn, "elsewhere", nil); err == nil || !strings.Contains(err.Error(), "no class is told") {
		t.Errorf("attach to an address without a rule: %v", err)
	}
}

// If the settings list tenants, an attach must name one of them.
func TestAttachMustNameAKnownTenant(t *testing.T) {
	relay := newTestRelay(t, protocols[1], 1, nil)
	settings := *relay.proxy.Settings()
	settings.Tenants = []string{"fraser", "cedar"}
	relay.proxy.UpdateSettings(&settings)
	frontend := &Frontend{Proxy: relay.proxy}
	for tenant, wantError := range map[any]string{nil: `"" is no known tenant`, "other": `"other" is no known tenant`, "cedar": ""} {
		properties := codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(300)}
		if tenant != nil {
			properties = append(properties, codec.Symbol(propTenant), tenant)
		}
		request, _, err := frontend.parseRequest(framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"a link", uint32(0), false, nil, nil, nil, nil, nil, nil, uint32(0), nil, nil, nil, properties}}, "x", "a link")
		if wantError == "" && (err != nil || request.Tenant != tenant) || wantError != "" && (err == nil || !strings.Contains(err.Error(), wantError)) {
			t.Errorf("tenant %v: request %+v, error %v, want %q", tenant, request, err, wantError)
		}
	}
}
