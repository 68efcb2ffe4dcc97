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

// Placement says what a client's link wants where its attach does not: clients that know nothing of the
// relay name an address only. The first rule that fits holds.
type Placement struct {
	Address   string        // of the link's other end; "*" stands for any text, and empty for any address
	Container string        // that the client calls itself; the same
	Class     string        // that its link is of
	Timeout   time.Duration // that it waits; 0: as long as its class does
	// Group is what the link shares work by: "address", "container", "link" for its name, or
	// "property:NAME" for one of the attach's properties; empty: nothing.
	Group string

	addressPattern, containerPattern *regexp.Regexp
}

const propertyGroupPrefix = "property:"

// Compile checks a rule and makes it ready. Its errors name the key.
func (p *Placement) Compile() error {
	if p.Class == "" {
		return errors.New("class: is missing")
	}
	if p.Timeout < 0 {
		return fmt.Errorf("give_up: %v is negative", p.Timeout)
	}
	if name, isProperty := strings.CutPrefix(p.Group, propertyGroupPrefix); !slices.Contains([]string{"", "address", "container", "link"}, p.Group) && (!isProperty || name == "") {
		return fmt.Errorf("group: %q is neither address, container, link nor property:NAME", p.Group)
	}
	p.addressPattern, p.containerPattern = compilePattern(p.Address), compilePattern(p.Container)
	return nil
}

// compilePattern is what a text with * in it fits; nil: everything.
func compilePattern(text string) *regexp.Regexp {
	if text == "" {
		return nil
	}
	return regexp.MustCompile("^" + strings.ReplaceAll(regexp.QuoteMeta(text), `\*`, "(?s:.*)") + "$")
}

// terminusAddress is the address that a client's attach names for the other end: its target's if it is to send,
// its source's if it is to receive (part 3, sections 3.5.3 and 3.5.4).
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

// findPlacement finds the rule for an attach; nil if none fits.
func (f *Frontend) findPlacement(address, container string) *Placement {
	for i := range f.Placements {
		p := &f.Placements[i]
		if (p.addressPattern == nil || p.addressPattern.MatchString(address)) && (p.containerPattern == nil || p.containerPattern.MatchString(container)) {
			return p
		}
	}
	return nil
}

// groupKey is what a link shares work by, under a rule.
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
