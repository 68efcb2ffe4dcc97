// Command sim-adapter connects many instances of the balancer to the simulator: it reads
// batches of events from standard input and writes replies to standard output.
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

const inputBuffer = 64 << 10 // bytes

// serve answers batches until the input ends.
func serve(r io.Reader, w io.Writer) error {
	reader := simprotocol.NewReader(bufio.NewReaderSize(r, inputBuffer))
	instances := make(map[uint32]*balancer.Balancer)
	var reply simprotocol.Reply
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		reply.Reset()
		if err := handleBatch(batch, instances, &reply); err != nil {
			return fmt.Errorf("batch at %v: %w", batch.Clock, err)
		}
		if _, err := reply.WriteTo(w); err != nil {
			return fmt.Errorf("writing: %w", err)
		}
	}
}

// handleBatch passes the records of a batch to their instances, in order, and adds the
// actions to the reply.
func handleBatch(batch *simprotocol.Batch, instances map[uint32]*balancer.Balancer, reply *simprotocol.Reply) error {
	for {
		record, err := batch.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch body := record.Body.(type) {
		case simprotocol.Attach:
			instances[record.Instance] = balancer.New(body.Settings, body.Seed)
		case simprotocol.Retire:
			delete(instances, record.Instance)
		case balancer.Event:
			instance := instances[record.Instance]
			if instance == nil {
				return fmt.Errorf("instance %d is not attached", record.Instance)
			}
			for _, action := range instance.Handle(batch.Clock, body) {
				if err := reply.Add(record.Instance, action); err != nil {
					return err
				}
			}
		}
	}
}
