// One bad client of the AMQP front takes the relay over its memory limit, at which the platform kills it. No case.
package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/testdata/harness"
)

const (
	memoryMB = 192 // the most that DEPLOY-lockroad.md has on scored days
	attaches = 30
	interval = 100 * time.Millisecond
)

func main() {
	c := harness.NewCase(os.Args[1], os.Args[2])
	lineEngraver := c.StartEngraver("s-00000001")
	amqpEngraver := c.StartAMQPEngraver("s-00000002")
	agent := c.StartAgent(lineEngraver.Member("ready"))
	listen, amqpListen := harness.FreeAddress(), harness.FreeAddress()
	relay := c.StartRelay(harness.RelayOptions{
		Name: "n1", Listen: listen, Discovery: agent.Address, Known: agent.Known(), MemoryMB: memoryMB,
		Settings: harness.Settings(1, harness.Class("page-render", "idempotent", "all", 4800*time.Millisecond)),
		Operator: fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = %s\n", amqpListen, harness.Port(amqpEngraver.Address)),
	})
	c.AwaitPong(listen)
	c.Logf("platform", "the relay holds %d MB of memory, its limit is %d MB", residentMB(relay.Pid()), memoryMB)
	var clients []*harness.Client
	for i := range 3 {
		client := c.Open(listen, fmt.Sprintf("00000000000000a%d", i), "page-render", 4800*time.Millisecond, "")
		if !client.Up {
			c.Must("place the usual clients", fmt.Errorf("client %s is answered %q", client.ID, client.Answer))
		}
		clients = append(clients, client)
	}

	bad, err := harness.DialAMQP(amqpListen, "other", 8192, 2048)
	c.Must("connect the other client", err)
	go func() { // it reads what it is sent
		for {
			if _, err := bad.Receive(); err != nil {
				c.Logf("other", "reads no more: %v", err)
				return
			}
		}
	}()
	sent := 0
	for i := range attaches {
		frame := attach(uint32(i), c.Trouble)
		if _, err := bad.Conn.Write(frame); err != nil {
			c.Logf("other", "writes no more: %v", err)
			break
		}
		sent += len(frame)
		time.Sleep(interval)
		resident := residentMB(relay.Pid())
		c.Logf("platform", "after %d attaches of together %d bytes the relay holds %d MB", i+1, sent, resident)
		if resident > memoryMB {
			c.Break("the relay holds %d MB, over its limit of %d MB, after %d frames of together %d bytes from one client", resident, memoryMB, i+1, sent)
			break
		}
	}
	time.Sleep(2 * time.Second)
	if resident := residentMB(relay.Pid()); resident > memoryMB {
		c.Logf("platform", "2 s later it holds %d MB, and is killed", resident)
		relay.Signal(syscall.SIGKILL)
		<-relay.Exited
		time.Sleep(300 * time.Millisecond)
		for _, client := range clients {
			if ended, moved := client.Ended(); ended && !moved {
				c.Break("client %s was cut off without MOVE while its engraver still answers", client.ID)
			}
		}
	} else {
		c.Logf("platform", "2 s later it holds %d MB", resident)
	}
	c.Finish()
}

// residentMB returns the memory that a process holds, without what lies in files.
func residentMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

const marker = "MARKER"

// attach returns the frame of an attach with a property that the relay doesn't know. If spoilt, its value is an array of
// 850 arrays with 4,096 nulls each, which takes some 7,700 bytes, as the elements take none.
func attach(handle uint32, spoilt bool) []byte {
	properties := codec.Map{codec.Symbol("class"), "page-render", codec.Symbol("give-up-ms"), uint32(4800), codec.Symbol("note"), marker}
	terminus := func(code uint64) any { return codec.Described{Descriptor: code, Value: codec.List{"score"}} }
	frame := framing.AppendFrame(nil, framing.TypeAMQP, 0, framing.Performative{Code: framing.CodeAttach, Fields: codec.List{
		fmt.Sprint("link-", handle), handle, false, uint8(0), uint8(0), terminus(framing.CodeSource), terminus(framing.CodeTarget),
		nil, nil, uint32(0), nil, nil, nil, properties,
	}}, nil)
	if !spoilt {
		return frame
	}
	inner := binary.BigEndian.AppendUint32(nil, 5) // bytes that follow: the count and the constructor
	inner = binary.BigEndian.AppendUint32(inner, 4096)
	inner = append(inner, 0x40)
	elements := bytes.Repeat(inner, 850)
	array := binary.BigEndian.AppendUint32([]byte{0xf0}, uint32(4+1+len(elements)))
	array = binary.BigEndian.AppendUint32(array, 850)
	array = append(append(array, 0xf0), elements...)

	const markerSize = 2 + len(marker) // constructor, size and text
	at := bytes.Index(frame, []byte(marker)) - 2
	spliced := append(append(append([]byte{}, frame[:at]...), array...), frame[at+markerSize:]...)
	growth := uint32(len(array) - markerSize)
	listSize := framing.HeaderSize + 3 + 1                 // after the descriptor and the constructor of the list
	mapSize := bytes.LastIndexByte(frame[:at-2], 0xd1) + 1 // after the constructor of the map
	for _, offset := range []int{0, listSize, mapSize} {
		binary.BigEndian.PutUint32(spliced[offset:], binary.BigEndian.Uint32(spliced[offset:])+growth)
	}
	if _, err := framing.ParseFrame(spliced[4:]); err != nil {
		panic(err)
	}
	return spliced
}
