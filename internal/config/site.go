package config

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
	"lockroad/internal/healthcheck/prober"
	"lockroad/internal/quota"
)

// Site is all that a small site has in one file: a relay's configuration, its endpoints, and the operator's settings. It
// needs no platform and no discovery agent.
type Site struct {
	Config    *Config
	Operator  *Operator
	Endpoints []prober.Endpoint
	Health    healthcheck.Settings
	Ping      bool           // endpoints are probed with PING, not by a connection alone
	Quota     quota.Settings // without Fair, which QuotaSettings sets
	FairShare bool           // admission slots that run short are shared out among client addresses

	values map[string]string // every key of the file with its value, for the difference to another
}

// duration is a time as a person writes it, such as 90s or 800ms.
type duration time.Duration

// UnmarshalText parses a time that is not negative.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is no time, such as 800ms or 4s", text)
	}
	*d = duration(parsed)
	return nil
}

// siteFile is a site's file as it is written. Errors of its decoder, which operators read, print the type's and fields' names.
type siteFile struct {
	Operator
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
	Admin  string `toml:"admin_addr"`
	Zone   string `toml:"hall"`
	Server []struct {
		Name    string  `toml:"name"`
		Address string  `toml:"address"`
		Zone    string  `toml:"hall"`
		Size    float64 `toml:"size"`
	} `toml:"server"`
	Class []struct {
		Name    string   `toml:"name"`
		SetUp   duration `toml:"set_up_within"`
		GiveUp  duration `toml:"give_up_after"`
		Message duration `toml:"message_within"`
		Effect  string   `toml:"effect"`
		Most    int      `toml:"most"` // requests at a time; 0: any number
	} `toml:"class"`
	Limits struct {
		Cores    float64 `toml:"cores"`
		MemoryMB int64   `toml:"memory_mb"`
		Sockets  int     `toml:"sockets"`
		Attempts int     `toml:"attempts"`

		PerAddress int     `toml:"per_address"` // requests of a client address at a time; 0: any number
		Rate       float64 `toml:"rate"`        // of requests that an address may begin a second; 0: any number
		Burst      int     `toml:"burst"`       // of requests that it may begin at once
		Fair       bool    `toml:"fair"`        // admission slots that run short are shared out among addresses
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

// Defaults of what a site's file leaves out.
const (
	defaultLatencyObjective = 800 * time.Millisecond
	defaultDeadline         = 4800 * time.Millisecond
	defaultMaxAttempts      = 5
	defaultMemoryMB         = 128
	defaultSockets          = 4096
)

// minSockets is the least number of descriptors that leaves room for clients.
const minSockets = 64

// ReadSite reads and validates a site's file. The error is Problems, or that of reading the file.
func ReadSite(path string) (*Site, error) {
	text, err := readStable(path)
	if err != nil {
		return nil, err
	}
	return parseSite(path, text)
}

// parseSite decodes and validates a site's file. Problems of a line come in the order of the steps.
func parseSite(path string, text []byte) (*Site, error) {
	v := &validator{file: path, lines: tomlLines(text)}
	var file siteFile
	var tree map[string]any
	if !v.decodeTOML(text, &file) {
		return nil, v.problems.errOrNil()
	}
	if err := toml.Unmarshal(text, &tree); err != nil {
		v.addAt(0, "", err.Error())
	}
	file.Operator.check(v)
	site := &Site{Operator: &file.Operator, values: make(map[string]string)}
	flatten(site.values, "", tree)
	site.Config = v.siteConfig(&file, text)
	site.Endpoints = v.siteEndpoints(&file, site.Config)
	site.Config.Settings = v.siteSettings(&file)
	site.Health = v.siteHealth(&file)
	site.Ping = v.sitePing(&file)
	site.Quota, site.FairShare = v.siteQuota(&file), file.Limits.Fair
	if err := v.problems.errOrNil(); err != nil {
		return nil, err
	}
	return site, nil
}

// siteConfig returns the relay's configuration but for its settings, and with the zone of the relay alone.
func (v *validator) siteConfig(file *siteFile, text []byte) *Config {
	if file.Name == "" {
		v.add("name", "is missing")
	}
	v.checkAddress("listen", file.Listen)
	if file.Admin != "" {
		v.checkAddress("admin_addr", file.Admin)
	}
	limits := &file.Limits
	if limits.Cores < 0 || limits.MemoryMB < 0 || limits.Sockets < 0 || limits.Attempts < 0 {
		v.add("limits", "a limit is negative")
	}
	if n := limits.Sockets; n > 0 && n < minSockets {
		v.add("limits.sockets", "%d is less than %d", n, minSockets)
	}
	return &Config{
		Name:        file.Name,
		Listen:      file.Listen,
		Admin:       file.Admin,
		adminInFile: file.Admin,
		Cores:       limits.Cores,
		MemoryMB:    cmp.Or(limits.MemoryMB, defaultMemoryMB),
		Sockets:     cmp.Or(limits.Sockets, defaultSockets),
		Seed:        uint64(time.Now().UnixNano()),
		Zones:       []string{file.Zone},
		text:        text,
	}
}

// siteEndpoints returns the endpoints that the file lists, and adds their zones to the configuration's.
func (v *validator) siteEndpoints(file *siteFile, c *Config) (endpoints []prober.Endpoint) {
	if len(file.Server) == 0 {
		v.add("server", "is missing: there is no server to send anyone to")
	}
	for i, one := range file.Server {
		at := fmt.Sprintf("server[%d].", i)
		name := cmp.Or(one.Name, one.Address)
		if _, _, err := net.SplitHostPort(one.Address); err != nil {
			v.add(at+"address", "%q is no host:port: %v", one.Address, err)
		}
		if slices.ContainsFunc(endpoints, func(other prober.Endpoint) bool { return other.Name == name }) {
			v.add(at+"name", "%q is the name of another server too", name)
		}
		if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' }) {
			v.add(at+"name", "%q has a blank or worse in it", name)
		}
		if one.Size < 0 {
			v.add(at+"size", "%v is negative", one.Size)
		}
		endpoints = append(endpoints, prober.Endpoint{Name: name, Address: one.Address, Zone: c.siteZone(one.Zone), Size: cmp.Or(one.Size, 1)})
	}
	return endpoints
}

// siteZone returns the number of a hall, which becomes a zone if it isn't one yet. An endpoint without a hall is in the relay's.
func (c *Config) siteZone(hall string) int {
	if i := slices.Index(c.Zones, hall); i >= 0 || hall == "" {
		return max(0, i)
	}
	c.Zones = append(c.Zones, hall)
	return len(c.Zones) - 1
}

// siteQuota returns the limits of requests by address and class.
func (v *validator) siteQuota(file *siteFile) quota.Settings {
	settings := quota.Settings{PerAddress: file.Limits.PerAddress, Rate: file.Limits.Rate, Burst: file.Limits.Burst, PerClass: make(map[string]int)}
	for i, class := range file.Class {
		if class.Most < 0 {
			v.add(fmt.Sprintf("class[%d].most", i), "%d is negative", class.Most)
		} else if class.Most > 0 {
			settings.PerClass[class.Name] = class.Most
		}
	}
	if err := settings.Validate(); err != nil {
		v.add("limits", "%v", err)
	}
	return settings
}

// QuotaSettings returns the limits of requests by address and class, for a relay with so many admission slots.
func (s *Site) QuotaSettings(slots int) quota.Settings {
	settings := s.Quota
	if s.FairShare {
		settings.FairShare = slots
	}
	return settings
}

// siteSettings returns the balancer's settings. Those that a site's file has no key for suit a single relay before a few
// endpoints.
func (v *validator) siteSettings(file *siteFile) balancer.Settings {
	settings := balancer.Settings{
		RelayCount:        1,
		ClockResolution:   2 * time.Millisecond,
		ConnectTimeout:    500 * time.Millisecond,
		MaxRetryAfter:     2 * time.Second,
		MaxAttempts:       cmp.Or(file.Limits.Attempts, defaultMaxAttempts),
		InitialCapacity:   0.2,
		SlowStartDuration: 20 * time.Second,
		OverloadMultiple:  3,
		OverloadWindow:    3 * time.Second,
		CrossZoneCost:     0.03,
		ReportsLoad:       true,
		ReportsDelay:      true,
	}
	if len(file.Class) == 0 {
		v.add("class", "is missing: clients name one")
	}
	effects := map[string]balancer.DeliverySemantics{"": balancer.Idempotent, "idempotent": balancer.Idempotent, "at_most_once": balancer.AtMostOnce}
	for i, one := range file.Class {
		at := fmt.Sprintf("class[%d].", i)
		effect, ok := effects[one.Effect]
		switch {
		case one.Name == "":
			v.add(at+"name", "is missing")
		case settings.ClassIndex(one.Name) >= 0:
			v.add(at+"name", "%q is the name of another class too", one.Name)
		case !ok:
			v.add(at+"effect", "%q is neither idempotent nor at_most_once", one.Effect)
		}
		settings.Classes = append(settings.Classes, balancer.Class{
			Name:                    one.Name,
			LatencyObjective:        time.Duration(cmp.Or(one.SetUp, duration(defaultLatencyObjective))),
			Deadline:                time.Duration(cmp.Or(one.GiveUp, duration(defaultDeadline))),
			MessageLatencyObjective: time.Duration(one.Message),
			Semantics:               effect,
		})
	}
	return settings
}

// siteHealth returns the settings of health checks: the defaults with what the file has.
func (v *validator) siteHealth(file *siteFile) healthcheck.Settings {
	settings, health := healthcheck.DefaultSettings(), &file.Health
	settings.Interval = time.Duration(cmp.Or(health.Every, duration(settings.Interval)))
	settings.Timeout = time.Duration(cmp.Or(health.Timeout, duration(settings.Timeout)))
	settings.Rise = cmp.Or(health.Rise, settings.Rise)
	settings.Fall = cmp.Or(health.Fall, settings.Fall)
	settings.MaxLoadShare = cmp.Or(health.Share, settings.MaxLoadShare)
	settings.PanicThreshold = cmp.Or(health.Panic, settings.PanicThreshold)
	if err := settings.Validate(); err != nil {
		v.add("health", "%v", err)
	}
	return settings
}

// sitePing reports whether endpoints are probed with PING, not by a connection alone.
func (v *validator) sitePing(file *siteFile) bool {
	switch file.Health.Probe {
	case "", "ping":
		return true
	case "connect":
		return false
	}
	v.add("health.probe", "%q is neither ping nor connect", file.Health.Probe)
	return true
}
