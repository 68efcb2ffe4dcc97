package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"lockroad/internal/config"
	"lockroad/internal/logging"
	"lockroad/internal/server"
)

// logTailLines is how many lines of the log the console can show.
const logTailLines = 500

// runCommand runs the relay.
type runCommand struct {
	Config   string `env:"PROXY_CONFIG" placeholder:"FILE" help:"The platform's configuration, JSON ($$PROXY_CONFIG)."`
	Site     string `placeholder:"FILE" help:"A small site's file, TOML, in place of both: no platform, no discovery."`
	Operator string `env:"LOCKROAD_OPERATOR" placeholder:"FILE" help:"The operator's file, TOML ($$LOCKROAD_OPERATOR)."`
	Admin    string `name:"admin-addr" env:"PROXY_ADMIN_ADDR" placeholder:"HOST:PORT" help:"Where readiness and figures are asked for, over the configuration's admin_addr ($$PROXY_ADMIN_ADDR)."`
	LogLevel string `placeholder:"LEVEL" help:"debug, info, warn or error; over the operator's file."`
	LogForm  string `placeholder:"FORM" help:"text, logfmt or json; over the operator's file."`
}

// Help has examples.
func (*runCommand) Help() string {
	return `Examples:
  lockroad                                       as the platform starts it
  lockroad run --config relay.json --operator operator.toml --log-form text
  lockroad run --site site.toml                  on a box of its own; lockroad init writes the file

It ends with 0 after SIGTERM, once everyone has been moved, with 1 when it can't
start, with 2 when it was called wrongly, and with 75 when it left to be started again
(restart at the console). SIGHUP has it read the configuration anew.`
}

// Validate checks the flags.
func (c *runCommand) Validate() error {
	return errors.Join(logging.CheckLevel(c.LogLevel), logging.CheckFormat(c.LogForm))
}

// Run runs the relay until it has shut down.
func (c *runCommand) Run(std streams) error {
	site, operator, fileErr := c.readFiles()
	log := logging.New(c.logOptions(operator), std.err)
	defer log.Close()
	err := errors.Join(fileErr, c.run(site, operator, log, fileErr != nil))
	if errors.Is(err, server.ErrRestart) {
		return exitError(exitRestart)
	}
	if err != nil {
		for line := range strings.Lines(err.Error()) {
			log.Error("relay failed", "error", strings.TrimSpace(line))
		}
		return exitError(exitFailed)
	}
	return nil
}

// readFiles reads the site's file, which has the operator's settings as well, or else the operator's file. After an error
// operator is nil.
func (c *runCommand) readFiles() (site *config.Site, operator *config.Operator, err error) {
	if c.Site == "" {
		operator, err = config.ReadOperator(c.Operator)
		return nil, operator, err
	}
	if site, err = config.ReadSite(c.Site); err != nil {
		return nil, nil, err
	}
	return site, site.Operator, nil
}

// logOptions returns the options of the log: the flags, over the operator's settings. operator is nil if they can't be read.
func (c *runCommand) logOptions(operator *config.Operator) logging.Options {
	options := logging.Options{Level: c.LogLevel, Format: c.LogForm}
	if operator == nil {
		return options
	}
	options.Level = cmp.Or(options.Level, operator.Log.Level)
	options.Format = cmp.Or(options.Format, operator.Log.Format)
	if operator.Console.Socket != "" {
		options.TailLines = logTailLines
	}
	return options
}

// run reads the platform's configuration, where there is no site, and runs the relay. With checkOnly it only reads, so that what
// is wrong with one file and with the other is reported at once.
func (c *runCommand) run(site *config.Site, operator *config.Operator, log *logging.Logger, checkOnly bool) error {
	if c.Site != "" && checkOnly {
		return nil
	}
	if c.Config == "" && c.Site == "" {
		return errors.New("PROXY_CONFIG names no configuration, and neither does --config")
	}
	var platform *config.Config
	path := c.Config
	if site != nil {
		platform, path = site.Config, c.Site
	} else {
		var err error
		if platform, err = config.ReadConfig(c.Config); err != nil || checkOnly {
			return err
		}
	}
	if c.Admin != "" {
		if _, _, err := net.SplitHostPort(c.Admin); err != nil {
			return fmt.Errorf("PROXY_ADMIN_ADDR: %q is no host:port: %w", c.Admin, err)
		}
		platform.AdminAddr = c.Admin
	}
	options := server.RunOptions{
		Shutdown:   shutdownSignal(),
		Reload:     reloadSignals,
		ConfigPath: path,
		Site:       site,
		LogTail:    log.Tail,
		Supervised: os.Getenv("INVOCATION_ID") != "" || os.Getenv("LOCKROAD_SUPERVISED") != "",
	}
	return server.Run(context.Background(), options, platform, operator, log.Logger)
}

// shutdownSignal returns a channel that is closed at SIGTERM or an interrupt. Its goroutine lives as long as the process.
func shutdownSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	shutdown := make(chan struct{})
	go func() {
		<-signals
		close(shutdown)
	}()
	return shutdown
}
