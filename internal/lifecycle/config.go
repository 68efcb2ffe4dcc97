// Package lifecycle starts the relay, tells when it is ready, and has it leave
// in good order.
package lifecycle

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"lockroad/balance"
	"lockroad/internal/spoken/discovery"
	"lockroad/internal/wire"
)

// Config is what a relay is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Cores     float64
	MemoryMB  int64
	Sockets   int
	Known     discovery.List
	Settings  balance.Settings
	Classes   []string // their names, in the order of the settings
	Zones     []string
}

// ReadConfig reads the configuration from the file that the platform names.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseConfig(text)
}

// ParseConfig reads the configuration that the platform hands out.
func ParseConfig(text []byte) (*Config, error) {
	var raw struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64 `json:"cores"`
			MemoryMB int64   `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		}
		Known    discovery.List
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	seed, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("configuration: seed %q: %w", raw.Seed, err)
	}
	set, err := wire.ParseSettings(raw.Settings)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var names struct {
		Classes    []struct{ Name string }
		Localities []string
		Limits     struct{ MaxRetryAfterUs float64 }
	}
	if err := json.Unmarshal(raw.Settings, &names); err != nil {
		return nil, fmt.Errorf("configuration: settings: %w", err)
	}
	// On sockets an unavailable answer always has room for when to come back.
	set.MaxRetryAfter = time.Duration(names.Limits.MaxRetryAfterUs) * time.Microsecond
	c := &Config{
		Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Seed: seed,
		Cores: raw.Limits.Cores, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets,
		Known: raw.Known, Settings: set, Zones: names.Localities,
	}
	for _, class := range names.Classes {
		c.Classes = append(c.Classes, class.Name)
	}
	for _, address := range []string{c.Listen, c.Discovery} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("configuration: listen address %q, discovery %q: %w", c.Listen, c.Discovery, err)
		}
	}
	return c, nil
}
