package amqp

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

// Placement is a rule for links whose attach lacks the relay's properties, as it does from clients that specify only an
// address. The first rule that matches applies.
type Placement struct {
	Address   string        // pattern for the link's remote address; "*" matches any text, empty matches any address
	Container string        // pattern for the client's container id, with the same syntax
	Class     string        // class of the request
	Timeout   time.Duration // timeout of the request; 0: the deadline of its class
	// Group selects the value that requests are grouped by: "address", "container", "link" for the link's name, or
	// "property:NAME" for a property of the attach; empty: not grouped.
	Group string

	addressPattern, containerPattern *regexp.Regexp
}

const propertyGroupPrefix = "property:"

// Compile validates the rule and compiles its patterns. It must be called before the rule is used. An error starts with
// the key of the setting.
func (p *Placement) Compile() error {
	if p.Class == "" {
		return errors.New("class: is missing")
	}
	if p.Timeout < 0 {
		return fmt.Errorf("give_up: %v is negative", p.Timeout)
	}
	property, isProperty := strings.CutPrefix(p.Group, propertyGroupPrefix)
	isKeyword := slices.Contains([]string{"", "address", "container", "link"}, p.Group)
	if !isKeyword && (!isProperty || property == "") {
		return fmt.Errorf("group: %q is neither address, container, link nor property:NAME", p.Group)
	}
	p.addressPattern, p.containerPattern = compilePattern(p.Address), compilePattern(p.Container)
	return nil
}

// compilePattern converts a pattern with * wildcards to a regular expression; nil for the empty pattern, which matches
// any text.
func compilePattern(pattern string) *regexp.Regexp {
	if pattern == "" {
		return nil
	}
	return regexp.MustCompile("^" + strings.ReplaceAll(regexp.QuoteMeta(pattern), `\*`, "(?s:.*)") + "$")
}

// terminusAddress returns the address of the remote terminus of a client's attach: the target if the client sends, the
// source if it receives (sections 3.5.3 and 3.5.4).
func terminusAddress(attach framing.Performative) string {
	field := framing.AttachTarget
	if attach.Bool(framing.AttachRole) {
		field = framing.AttachSource
	}
	terminus, _ := attach.Field(field).(codec.Described)
	fields, _ := terminus.Value.(codec.List)
	if len(fields) == 0 {
		return ""
	}
	return codec.AsString(fields[0])
}

// findPlacement returns the first rule that matches the address and the container, or nil.
func (f *Frontend) findPlacement(address, container string) *Placement {
	for i := range f.Placements {
		rule := &f.Placements[i]
		addressMatches := rule.addressPattern == nil || rule.addressPattern.MatchString(address)
		containerMatches := rule.containerPattern == nil || rule.containerPattern.MatchString(container)
		if addressMatches && containerMatches {
			return rule
		}
	}
	return nil
}

// groupKey returns the group key of a link according to the rule; 0: none.
func (p *Placement) groupKey(attach framing.Performative, address, container string) uint64 {
	switch p.Group {
	case "":
		return 0
	case "address":
		return hashKey(address)
	case "container":
		return hashKey(container)
	case "link":
		return hashKey(codec.AsString(attach.Field(framing.AttachName)))
	}
	properties, _ := attach.Field(framing.AttachProperties).(codec.Map)
	return hashKey(properties.Get(strings.TrimPrefix(p.Group, propertyGroupPrefix)))
}
