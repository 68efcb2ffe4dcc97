package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"lockroad/internal/explain"
	"lockroad/internal/persistence"
	"lockroad/internal/store"
)

// storeCommand has the commands for the folder of a relay's store.
type storeCommand struct {
	Check   storeCheckCommand   `cmd:"" help:"Read all of it and tell what is wrong."`
	Stats   storeStatsCommand   `cmd:"" help:"Tell what it holds."`
	Dump    storeDumpCommand    `cmd:"" help:"Write its records, a line of JSON each."`
	Compact storeCompactCommand `cmd:"" help:"Leave nothing in its files that was removed or let go."`
	Erase   storeEraseCommand   `cmd:"" help:"Erase what is kept of a client, by its name or its flow's key."`
	Repair  storeRepairCommand  `cmd:"" help:"Keep what can be read of one that is damaged, and lose the rest."`
}

// Help has examples.
func (*storeCommand) Help() string {
	return `The relay must not run, or DIR be a copy: a store that is open is refused.

Examples:
  lockroad store check /var/lib/lockroad
  cp -r /var/lib/lockroad copy && lockroad store dump copy --kind orders

They end with 0 if all is well, and with 1 if something is damaged or can't be done.`
}

// storeFolder is the argument that all commands of a store have.
type storeFolder struct {
	Dir string `arg:"" type:"existingdir" help:"The store's folder, [store] dir in the operator's file."`
}

func (f storeFolder) fs() store.FS { return store.Dir(f.Dir) }

// printReport prints what was found. It returns exitFailed as an error if anything is damaged.
func printReport(w io.Writer, report store.Report) error {
	fmt.Fprintf(w, "%d records of %d commits in %d files; %d bytes, about %d of them wanted; read in %v\n", report.Records, report.Commits, report.Files, report.Bytes, report.LiveBytes, report.Duration.Round(time.Microsecond))
	if t := report.TornTail; t != nil {
		fmt.Fprintf(w, "%s ends in %d bytes from byte %d on that a crash tore: nothing in them was committed to last\n", t.File, t.Bytes, t.Offset)
	}
	for _, name := range report.Replaced {
		fmt.Fprintf(w, "%s is left over from a merge, and goes at the next start\n", name)
	}
	for _, d := range report.Damaged {
		fmt.Fprintln(w, d)
	}
	if len(report.Damaged) > 0 {
		return exitError(exitFailed)
	}
	return nil
}

type storeCheckCommand struct{ storeFolder }

// Run reads all of the store and prints what is wrong.
func (c *storeCheckCommand) Run(std streams) error {
	report, err := store.Check(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	return printReport(std.out, report)
}

type storeStatsCommand struct{ storeFolder }

// Run prints how many records there are of each kind.
func (c *storeStatsCommand) Run(std streams) error {
	report, kinds, err := store.Count(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	for _, k := range kinds {
		fmt.Fprintf(std.out, "%-10s %6d records, %8d bytes, since %s\n", k.Name, k.Records, k.Bytes, k.Oldest.Local().Format("2006-01-02 15:04:05"))
	}
	return printReport(std.out, report)
}

type storeDumpCommand struct {
	storeFolder
	Kind string `placeholder:"KIND" help:"Only those of one kind: orders, learnt or decisions."`
}

// Run prints records as JSON.
func (c *storeDumpCommand) Run(std streams) error {
	return store.Dump(c.fs(), persistence.Kinds(), c.Kind, std.out)
}

type storeCompactCommand struct{ storeFolder }

// Run merges the store's files.
func (c *storeCompactCommand) Run(std streams) error {
	before, after, err := store.Compact(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	fmt.Fprintf(std.out, "%d bytes before, %d after\n", before.Bytes, after.Bytes)
	return printReport(std.out, after)
}

type storeRepairCommand struct{ storeFolder }

// Run keeps what can be read.
func (c *storeRepairCommand) Run(std streams) error {
	before, after, err := store.Repair(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	fmt.Fprintln(std.out, "before:")
	_ = printReport(std.out, before) // the verdict is that of what is there now
	fmt.Fprintln(std.out, "now:")
	return printReport(std.out, after)
}

type storeEraseCommand struct {
	storeFolder
	Of string `arg:"" help:"The name that a client gave a transaction, or the key of its flow."`
}

// Run removes the explanations of a client's requests, and merges the files so that no removed record is left in them.
func (c *storeEraseCommand) Run(std streams) error {
	kept, _, err := store.Open(c.fs(), store.Options{Kinds: persistence.Kinds()})
	if err != nil {
		return err
	}
	table := &store.Table[explain.Explanation]{Store: kept, Kind: persistence.KindDecisions, Version: 1}
	var keys []string
	err = table.Each(false, func(key string, _ time.Time, a explain.Explanation) bool {
		if a.Matches(c.Of) {
			keys = append(keys, key)
		}
		return true
	})
	for _, key := range keys {
		err = errors.Join(err, table.Remove(context.Background(), key))
	}
	if err = errors.Join(err, kept.Compact(), kept.Close()); err != nil {
		return err
	}
	fmt.Fprintf(std.out, "%d accounts are erased; what was learnt holds no names of clients\n", len(keys))
	return nil
}
