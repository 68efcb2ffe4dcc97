package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
	"lockroad/internal/healthcheck/prober"
	"lockroad/internal/quota"
)

// Site is all that a small site has in one file: a relay's configuration, its servers, and the operator's settings. It
// needs no platform and no discovery.
type Site struct {
	Config    *Config
	Operator  *Operator
	Servers   []prober.Endpoint
	Health    healthcheck.Settings
	Ping      bool
	Quota     quota.Settings
	FairShare bool // seats that run short are shared out

	values map[string]string // every key with its value, for the difference to another
}

// duration is a time as a person writes it, such as 90s or 800ms.
type duration time.Duration

// UnmarshalText reads a time.
func (s *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is no time, such as 800ms or 4s", text)
	}
	*s = duration(d)
	return nil
}

type siteFile struct {
	Operator
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
	Admin  string `toml:"admin_addr"`
	Hall   string `toml:"hall"`
	Server []struct {
		Name    string  `toml:"name"`
		Address string  `toml:"address"`
		Hall    string  `toml:"hall"`
		Size    float64 `toml:"size"`
	} `toml:"server"`
	Class []struct {
		Name    string   `toml:"name"`
		SetUp   duration `toml:"set_up_within"`
		GiveUp  duration `toml:"give_up_after"`
		Message duration `toml:"message_within"`
		Effect  string   `toml:"effect"`
		Most    int      `toml:"most"` // transactions at a time; 0: any number
	} `toml:"class"`
	Limits struct {
		Cores    float64 `toml:"cores"`
		MemoryMB int64   `toml:"memory_mb"`
		Sockets  int     `toml:"sockets"`
		Attempts int     `toml:"attempts"`

		PerAddress int     `toml:"per_address"` // transactions of a client address at a time; 0: any number
		Rate       float64 `toml:"rate"`        // that an address may begin a second; 0: any number
		Burst      int     `toml:"burst"`       // and at once after a while of silence
		Fair       bool    `toml:"fair"`        // seats that run short are shared out among addresses
	} `toml:"limits"`
	Health struct {
		Probe   string   `toml:"probe"`
		Every   duration `toml:"every"`
		Timeout duration `toml:"timeout"`
		Rise    int      `toml:"rise"`
		Fall    int      `toml:"fall"`
		Share   float64  `toml:"share"`
		Panic   float64  `toml:"panic"`
	} `toml:"health"`
}

// What a site's file leaves out.
const (
	defaultLatencyObjective = 800 * time.Millisecond
	defaultDeadline         = 4800 * time.Millisecond
	defaultMaxAttempts      = 5
	defaultMemoryMB         = 128
	defaultSockets          = 4096
)

// ReadSite reads a site's file. An error is Problems, or that of reading it.
func ReadSite(path string) (*Site, error) {
	text, err := readStable(path)
	if err != nil {
		return nil, err
	}
	return parseSite(path, text)
}

func parseSite(path string, text []byte) (*Site, error) {
	f := &validator{file: path, lines: tomlLines(text)}
	var raw siteFile
	var tree map[string]any
	if !f.decodeTOML(text, &raw) {
		return nil, f.problems.errOrNil()
	}
	if err := toml.Unmarshal(text, &tree); err != nil {
		f.addAt(0, "", err.Error())
	}
	raw.Operator.check(f)
	s := &Site{Operator: &raw.Operator, Ping: true, values: make(map[string]string)}
	flatten(s.values, "", tree)
	if raw.Name == "" {
		f.add("name", "is missing")
	}
	f.checkAddress("listen", raw.Listen)
	if raw.Admin != "" {
		f.checkAddress("admin_addr", raw.Admin)
	}
	c := &Config{Name: raw.Name, Listen: raw.Listen, Admin: raw.Admin, adminInFile: raw.Admin, Cores: raw.Limits.Cores, text: text,
		MemoryMB: cmp.Or(raw.Limits.MemoryMB, defaultMemoryMB), Sockets: cmp.Or(raw.Limits.Sockets, defaultSockets), Seed: uint64(time.Now().UnixNano())}
	if raw.Limits.Cores < 0 || raw.Limits.MemoryMB < 0 || raw.Limits.Sockets < 0 || raw.Limits.Attempts < 0 {
		f.add("limits", "a limit is negative")
	}
	if n := raw.Limits.Sockets; n > 0 && n < 64 {
		f.add("limits.sockets", "%d is less than 64", n)
	}
	c.Zones = []string{raw.Hall}
	zone := func(hall string) int {
		if i := slices.Index(c.Zones, hall); i >= 0 || hall == "" {
			return max(0, i)
		}
		c.Zones = append(c.Zones, hall)
		return len(c.Zones) - 1
	}
	if len(raw.Server) == 0 {
		f.add("server", "is missing: there is no server to send anyone to")
	}
	for i, one := range raw.Server {
		at := fmt.Sprintf("server[%d].", i)
		name := cmp.Or(one.Name, one.Address)
		if _, _, err := net.SplitHostPort(one.Address); err != nil {
			f.add(at+"address", "%q is no host:port: %v", one.Address, err)
		}
		if slices.ContainsFunc(s.Servers, func(x prober.Endpoint) bool { return x.Name == name }) {
			f.add(at+"name", "%q is the name of another server too", name)
		}
		if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' }) {
			f.add(at+"name", "%q has a blank or worse in it", name)
		}
		if one.Size < 0 {
			f.add(at+"size", "%v is negative", one.Size)
		}
		s.Servers = append(s.Servers, prober.Endpoint{Name: name, Address: one.Address, Zone: zone(one.Hall), Size: cmp.Or(one.Size, 1)})
	}
	c.Settings = f.siteSettings(&raw)
	s.Config = c
	s.Health = f.siteHealth(&raw, s)
	s.Quota, s.FairShare = quota.Settings{PerAddress: raw.Limits.PerAddress, Rate: raw.Limits.Rate, Burst: raw.Limits.Burst, PerClass: make(map[string]int)}, raw.Limits.Fair
	for i, one := range raw.Class {
		if one.Most < 0 {
			f.add(fmt.Sprintf("class[%d].most", i), "%d is negative", one.Most)
		} else if one.Most > 0 {
			s.Quota.PerClass[one.Name] = one.Most
		}
	}
	if err := s.Quota.Validate(); err != nil {
		f.add("limits", "%v", err)
	}
	if err := f.problems.errOrNil(); err != nil {
		return nil, err
	}
	return s, nil
}

// QuotaSettings returns the limits of a relay with so many seats.
func (s *Site) QuotaSettings(seats int) quota.Settings {
	set := s.Quota
	if s.FairShare {
		set.Fair = seats
	}
	return set
}

func (f *validator) siteSettings(raw *siteFile) balancer.Settings {
	set := balancer.Settings{
		Relays: 1, MinTick: 2 * time.Millisecond, ConnectTimeout: 500 * time.Millisecond, MaxRetryAfter: 2 * time.Second, MaxAttempts: cmp.Or(raw.Limits.Attempts, defaultMaxAttempts),
		InitialCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second, CrossZoneCost: 0.03, ReportsLoad: true, ReportsDelay: true,
	}
	if len(raw.Class) == 0 {
		f.add("class", "is missing: clients name one")
	}
	effects := map[string]balancer.Effect{"": balancer.Idempotent, "idempotent": balancer.Idempotent, "at_most_once": balancer.AtMostOnce}
	for i, one := range raw.Class {
		at := fmt.Sprintf("class[%d].", i)
		class := balancer.Class{Name: one.Name, LatencyObjective: time.Duration(cmp.Or(one.SetUp, duration(defaultLatencyObjective))), Deadline: time.Duration(cmp.Or(one.GiveUp, duration(defaultDeadline))), MessageLatencyObjective: time.Duration(one.Message)}
		effect, ok := effects[one.Effect]
		switch {
		case one.Name == "":
			f.add(at+"name", "is missing")
		case set.ClassIndex(one.Name) >= 0:
			f.add(at+"name", "%q is the name of another class too", one.Name)
		case !ok:
			f.add(at+"effect", "%q is neither idempotent nor at_most_once", one.Effect)
		}
		class.Effect = effect
		set.Classes = append(set.Classes, class)
	}
	return set
}

func (f *validator) siteHealth(raw *siteFile, s *Site) healthcheck.Settings {
	u, h := healthcheck.DefaultSettings(), raw.Health
	u.Interval, u.Timeout = time.Duration(cmp.Or(h.Every, duration(u.Interval))), time.Duration(cmp.Or(h.Timeout, duration(u.Timeout)))
	u.Rise, u.Fall = cmp.Or(h.Rise, u.Rise), cmp.Or(h.Fall, u.Fall)
	u.MaxLoadShare, u.PanicThreshold = cmp.Or(h.Share, u.MaxLoadShare), cmp.Or(h.Panic, u.PanicThreshold)
	if err := u.Validate(); err != nil {
		f.add("health", "%v", err)
	}
	switch h.Probe {
	case "", "ping":
	case "connect":
		s.Ping = false
	default:
		f.add("health.probe", "%q is neither ping nor connect", h.Probe)
	}
	return u
}

// decodeTOML reads a file that has to have known keys alone, and tells whether it can be read on.
func (f *validator) decodeTOML(text []byte, into any) bool {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var odd *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &odd):
		for _, e := range odd.Errors {
			line, _ := e.Position()
			f.addAt(line, strings.Join(e.Key(), "."), "there is no such key")
		}
	case errors.As(err, &bad):
		line, _ := bad.Position()
		f.addAt(line, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: "))
		return false // what follows it has not been read
	case err != nil:
		f.addAt(0, "", err.Error())
		return false
	}
	return true
}

// RenderSite is a site's file to begin with.
func RenderSite(name, listen, socket string, servers []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# A relay of a small site. `lockroad check` tells all that is wrong with this file; a reload takes servers,\n# classes, attempts and health, whole or not at all.\nname = %q\nlisten = %q\n", name, listen)
	for i, address := range servers {
		fmt.Fprintf(&b, "\n[[server]]\nname = \"s-%d\"\naddress = %q\nsize = 1.0                   # against the others\n", i+1, address)
	}
	b.WriteString(`
# What clients ask for by name. Those that are turned away first are worth least.
[[class]]
name = "page"
set_up_within = "800ms"
give_up_after = "4800ms"
message_within = "100ms"

[[class]]
name = "live"
set_up_within = "500ms"
give_up_after = "2s"
message_within = "60ms"

[limits]
memory_mb = 128
sockets = 4096
attempts = 5
per_address = 0              # transactions of one client address at a time; 0: any number
rate = 0.0                   # that one address may begin a second; 0: any number
fair = true                  # seats that run short are shared out among addresses

# Servers are found to be up by probes, and down by probes and by what becomes of their passes.
[health]
probe = "ping"               # or connect, where servers know no PING
every = "2s"
timeout = "1s"
rise = 2                     # in a row, until one that was down is up
fall = 3                     # in a row, until one that was up is down
panic = 0.5                  # where more are down, this box is doubted first
`)
	fmt.Fprintf(&b, "\n[console]\nsocket = %q\n\n[log]\nlevel = \"info\"\nform = \"text\"\n", socket)
	return b.String()
}

// WriteSite writes a site's file where there is none.
func WriteSite(path, text string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	return errors.Join(err, f.Close())
}
