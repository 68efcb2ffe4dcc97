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

// Site is the content of a site file: a relay's configuration, its endpoints and the operator's settings. A
// relay of a site runs without a platform and without a discovery agent.
type Site struct {
	Config        *Config
	Operator      *Operator
	Endpoints     []prober.Endpoint // in the order of the file
	Health        healthcheck.Settings
	ProbeWithPing bool           // probe endpoints with PING rather than only by connecting
	Quota         quota.Settings // without FairShare, which QuotaSettings sets
	FairShare     bool           // divide scarce admission slots fairly among client addresses

	values map[string]string // every value of the file by key path, to compare files
}

// duration is a non-negative time.Duration that is written in files as a string such as 90s or 800ms.
type duration time.Duration

// UnmarshalText parses a duration and rejects negative ones.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is not a duration such as 800ms or 4s", text)
	}
	*d = duration(parsed)
	return nil
}

// siteFile is the format of a site file.
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
		Name                    string   `toml:"name"`
		LatencyObjective        duration `toml:"set_up_within"`
		Deadline                duration `toml:"give_up_after"`
		MessageLatencyObjective duration `toml:"message_within"`
		Semantics               string   `toml:"effect"`
		MaxRequests             int      `toml:"most"` // concurrent requests; 0: no limit
	} `toml:"class"`
	Limits struct {
		Cores       float64 `toml:"cores"`
		MemoryMB    int64   `toml:"memory_mb"`
		Sockets     int     `toml:"sockets"`
		MaxAttempts int     `toml:"attempts"`

		PerAddress int     `toml:"per_address"` // concurrent requests of a client address; 0: no limit
		Rate       float64 `toml:"rate"`        // new requests of a client address per second; 0: no limit
		Burst      int     `toml:"burst"`       // new requests that a client address may send at once
		FairShare  bool    `toml:"fair"`        // divide scarce admission slots fairly among client addresses
	} `toml:"limits"`
	Health struct {
		Probe          string   `toml:"probe"`
		Interval       duration `toml:"every"`
		Timeout        duration `toml:"timeout"`
		Rise           int      `toml:"rise"`
		Fall           int      `toml:"fall"`
		MaxLoadShare   float64  `toml:"share"`
		PanicThreshold float64  `toml:"panic"`
	} `toml:"health"`
}

// Defaults for keys that a site file omits.
const (
	defaultLatencyObjective = 800 * time.Millisecond
	defaultDeadline         = 4800 * time.Millisecond
	defaultMaxAttempts      = 5
	defaultMemoryMB         = 128
	defaultSockets          = 4096
)

// minSockets is the minimum limit on file descriptors, which leaves enough of them for clients.
const minSockets = 64

// ReadSite reads and validates the site file at path. The error is of type Problems if the file is invalid.
func ReadSite(path string) (*Site, error) {
	text, err := readStable(path)
	if err != nil {
		return nil, err
	}
	return parseSite(path, text)
}

// parseSite decodes and validates a site file. Problems on the same line are reported in the order of the checks
// below.
func parseSite(path string, text []byte) (*Site, error) {
	validation := &validator{file: path, lines: tomlLines(text)}
	var file siteFile
	var tree map[string]any
	if !validation.decodeTOML(text, &file) {
		return nil, validation.problems.errOrNil()
	}
	if err := toml.Unmarshal(text, &tree); err != nil {
		validation.addAt(0, "", err.Error())
	}
	file.Operator.check(validation)
	site := &Site{Operator: &file.Operator, values: make(map[string]string)}
	flatten(site.values, "", tree)
	site.Config = validation.siteConfig(&file, text)
	site.Endpoints = validation.siteEndpoints(&file, site.Config)
	site.Config.Settings = validation.siteSettings(&file)
	site.Health = validation.siteHealth(&file)
	site.ProbeWithPing = validation.siteProbesWithPing(&file)
	site.Quota, site.FairShare = validation.siteQuota(&file), file.Limits.FairShare
	if err := validation.problems.errOrNil(); err != nil {
		return nil, err
	}
	return site, nil
}

// siteConfig returns the relay's configuration without the balancer's settings, and with the relay's own zone only.
func (v *validator) siteConfig(file *siteFile, text []byte) *Config {
	if file.Name == "" {
		v.add("name", "is missing")
	}
	v.checkAddress("listen", file.Listen)
	if file.Admin != "" {
		v.checkAddress("admin_addr", file.Admin)
	}
	limits := &file.Limits
	if limits.Cores < 0 || limits.MemoryMB < 0 || limits.Sockets < 0 || limits.MaxAttempts < 0 {
		v.add("limits", "cores, memory_mb, sockets and attempts must not be negative")
	}
	if n := limits.Sockets; n > 0 && n < minSockets {
		v.add("limits.sockets", "%d is less than the minimum of %d", n, minSockets)
	}
	return &Config{
		Name:            file.Name,
		Listen:          file.Listen,
		AdminAddr:       file.Admin,
		adminAddrInFile: file.Admin,
		Cores:           limits.Cores,
		MemoryMB:        cmp.Or(limits.MemoryMB, defaultMemoryMB),
		Sockets:         cmp.Or(limits.Sockets, defaultSockets),
		Seed:            uint64(time.Now().UnixNano()),
		Zones:           []string{file.Zone},
		text:            text,
	}
}

// siteEndpoints returns the endpoints of the file and adds their zones to config.
func (v *validator) siteEndpoints(file *siteFile, config *Config) (endpoints []prober.Endpoint) {
	if len(file.Server) == 0 {
		v.add("server", "is missing: at least one server is required")
	}
	for i, server := range file.Server {
		prefix := fmt.Sprintf("server[%d].", i)
		name := cmp.Or(server.Name, server.Address)
		if _, _, err := net.SplitHostPort(server.Address); err != nil {
			v.add(prefix+"address", "%q is not a host:port address: %v", server.Address, err)
		}
		if slices.ContainsFunc(endpoints, func(other prober.Endpoint) bool { return other.Name == name }) {
			v.add(prefix+"name", "another server is already named %q", name)
		}
		if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' }) {
			v.add(prefix+"name", "%q contains a space or control character", name)
		}
		if server.Size < 0 {
			v.add(prefix+"size", "%v is negative", server.Size)
		}
		endpoints = append(endpoints, prober.Endpoint{Name: name, Address: server.Address, Zone: config.siteZone(server.Zone), Size: cmp.Or(server.Size, 1)})
	}
	return endpoints
}

// siteZone returns the number of a zone, which it adds if it is unknown. An empty name means the relay's own zone.
func (c *Config) siteZone(name string) int {
	if i := slices.Index(c.Zones, name); i >= 0 || name == "" {
		return max(0, i)
	}
	c.Zones = append(c.Zones, name)
	return len(c.Zones) - 1
}

// siteQuota returns the request limits by client address and by class.
func (v *validator) siteQuota(file *siteFile) quota.Settings {
	settings := quota.Settings{PerAddress: file.Limits.PerAddress, Rate: file.Limits.Rate, Burst: file.Limits.Burst, PerClass: make(map[string]int)}
	for i, class := range file.Class {
		if class.MaxRequests < 0 {
			v.add(fmt.Sprintf("class[%d].most", i), "%d is negative", class.MaxRequests)
		} else if class.MaxRequests > 0 {
			settings.PerClass[class.Name] = class.MaxRequests
		}
	}
	if err := settings.Validate(); err != nil {
		v.add("limits", "%v", err)
	}
	return settings
}

// QuotaSettings returns the request limits by client address and by class for a relay with this number of
// admission slots.
func (s *Site) QuotaSettings(slots int) quota.Settings {
	settings := s.Quota
	if s.FairShare {
		settings.FairShareSlots = slots
	}
	return settings
}

// siteSettings returns the balancer's settings. Settings without a key in the site file have values for a single
// relay with a few endpoints.
func (v *validator) siteSettings(file *siteFile) balancer.Settings {
	settings := balancer.Settings{
		RelayCount:        1,
		ClockResolution:   2 * time.Millisecond,
		ConnectTimeout:    500 * time.Millisecond,
		MaxRetryAfter:     2 * time.Second,
		MaxAttempts:       cmp.Or(file.Limits.MaxAttempts, defaultMaxAttempts),
		InitialCapacity:   0.2,
		SlowStartDuration: 20 * time.Second,
		OverloadMultiple:  3,
		OverloadWindow:    3 * time.Second,
		CrossZoneCost:     0.03,
		ReportsLoad:       true,
		ReportsDelay:      true,
	}
	if len(file.Class) == 0 {
		v.add("class", "is missing: at least one class is required")
	}
	semanticsByName := map[string]balancer.DeliverySemantics{"": balancer.Idempotent, "idempotent": balancer.Idempotent, "at_most_once": balancer.AtMostOnce}
	for i, class := range file.Class {
		prefix := fmt.Sprintf("class[%d].", i)
		semantics, ok := semanticsByName[class.Semantics]
		switch {
		case class.Name == "":
			v.add(prefix+"name", "is missing")
		case settings.ClassIndex(class.Name) >= 0:
			v.add(prefix+"name", "another class is already named %q", class.Name)
		case !ok:
			v.add(prefix+"effect", "%q is neither idempotent nor at_most_once", class.Semantics)
		}
		settings.Classes = append(settings.Classes, balancer.Class{
			Name:                    class.Name,
			LatencyObjective:        time.Duration(cmp.Or(class.LatencyObjective, duration(defaultLatencyObjective))),
			Deadline:                time.Duration(cmp.Or(class.Deadline, duration(defaultDeadline))),
			MessageLatencyObjective: time.Duration(class.MessageLatencyObjective),
			Semantics:               semantics,
		})
	}
	return settings
}

// siteHealth returns the health-check settings: the file's values, or the defaults for omitted keys.
func (v *validator) siteHealth(file *siteFile) healthcheck.Settings {
	settings, health := healthcheck.DefaultSettings(), &file.Health
	settings.Interval = time.Duration(cmp.Or(health.Interval, duration(settings.Interval)))
	settings.Timeout = time.Duration(cmp.Or(health.Timeout, duration(settings.Timeout)))
	settings.Rise = cmp.Or(health.Rise, settings.Rise)
	settings.Fall = cmp.Or(health.Fall, settings.Fall)
	settings.MaxLoadShare = cmp.Or(health.MaxLoadShare, settings.MaxLoadShare)
	settings.PanicThreshold = cmp.Or(health.PanicThreshold, settings.PanicThreshold)
	if err := settings.Validate(); err != nil {
		v.add("health", "%v", err)
	}
	return settings
}

// siteProbesWithPing reports whether to probe endpoints with PING rather than only by connecting.
func (v *validator) siteProbesWithPing(file *siteFile) bool {
	switch file.Health.Probe {
	case "", "ping":
		return true
	case "connect":
		return false
	}
	v.add("health.probe", "%q is neither ping nor connect", file.Health.Probe)
	return true
}
