package amqp

import (
	"strings"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

// A client that names an address only is placed by the rule for it, and its endpoint is told what the rule
// has added. Where no rule fits, the refusal names what is missing.
func TestPlacementRulesApplyToPlainClients(t *testing.T) {
	places := []Placement{{Address: "scores/*/preview", Class: "none"}, {Address: "scores/*", Class: "page", Timeout: 900 * time.Millisecond, Group: "address"}, {Container: "desk-*", Class: "page"}}
	for i := range places {
		if err := places[i].Compile(); err != nil {
			t.Fatal(err)
		}
	}
	frontend := &Frontend{Proxy: newTestRelay(t, protocols[1], 1, nil).proxy, Placements: places}
	attach := func(address string, props codec.Map) framing.Performative {
		return senderAttach("a link", 0, props).With(framing.AttachTarget, terminus(framing.CodeTarget, address))
	}
	for _, testCase := range []struct {
		address, container string
		props              codec.Map
		class, wrong       string
		give               time.Duration
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
		ask, told, err := frontend.parseRequest(attach(testCase.address, testCase.props), testCase.container, "a link")
		if testCase.wrong != "" {
			if err == nil || !strings.Contains(err.Error(), testCase.wrong) {
				t.Errorf("%s of %s: %v", testCase.address, testCase.container, err)
			}
			continue
		}
		props, _ := told.Field(framing.AttachProperties).(codec.Map)
		if err != nil || ask.Class != testCase.class || ask.Group != testCase.group || (ask.Deadline-now).Round(50*time.Millisecond) != testCase.give ||
			codec.AsString(props.Get(propClass)) != testCase.class || hashKey(props.Get(propGroup)) != testCase.group {
			t.Errorf("%s of %s: %+v, %v, %v", testCase.address, testCase.container, ask, props, err)
		}
	}
	for what, p := range map[string]Placement{"class: is missing": {Address: "x"}, "give_up": {Class: "x", Timeout: -1}, "group": {Class: "x", Group: "property:"}} {
		if err := p.Compile(); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("want %q: %v", what, err)
		}
	}
	protocol := amqpProtocol(func(frontend *Frontend) { frontend.Placements = places }, nil)
	relay := newTestRelay(t, protocol, 1, nil)
	conn, err := dialSecured(relay.address, nil, client10.SASLTypeAnonymous())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := attachTo(conn, "scores/7", nil); err != nil {
		t.Errorf("a plain client: %v", err)
	}
	if err := attachTo(conn, "elsewhere", nil); err == nil || !strings.Contains(err.Error(), "no class is told") {
		t.Errorf("one that no rule fits: %v", err)
	}
}

// Where the settings name tenants an attach has to name one of them, as an opening on the line does.
func TestAttachesNameATenant(t *testing.T) {
	relay := newTestRelay(t, protocols[1], 1, nil)
	terms := *relay.proxy.Settings()
	terms.Tenants = []string{"fraser", "cedar"}
	relay.proxy.UpdateSettings(&terms)
	frontend := &Frontend{Proxy: relay.proxy}
	for tenant, wrong := range map[any]string{nil: `"" is no known tenant`, "other": `"other" is no known tenant`, "cedar": ""} {
		props := codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(300)}
		if tenant != nil {
			props = append(props, codec.Symbol(propTenant), tenant)
		}
		ask, _, err := frontend.parseRequest(framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"a link", uint32(0), false, nil, nil, nil, nil, nil, nil, uint32(0), nil, nil, nil, props}}, "x", "a link")
		if wrong == "" && (err != nil || ask.Tenant != tenant) || wrong != "" && (err == nil || !strings.Contains(err.Error(), wrong)) {
			t.Errorf("tenant %v: %+v, %v", tenant, ask, err)
		}
	}
}
