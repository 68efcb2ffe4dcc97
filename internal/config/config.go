// Package config reads, validates and compares the files that a relay runs by: the platform's configuration (JSON), a small
// site's file and an operator's file (TOML). No running relay is needed for it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"lockroad/balancer"
	"lockroad/internal/discovery"
	"lockroad/internal/simprotocol"
)

// Config is what a relay is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Admin     string // the second address; "": there is none
	Seed      uint64
	Cores     float64
	MemoryMB  int64
	Sockets   int
	Known     discovery.List
	Settings  balancer.Settings
	Zones     []string

	text        []byte // that it was read from
	adminInFile string // what that said of the second address
}

// ReadConfig reads the configuration from the file that the platform names.
func ReadConfig(path string) (*Config, error) {
	text, err := readStable(path)
	if err != nil {
		return nil, err
	}
	return parseConfig(path, text, nil)
}

// ParseConfig reads the configuration that the platform hands out. An error is
// Problems.
func ParseConfig(text []byte) (*Config, error) { return parseConfig("configuration", text, nil) }

// ReadReplacement reads the configuration that is to take the place of the one with the text inForce. It has to have all
// the keys that inForce has.
func ReadReplacement(path string, inForce []byte) (*Config, error) {
	text, err := readStable(path)
	if err != nil {
		return nil, err
	}
	return parseConfig(path, text, inForce)
}

// Text returns the text that the configuration was read from, for a comparison with another.
func (c *Config) Text() []byte { return c.text }

// NeedsRestart reports whether the configuration differs from the one that the relay was started with in what only a start
// takes: name, listen address, second address and limits.
func (c *Config) NeedsRestart(started *Config) bool {
	return c.Listen != started.Listen || c.Name != started.Name || c.Sockets != started.Sockets || c.MemoryMB != started.MemoryMB ||
		c.Cores != started.Cores || c.adminInFile != started.adminInFile
}

// parseConfig reads a configuration; inForce is the text of the one whose place it is to
// take, if any.
func parseConfig(path string, text, inForce []byte) (*Config, error) {
	f := &validator{file: path, lines: jsonLines(text)}
	c := f.platformConfig(text)
	f.requireKeysOf(text, inForce)
	if err := f.problems.errOrNil(); err != nil {
		return nil, err
	}
	return c, nil
}

// platformConfig reads a configuration and collects all that is wrong with it.
func (f *validator) platformConfig(text []byte) *Config {
	// Keys are found whatever their case; errors tell them as the tags have them.
	var raw struct {
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
	if err := json.Unmarshal(text, &raw); err != nil {
		f.addJSONError(text, err)
		return nil
	}
	seed, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		f.add("seed", "%q is no hexadecimal number of 64 bits", raw.Seed)
	}
	f.checkAddress("listen", raw.Listen)
	f.checkAddress("discovery", raw.Discovery)
	if raw.Admin != "" {
		f.checkAddress("admin_addr", raw.Admin)
	}
	set, err := simprotocol.ParseSettings(raw.Settings)
	if err != nil {
		f.addSettingsErrors(err)
		return nil
	}
	var names struct {
		Localities []string `json:"Localities"`
		Limits     struct {
			MaxRetryAfterUs float64 `json:"MaxRetryAfterUs"`
		} `json:"Limits"`
	}
	if err := json.Unmarshal(raw.Settings, &names); err != nil {
		f.add("settings", "%v", err)
		return nil
	}
	// On sockets an unavailable answer always has room for when to come back.
	if set.MaxRetryAfter, err = simprotocol.Span(names.Limits.MaxRetryAfterUs); err != nil {
		f.add("settings.Limits.MaxRetryAfterUs", "%v", err)
		return nil
	}
	c := &Config{
		Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Admin: raw.Admin, Seed: seed,
		Cores: raw.Limits.Cores, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets,
		Known: raw.Known, Settings: set, Zones: names.Localities, text: text, adminInFile: raw.Admin,
	}
	for i, class := range set.Classes {
		switch at := fmt.Sprintf("settings.Classes[%d].Name", i); {
		case class.Name == "":
			f.add(at, "is missing")
		case set.ClassIndex(class.Name) != i:
			f.add(at, "%q is the name of another class too", class.Name)
		}
	}
	return c
}

// checkAddress adds what is wrong with a host:port, and returns the port where it is one.
func (f *validator) checkAddress(key, text string) (port string, ok bool) {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		f.add(key, "%q is no host:port: %v", text, err)
	}
	return port, err == nil
}

// addSettingsErrors adds what is wrong with the settings, each under its own key.
func (f *validator) addSettingsErrors(err error) {
	var keys simprotocol.KeyErrors
	if !errors.As(err, &keys) {
		f.add("settings", "%s", strings.TrimPrefix(err.Error(), "settings: "))
	}
	for _, e := range keys {
		f.add("settings."+e.Key, "%s", e.What)
	}
}
