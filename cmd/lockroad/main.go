// Command lockroad is the relay: it places clients' connections on application
// servers and carries them. `lockroad console` talks to one that runs.
package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"lockroad/internal/console"
	"lockroad/internal/lifecycle"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "console" {
		os.Exit(console.Main(os.Args[2:], os.Stdin, os.Stdout, os.Stderr))
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if len(os.Args) > 1 {
		log.Error("the only argument is console", "got", os.Args[1])
		os.Exit(console.ExitUsage)
	}
	if err := run(log); err != nil {
		log.Error("the relay ends", "error", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	file := os.Getenv("PROXY_CONFIG")
	if file == "" {
		return errors.New("PROXY_CONFIG names no configuration")
	}
	// SIGHUP says that the file has been replaced. Its default ends the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	c, err := lifecycle.ReadConfig(file)
	if err != nil {
		return err
	}
	o, err := lifecycle.ReadOperator(os.Getenv("LOCKROAD_OPERATOR"))
	if err != nil {
		return err
	}
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM, os.Interrupt)
	leave := make(chan struct{})
	go func() {
		<-terms
		close(leave)
	}()
	words := lifecycle.Words{Leave: leave, Reload: reload, File: file}
	return lifecycle.Run(context.Background(), words, c, o, log)
}
