package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"

	"lockroad/internal/config"
)

// initCommand implements "lockroad init": it creates a site file.
type initCommand struct {
	File    string   `arg:"" optional:"" default:"site.toml" help:"The file to create. It must not exist."`
	Name    string   `placeholder:"NAME" help:"Name of this relay."`
	Listen  string   `placeholder:"HOST:PORT" help:"Address that clients connect to."`
	Servers []string `name:"server" placeholder:"HOST:PORT" help:"Address of an application server. Repeat the flag for each server."`
	Socket  string   `placeholder:"PATH" help:"Path of the console socket."`
}

// Help returns the examples and exit codes shown by --help.
func (*initCommand) Help() string {
	return `The command prompts for the values that no flag sets.

Examples:
  lockroad init --name music-room --listen 0.0.0.0:3000 --server 10.0.0.5:4000 --server 10.0.0.6:4000
  lockroad run --site site.toml

Exit codes:
  0    the file was created
  1    the file exists already, or a value is invalid
  2    the command line is malformed`
}

// Run prompts for the values that no flag sets, and writes the file. It removes the file again if it is not valid.
func (c *initCommand) Run(std streams) error {
	in := bufio.NewReader(std.in)
	prompt := func(value *string, question, fallback string) error {
		if *value != "" {
			return nil
		}
		fmt.Fprintf(std.out, "%s [%s]: ", question, fallback)
		text, err := in.ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if *value = strings.TrimSpace(text); *value == "" {
			*value = fallback
		}
		return nil
	}
	host, err := os.Hostname()
	if err != nil {
		host = "relay"
	}
	servers := strings.Join(c.Servers, " ")
	dir, err := filepath.Abs(filepath.Dir(c.File))
	if err != nil {
		return err
	}
	if err := errors.Join(
		prompt(&c.Name, "Name of this relay", host),
		prompt(&c.Listen, "Address for clients (host:port)", "0.0.0.0:3000"),
		prompt(&servers, "Addresses of the servers (host:port, separated by spaces)", "127.0.0.1:4000"),
		prompt(&c.Socket, "Path of the console socket", filepath.Join(dir, "lockroad.sock")),
	); err != nil {
		return err
	}
	addresses := strings.Fields(strings.ReplaceAll(servers, ",", " "))
	for _, address := range append([]string{c.Listen}, addresses...) {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%q is not a host:port address: %w", address, err)
		}
	}
	if err := config.WriteSite(c.File, config.RenderSite(c.Name, c.Listen, c.Socket, addresses)); err != nil {
		return err
	}
	if _, err := config.ReadSite(c.File); err != nil {
		return errors.Join(err, os.Remove(c.File))
	}
	fmt.Fprintf(std.out, "%s created\nStart the relay: lockroad run --site %s\nCheck the servers: lockroad console --socket %s health\n", c.File, c.File, c.Socket)
	return nil
}
