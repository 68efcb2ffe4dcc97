// Command sim-adapter connects instances of the balancer to the platform's simulator: it reads
// batches of events from standard input and writes replies with actions to standard output.
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

const inputBufferSize = 64 << 10 // in bytes

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	reader := simprotocol.NewReader(bufio.NewReaderSize(in, inputBufferSize))
	instances := make(map[uint32]*balancer.Balancer)
	var reply simprotocol.Reply
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
		reply.Reset()
		if err := handleBatch(batch, instances, &reply); err != nil {
			return fmt.Errorf("batch at %v: %w", batch.Clock, err)
		}
		if _, err := reply.WriteTo(out); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// handleBatch passes the records of a batch to their instances in order, and adds the actions to the reply.
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
