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
	"time"

	"lockroad/internal/config"
	"lockroad/internal/logging"
	"lockroad/internal/server"
)

// logTailLines is the number of log lines that are retained for the console's log command.
const logTailLines = 500

// runCommand implements "lockroad run".
type runCommand struct {
	Config   string `env:"PROXY_CONFIG" placeholder:"FILE" help:"The platform configuration file, JSON."`
	Site     string `placeholder:"FILE" help:"The site file, TOML. It replaces --config and --operator and needs neither platform nor discovery."`
	Operator string `env:"LOCKROAD_OPERATOR" placeholder:"FILE" help:"The operator file, TOML."`
	Admin    string `name:"admin-addr" env:"PROXY_ADMIN_ADDR" placeholder:"HOST:PORT" help:"Address that serves readiness and metrics. It overrides admin_addr of the configuration."`
	LogLevel string `placeholder:"LEVEL" help:"Log level: debug, info, warn or error. It overrides the operator file."`
	LogForm  string `placeholder:"FORM" help:"Log format: text, logfmt or json. It overrides the operator file."`
}

// Help returns the examples and exit codes shown by --help.
func (*runCommand) Help() string {
	return `Examples:
  lockroad                         reads PROXY_CONFIG and LOCKROAD_OPERATOR
  lockroad run --config relay.json --operator operator.toml --log-form text
  lockroad run --site site.toml    the file is created by lockroad init

SIGHUP reloads the configuration. SIGTERM stops the relay after all clients have been
migrated.

Exit codes:
  0    the relay was stopped
  1    the relay failed; the log has the errors
  2    the command line is malformed
  75   a restart was requested at the console; the supervisor starts the relay again`
}

// Validate checks the log level and the log format.
func (c *runCommand) Validate() error {
	return errors.Join(logging.CheckLevel(c.LogLevel), logging.CheckFormat(c.LogForm))
}

// Run runs the relay until it has shut down.
func (c *runCommand) Run(std streams) error {
	startedAt := time.Now()
	site, operator, fileErr := c.readFiles()
	log := logging.New(c.logOptions(operator), std.err)
	defer log.Close()
	err := errors.Join(fileErr, c.run(site, operator, log, startedAt, fileErr != nil))
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

// readFiles reads the site file, which includes the operator settings, or, without one, the operator file. operator is
// nil if an error is returned.
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

// logOptions returns the logging options: the flags override the operator settings, which are nil if they could not be
// read.
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

// run reads the platform configuration, unless there is a site file, and runs the relay. With checkOnly it reads the
// configuration but does not run the relay, so that the errors of both files are reported together. startedAt is a time
// before any file was read.
func (c *runCommand) run(site *config.Site, operator *config.Operator, log *logging.Logger, startedAt time.Time, checkOnly bool) error {
	if c.Site != "" && checkOnly {
		return nil
	}
	if c.Config == "" && c.Site == "" {
		return errors.New("no configuration: set --config, --site or PROXY_CONFIG")
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
			return fmt.Errorf("--admin-addr or PROXY_ADMIN_ADDR: %q is not a host:port address: %w", c.Admin, err)
		}
		platform.AdminAddr = c.Admin
	}
	options := server.RunOptions{
		Shutdown:     shutdownSignal(),
		Reload:       reloadSignals,
		ConfigPath:   path,
		ConfigReadAt: startedAt,
		Site:         site,
		LogTail:      log.Tail,
		Supervised:   os.Getenv("INVOCATION_ID") != "" || os.Getenv("LOCKROAD_SUPERVISED") != "",
	}
	return server.Run(context.Background(), options, platform, operator, log.Logger)
}

// shutdownSignal returns a channel that is closed when the process receives SIGTERM or an interrupt. A goroutine waits
// for the first of these signals, if need be until the process exits.
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
