// Package config reads, validates and compares a relay's configuration files: the platform configuration (JSON),
// the site file and the operator file (both TOML).
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"lockroad/balancer"
	"lockroad/internal/discovery"
	"lockroad/internal/simprotocol"
)

// Config is the configuration that a relay is started with.
type Config struct {
	Name          string
	Listen        string // host:port of the line frontend
	DiscoveryAddr string // host:port of the discovery agent
	AdminAddr     string // host:port of the admin server; "": none
	Seed          uint64 // seed of the balancer's random numbers
	Cores         float64
	MemoryMB      int64
	Sockets       int            // limit on the process's file descriptors; 0: no limit
	InitialList   discovery.List // endpoint list to use until discovery sends one
	Settings      balancer.Settings
	Zones         []string // zone names, by zone number

	text            []byte // file content
	adminAddrInFile string // AdminAddr as set in the file, which the environment can override
}

// ReadConfig reads and validates the platform configuration at path. The error is of type Problems if the
// configuration is invalid.
func ReadConfig(path string) (*Config, error) { return ReadReplacement(path, nil) }

// ParseConfig parses and validates a platform configuration. The error is of type Problems.
func ParseConfig(text []byte) (*Config, error) { return parseConfig("configuration", text, nil) }

// ReadReplacement is like ReadConfig for a reload. inForce is the content of the configuration in force; a key
// that it has and the new configuration lacks is an error. nil disables that check.
func ReadReplacement(path string, inForce []byte) (*Config, error) {
	text, err := readStable(path)
	if err != nil {
		return nil, err
	}
	return parseConfig(path, text, inForce)
}

// Text returns the content that the configuration was parsed from. The caller must not modify it.
func (c *Config) Text() []byte { return c.text }

// NeedsRestart reports whether the configuration differs from the one that the relay was started with in
// settings that a reload can't apply: name, listen address, admin address and limits.
func (c *Config) NeedsRestart(started *Config) bool {
	return c.Listen != started.Listen || c.Name != started.Name || c.Sockets != started.Sockets || c.MemoryMB != started.MemoryMB ||
		c.Cores != started.Cores || c.adminAddrInFile != started.adminAddrInFile
}

// parseConfig decodes and validates a platform configuration. For inForce see ReadReplacement.
func parseConfig(path string, text, inForce []byte) (*Config, error) {
	validation := &validator{file: path, lines: jsonLines(text)}
	config := validation.platformConfig(text)
	validation.requireKeysOf(text, inForce)
	if err := validation.problems.errOrNil(); err != nil {
		return nil, err
	}
	return config, nil
}

// platformFile is the format of the platform configuration. Keys match regardless of case.
type platformFile struct {
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

// platformConfig decodes a platform configuration and adds its problems to v. It returns nil if the JSON or the
// settings can't be decoded.
func (v *validator) platformConfig(text []byte) *Config {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		v.addJSONError(text, err)
		return nil
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		v.add("seed", "%q is not a 64-bit hexadecimal number", file.Seed)
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
		Name:            file.Name,
		Listen:          file.Listen,
		DiscoveryAddr:   file.Discovery,
		AdminAddr:       file.Admin,
		Seed:            seed,
		Cores:           file.Limits.Cores,
		MemoryMB:        file.Limits.MemoryMB,
		Sockets:         file.Limits.Sockets,
		InitialList:     file.Known,
		Settings:        settings,
		Zones:           zones,
		text:            text,
		adminAddrInFile: file.Admin,
	}
}

// platformSettings decodes the balancer's settings and the zone names. ok is false if either can't be decoded.
func (v *validator) platformSettings(text json.RawMessage) (settings balancer.Settings, zones []string, ok bool) {
	settings, err := simprotocol.ParseSettings(text)
	if err != nil {
		v.addSettingsErrors(err)
		return settings, nil, false
	}
	var extra struct {
		Localities []string `json:"Localities"`
		Limits     struct {
			MaxRetryAfterUs float64 `json:"MaxRetryAfterUs"`
		} `json:"Limits"`
	}
	if err := json.Unmarshal(text, &extra); err != nil {
		key := "settings"
		if mismatch := (*json.UnmarshalTypeError)(nil); errors.As(err, &mismatch) {
			key += "." + mismatch.Field
		}
		v.add(key, "%v", simprotocol.DescribeJSONError(err))
		return settings, nil, false
	}
	// A rejection over a connection can always carry a retry-after, so Limits.RetryAfter is ignored here.
	if settings.MaxRetryAfter, err = simprotocol.MicrosecondsToDuration(extra.Limits.MaxRetryAfterUs); err != nil {
		v.add("settings.Limits.MaxRetryAfterUs", "%v", err)
		return settings, nil, false
	}
	return settings, extra.Localities, true
}

// checkClassNames adds a problem for each class with a missing or duplicate name.
func (v *validator) checkClassNames(settings *balancer.Settings) {
	for i, class := range settings.Classes {
		switch key := fmt.Sprintf("settings.Classes[%d].Name", i); {
		case class.Name == "":
			v.add(key, "is missing")
		case settings.ClassIndex(class.Name) != i:
			v.add(key, "another class is already named %q", class.Name)
		}
	}
}
