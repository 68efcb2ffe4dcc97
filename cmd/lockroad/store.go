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

// storeCommand groups the commands that work on the directory of a relay's store.
type storeCommand struct {
	Check   storeCheckCommand   `cmd:"" help:"Read the whole store and report damage."`
	Stats   storeStatsCommand   `cmd:"" help:"Print the number and size of the records of each kind."`
	Dump    storeDumpCommand    `cmd:"" help:"Print the records as JSON, one object per line."`
	Compact storeCompactCommand `cmd:"" help:"Merge the files and drop removed and expired records."`
	Erase   storeEraseCommand   `cmd:"" help:"Erase the stored decisions about a client, by transaction name or flow key."`
	Repair  storeRepairCommand  `cmd:"" help:"Recover the readable records of a damaged store and discard the rest."`
}

// Help returns the examples and exit codes shown by --help.
func (*storeCommand) Help() string {
	return `These commands refuse a store that is in use: stop the relay first, or work on a copy.

Examples:
  lockroad store check /var/lib/lockroad
  cp -r /var/lib/lockroad copy && lockroad store dump copy --kind orders

Exit codes:
  0    the command succeeded and the store is intact
  1    the store is damaged, or the command failed
  2    the command line is malformed`
}

// storeDirectory is the directory argument of a store command.
type storeDirectory struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of the store: dir in the [store] section of the operator file."`
}

func (d storeDirectory) fs() store.FS { return store.Dir(d.Dir) }

// printReport prints a report on a store. It returns exitFailed as an error if the store is damaged.
func printReport(w io.Writer, report store.Report) error {
	fmt.Fprintf(w, "%d records of %d commits in %d files; %d bytes, about %d of them live; read in %v\n", report.Records, report.Commits, report.Files, report.Bytes, report.LiveBytes, report.Duration.Round(time.Microsecond))
	if t := report.TornTail; t != nil {
		fmt.Fprintf(w, "%s has a torn tail of %d bytes at offset %d, left by a crash: no synced commit is lost\n", t.File, t.Bytes, t.Offset)
	}
	for _, name := range report.Replaced {
		fmt.Fprintf(w, "%s is left over from a merge and is removed at the next start\n", name)
	}
	for _, d := range report.Damaged {
		fmt.Fprintln(w, d)
	}
	if len(report.Damaged) > 0 {
		return exitError(exitFailed)
	}
	return nil
}

type storeCheckCommand struct{ storeDirectory }

// Run reads the whole store and prints a report with all damage.
func (c *storeCheckCommand) Run(std streams) error {
	report, err := store.Check(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	return printReport(std.out, report)
}

type storeStatsCommand struct{ storeDirectory }

// Run prints the number, the size and the oldest record of each kind.
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
	storeDirectory
	Kind string `placeholder:"KIND" help:"Print the records of one kind only: orders, learnt or decisions."`
}

// Run prints the records as JSON.
func (c *storeDumpCommand) Run(std streams) error {
	return store.Dump(c.fs(), persistence.Kinds(), c.Kind, std.out)
}

type storeCompactCommand struct{ storeDirectory }

// Run merges the store's files and prints their size before and after.
func (c *storeCompactCommand) Run(std streams) error {
	before, after, err := store.Compact(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	fmt.Fprintf(std.out, "%d bytes before, %d bytes after\n", before.Bytes, after.Bytes)
	return printReport(std.out, after)
}

type storeRepairCommand struct{ storeDirectory }

// Run recovers the readable records and prints a report on the store before and after the repair.
func (c *storeRepairCommand) Run(std streams) error {
	before, after, err := store.Repair(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	fmt.Fprintln(std.out, "before:")
	_ = printReport(std.out, before) // the exit code depends on the repaired store only
	fmt.Fprintln(std.out, "after:")
	return printReport(std.out, after)
}

type storeEraseCommand struct {
	storeDirectory
	Of string `arg:"" help:"The client's name of a transaction, or the key of its flow."`
}

// Run removes the explanations of a client's requests, then merges the files so that no removed record remains on disk.
func (c *storeEraseCommand) Run(std streams) error {
	opened, _, err := store.Open(c.fs(), store.Options{Kinds: persistence.Kinds()})
	if err != nil {
		return err
	}
	table := &store.Table[explain.Explanation]{Store: opened, Kind: persistence.KindDecisions, Version: 1}
	var keys []string
	err = table.Each(false, func(key string, _ time.Time, explanation explain.Explanation) bool {
		if explanation.Matches(c.Of) {
			keys = append(keys, key)
		}
		return true
	})
	for _, key := range keys {
		err = errors.Join(err, table.Remove(context.Background(), key))
	}
	if err = errors.Join(err, opened.Compact(), opened.Close()); err != nil {
		return err
	}
	fmt.Fprintf(std.out, "erased %d stored decisions; records of the kind learnt contain no client names\n", len(keys))
	return nil
}
