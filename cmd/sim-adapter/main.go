// Command sim-adapter hosts many instances of the balancer on the simulator's
// wire: batches of events on standard input, replies on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"lockroad/balancer"
	"lockroad/internal/simprotocol"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "sim-adapter: %v\n", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(r io.Reader, w io.Writer) error {
	in := simprotocol.NewReader(bufio.NewReaderSize(r, 1<<16))
	instances := make(map[uint32]*balancer.Balancer)
	var reply simprotocol.Reply
	for {
		batch, err := in.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		reply.Reset()
		if err := answer(batch, instances, &reply); err != nil {
			return fmt.Errorf("batch at %v: %w", batch.Clock, err)
		}
		if _, err := reply.WriteTo(w); err != nil {
			return fmt.Errorf("writing: %w", err)
		}
	}
}

// answer hands the records of a batch to their instances.
func answer(batch *simprotocol.Batch, instances map[uint32]*balancer.Balancer, reply *simprotocol.Reply) error {
	for {
		rec, err := batch.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch body := rec.Body.(type) {
		case simprotocol.Attach:
			instances[rec.Instance] = balancer.New(body.Settings, body.Seed)
		case simprotocol.Retire:
			delete(instances, rec.Instance)
		case balancer.Event:
			b := instances[rec.Instance]
			if b == nil {
				return fmt.Errorf("instance %d is not attached", rec.Instance)
			}
			for _, action := range b.Handle(batch.Clock, body) {
				if err := reply.Add(rec.Instance, action); err != nil {
					return err
				}
			}
		}
	}
}
