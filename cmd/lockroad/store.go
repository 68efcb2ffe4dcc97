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

// storeCommand looks after the folder that a relay keeps things in.
type storeCommand struct {
	Check   storeCheck   `cmd:"" help:"Read all of it and tell what is wrong."`
	Stats   storeStats   `cmd:"" help:"Tell what it holds."`
	Dump    storeDump    `cmd:"" help:"Write its records, a line of JSON each."`
	Compact storeCompact `cmd:"" help:"Leave nothing in its files that was removed or let go."`
	Erase   storeErase   `cmd:"" help:"Erase what is kept of a client, by its name or its flow's key."`
	Repair  storeRepair  `cmd:"" help:"Keep what can be read of one that is damaged, and lose the rest."`
}

// Help has examples.
func (*storeCommand) Help() string {
	return `The relay must not run, or DIR be a copy: a store that is open is refused.

Examples:
  lockroad store check /var/lib/lockroad
  cp -r /var/lib/lockroad copy && lockroad store dump copy --kind orders

They end with 0 if all is well, and with 1 if something is damaged or can't be done.`
}

// folder is a store's.
type folder struct {
	Dir string `arg:"" type:"existingdir" help:"The store's folder, [store] dir in the operator's file."`
}

func (f folder) fs() store.FS { return store.Dir(f.Dir) }

// tell writes what was found, and returns the exit code's error.
func tell(w io.Writer, r store.Report) error {
	fmt.Fprintf(w, "%d records of %d commits in %d files; %d bytes, about %d of them wanted; read in %v\n", r.Records, r.Commits, r.Files, r.Bytes, r.LiveBytes, r.Duration.Round(time.Microsecond))
	if t := r.TornTail; t != nil {
		fmt.Fprintf(w, "%s ends in %d bytes from byte %d on that a crash tore: nothing in them was committed to last\n", t.File, t.Bytes, t.Offset)
	}
	for _, name := range r.Replaced {
		fmt.Fprintf(w, "%s is left over from a merge, and goes at the next start\n", name)
	}
	for _, d := range r.Damaged {
		fmt.Fprintln(w, d)
	}
	if len(r.Damaged) > 0 {
		return exit(exitFailed)
	}
	return nil
}

type storeCheck struct{ folder }

// Run checks.
func (c *storeCheck) Run(s streams) error {
	r, err := store.Check(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	return tell(s.out, r)
}

type storeStats struct{ folder }

// Run tells how many records there are of each kind.
func (c *storeStats) Run(s streams) error {
	r, kinds, err := store.Count(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	for _, k := range kinds {
		fmt.Fprintf(s.out, "%-10s %6d records, %8d bytes, since %s\n", k.Name, k.Records, k.Bytes, k.Oldest.Local().Format("2006-01-02 15:04:05"))
	}
	return tell(s.out, r)
}

type storeDump struct {
	folder
	Kind string `placeholder:"KIND" help:"Only those of one kind: orders, learnt or decisions."`
}

// Run writes records.
func (c *storeDump) Run(s streams) error {
	return store.Dump(c.fs(), persistence.Kinds(), c.Kind, s.out)
}

type storeCompact struct{ folder }

// Run merges.
func (c *storeCompact) Run(s streams) error {
	before, after, err := store.Compact(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%d bytes before, %d after\n", before.Bytes, after.Bytes)
	return tell(s.out, after)
}

type storeRepair struct{ folder }

// Run repairs.
func (c *storeRepair) Run(s streams) error {
	before, after, err := store.Repair(c.fs(), persistence.Kinds())
	if err != nil {
		return err
	}
	fmt.Fprintln(s.out, "before:")
	_ = tell(s.out, before) // the verdict is that of what is there now
	fmt.Fprintln(s.out, "now:")
	return tell(s.out, after)
}

type storeErase struct {
	folder
	Of string `arg:"" help:"The name that a client gave a transaction, or the key of its flow."`
}

// Run removes a client's decisions, also from what the files hold and no longer want.
func (c *storeErase) Run(s streams) error {
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
	fmt.Fprintf(s.out, "%d accounts are erased; what was learnt holds no names of clients\n", len(keys))
	return nil
}
