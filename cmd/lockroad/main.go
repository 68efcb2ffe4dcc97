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
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	c, err := lifecycle.ParseConfig(text)
	if err != nil {
		return err
	}
	o, err := lifecycle.ReadOperator(os.Getenv("LOCKROAD_OPERATOR"))
	if err != nil {
		return err
	}
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM, os.Interrupt)
	drain := make(chan struct{})
	go func() {
		<-terms
		close(drain)
	}()
	return lifecycle.Run(context.Background(), drain, c, o, log)
}
