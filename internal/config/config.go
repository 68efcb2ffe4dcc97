// Package config reads, validates and compares the files that a relay runs by: the platform's configuration (JSON), a small
// site's file and an operator's file (TOML). No running relay is needed for it.
package config

import (
	"encoding/json"
	"fmt"
	"strconv"

	"lockroad/balancer"
	"lockroad/internal/discovery"
	"lockroad/internal/simprotocol"
)

// Config is what a relay is started with by its platform.
type Config struct {
	Name          string
	Listen        string // host:port of the line frontend
	DiscoveryAddr string // host:port of the discovery agent
	AdminAddr     string // host:port of the second address; "": there is none
	Seed          uint64 // of the balancer's random numbers
	Cores         float64
	MemoryMB      int64
	Sockets       int            // descriptors that the process may have; 0: no limit
	InitialList   discovery.List // the endpoint list from before the start
	Settings      balancer.Settings
	Zones         []string // names of the zones, by number

	text        []byte // that it was read from
	adminInFile string // what that said of the second address
}

// ReadConfig reads and validates the configuration that the platform has written to path. The error is Problems, or that of
// reading the file.
func ReadConfig(path string) (*Config, error) { return ReadReplacement(path, nil) }

// ParseConfig is ReadConfig of a text. The error is Problems.
func ParseConfig(text []byte) (*Config, error) { return parseConfig("configuration", text, nil) }

// ReadReplacement is ReadConfig of a configuration that is to take the place of the one with the text inForce, if that is not
// nil: it has to have all the keys that inForce has.
func ReadReplacement(path string, inForce []byte) (*Config, error) {
	text, err := readStable(path)
	if err != nil {
		return nil, err
	}
	return parseConfig(path, text, inForce)
}

// Text returns the text that the configuration was read from, for a comparison with another. The caller doesn't change it.
func (c *Config) Text() []byte { return c.text }

// NeedsRestart reports whether the configuration differs from the one that the relay was started with in what only a start
// takes: name, listen address, second address and limits.
func (c *Config) NeedsRestart(started *Config) bool {
	return c.Listen != started.Listen || c.Name != started.Name || c.Sockets != started.Sockets || c.MemoryMB != started.MemoryMB ||
		c.Cores != started.Cores || c.adminInFile != started.adminInFile
}

// parseConfig decodes and validates a configuration. inForce is the text of the one whose place it is to take, if any.
func parseConfig(path string, text, inForce []byte) (*Config, error) {
	v := &validator{file: path, lines: jsonLines(text)}
	c := v.platformConfig(text)
	v.requireKeysOf(text, inForce)
	if err := v.problems.errOrNil(); err != nil {
		return nil, err
	}
	return c, nil
}

// platformFile is the configuration as the platform writes it. Keys are found whatever their case; errors have them as the tags
// have. It is an alias as errors of its decoder, which operators read, print the type.
type platformFile = struct {
	Name      string `json:"Name"`
	Listen    string `json:"Listen"`
	Discovery string `json:"Discovery"`
	Seed      string `json:"Seed"`
	Admin     string `json:"admin_addr"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"Limits"`
	Known    discovery.List  `json:"Known"`
	Settings json.RawMessage `json:"Settings"`
}

// platformConfig decodes a configuration and adds all that is wrong with it. It returns nil after a problem that leaves nothing
// to go on with.
func (v *validator) platformConfig(text []byte) *Config {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		v.addJSONError(text, err)
		return nil
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		v.add("seed", "%q is no hexadecimal number of 64 bits", file.Seed)
	}
	v.checkAddress("listen", file.Listen)
	v.checkAddress("discovery", file.Discovery)
	if file.Admin != "" {
		v.checkAddress("admin_addr", file.Admin)
	}
	settings, zones, ok := v.platformSettings(file.Settings)
	if !ok {
		return nil
	}
	v.checkClassNames(&settings)
	return &Config{
		Name:          file.Name,
		Listen:        file.Listen,
		DiscoveryAddr: file.Discovery,
		AdminAddr:     file.Admin,
		Seed:          seed,
		Cores:         file.Limits.Cores,
		MemoryMB:      file.Limits.MemoryMB,
		Sockets:       file.Limits.Sockets,
		InitialList:   file.Known,
		Settings:      settings,
		Zones:         zones,
		text:          text,
		adminInFile:   file.Admin,
	}
}

// platformSettings decodes the balancer's settings and the names of the zones. It reports whether they can be gone on with.
func (v *validator) platformSettings(text json.RawMessage) (settings balancer.Settings, zones []string, ok bool) {
	settings, err := simprotocol.ParseSettings(text)
	if err != nil {
		v.addSettingsErrors(err)
		return settings, nil, false
	}
	var names struct {
		Localities []string `json:"Localities"`
		Limits     struct {
			MaxRetryAfterUs float64 `json:"MaxRetryAfterUs"`
		} `json:"Limits"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		v.add("settings", "%v", err)
		return settings, nil, false
	}
	// On sockets a rejection always has room for the retry-after, whether or not the settings say so.
	if settings.MaxRetryAfter, err = simprotocol.Span(names.Limits.MaxRetryAfterUs); err != nil {
		v.add("settings.Limits.MaxRetryAfterUs", "%v", err)
		return settings, nil, false
	}
	return settings, names.Localities, true
}

// checkClassNames adds classes without a name, or with that of one before them.
func (v *validator) checkClassNames(settings *balancer.Settings) {
	for i, class := range settings.Classes {
		switch key := fmt.Sprintf("settings.Classes[%d].Name", i); {
		case class.Name == "":
			v.add(key, "is missing")
		case settings.ClassIndex(class.Name) != i:
			v.add(key, "%q is the name of another class too", class.Name)
		}
	}
}
