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

// initCommand writes a site's file.
type initCommand struct {
	File    string   `arg:"" optional:"" default:"site.toml" help:"The file to write; it must not be there yet."`
	Name    string   `placeholder:"NAME" help:"What this box is called."`
	Listen  string   `placeholder:"HOST:PORT" help:"Where clients come."`
	Servers []string `name:"server" placeholder:"HOST:PORT" help:"Where a server is; once for each."`
	Socket  string   `placeholder:"PATH" help:"The console's socket."`
}

// Help has examples.
func (*initCommand) Help() string {
	return `What is not given by a flag is asked for.

Examples:
  lockroad init --name music-room --listen 0.0.0.0:3000 --server 10.0.0.5:4000 --server 10.0.0.6:4000
  lockroad run --site site.toml

It ends with 1 if the file is there already, or what is said makes no sense.`
}

// Run asks for what no flag gives, and writes the file. One that is not valid is removed again.
func (c *initCommand) Run(std streams) error {
	in := bufio.NewReader(std.in)
	ask := func(value *string, question, usual string) error {
		if *value != "" {
			return nil
		}
		fmt.Fprintf(std.out, "%s [%s]: ", question, usual)
		text, err := in.ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if *value = strings.TrimSpace(text); *value == "" {
			*value = usual
		}
		return nil
	}
	host, err := os.Hostname()
	if err != nil {
		host = "relay"
	}
	servers := strings.Join(c.Servers, " ")
	here, err := filepath.Abs(filepath.Dir(c.File))
	if err != nil {
		return err
	}
	if err := errors.Join(
		ask(&c.Name, "What is this box called", host),
		ask(&c.Listen, "Where are clients to come, host:port", "0.0.0.0:3000"),
		ask(&servers, "Where are the servers, host:port of each with a blank between", "127.0.0.1:4000"),
		ask(&c.Socket, "Where is the console's socket to be", filepath.Join(here, "lockroad.sock")),
	); err != nil {
		return err
	}
	list := strings.Fields(strings.ReplaceAll(servers, ",", " "))
	for _, address := range append([]string{c.Listen}, list...) {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%q is no host:port: %w", address, err)
		}
	}
	if err := config.WriteSite(c.File, config.RenderSite(c.Name, c.Listen, c.Socket, list)); err != nil {
		return err
	}
	if _, err := config.ReadSite(c.File); err != nil {
		return errors.Join(err, os.Remove(c.File))
	}
	fmt.Fprintf(std.out, "%s is written. Start: lockroad run --site %s\nLook: lockroad console --socket %s health\n", c.File, c.File, c.Socket)
	return nil
}
