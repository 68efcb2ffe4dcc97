package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

const settingsJSON = `{"Classes":[{"AimUs":500000,"DeadlineUs":2000000,"Semantics":"idempotent","Worth":1}],
"Discovery":"push","NInstances":2,"Zone":0,"QuantumUs":5000,
"Limits":{"ConnectTimeoutUs":250000,"TryLimit":3},
"Guarantees":{"AnswerSlackUs":20000,"ColdUs":23000000,"DrainGraceUs":1000000,"FallUs":1500000,
"StartCapacity":0.13,"TipMultiple":3.0}}`

// encode concatenates the encodings of values in the simulator's protocol. A string is preceded by its
// length.
func encode(values ...any) []byte {
	var out []byte
	for _, value := range values {
		switch value := value.(type) {
		case []byte:
			out = append(out, value...)
		case string:
			out = append(binary.LittleEndian.AppendUint32(out, uint32(len(value))), value...)
		default:
			out, _ = binary.Append(out, binary.LittleEndian, value)
		}
	}
	return out
}

func record(code uint8, fields ...any) []byte {
	body := encode(fields...)
	return encode(code, uint32(len(body)), body)
}

func batch(clock uint64, records ...[]byte) []byte {
	body := slices.Concat(records...)
	return encode(uint32(len(body)), uint32(len(records)), clock, body)
}

func attach(instance uint32) []byte { return record(1, instance, uint64(instance)+7, settingsJSON) }
func retire(instance uint32) []byte { return record(10, instance) }

func request(instance, id uint32, group uint64) []byte {
	return record(3, instance, id, uint8(0), uint16(0), uint64(0), uint32(2000000), uint32(0), group, uint16(0))
}

func catalog(size int) []byte {
	var entries []byte
	for id := range uint32(size) {
		entries = append(entries, encode(uint16(0), float32(1), uint16(0), uint64(0), id+1, uint8(1), uint16(0))...)
	}
	return record(11, uint16(0), uint32(size), entries)
}

func topology(instance uint32) []byte { return record(2, instance, uint8(3), uint64(1), uint16(0)) }

// actionsByInstance splits replies into records and groups them by instance.
func actionsByInstance(t *testing.T, out []byte) map[uint32][]string {
	t.Helper()
	records := make(map[uint32][]string)
	for len(out) > 0 {
		body := out[8 : 8+binary.LittleEndian.Uint32(out)]
		out = out[8+len(body):]
		for len(body) > 0 {
			size := 5 + binary.LittleEndian.Uint32(body[1:])
			instance := binary.LittleEndian.Uint32(body[5:])
			records[instance] = append(records[instance], string(body[:size]))
			body = body[size:]
		}
	}
	return records
}

func TestServeAnswersEachBatchUntilEOF(t *testing.T) {
	in := slices.Concat(batch(1), batch(2, attach(0), catalog(3), topology(0), request(0, 1, 5)), batch(3))
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(out.Bytes(), make([]byte, 8)) || !bytes.HasSuffix(out.Bytes(), make([]byte, 8)) {
		t.Error("the reply to an empty batch is not empty")
	}
	if got := actionsByInstance(t, out.Bytes())[0]; len(got) != 2 {
		t.Errorf("one request led to %d actions, want 2: a timer and an attempt", len(got))
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	actions := func(instances ...uint32) map[uint32][]string {
		in := batch(1000)
		first := [][]byte{catalog(7)}
		for _, instance := range instances {
			first = append(first, attach(instance), topology(instance))
		}
		in = append(in, batch(2000, first...)...)
		for id := range uint32(50) {
			var records [][]byte
			for _, instance := range instances {
				records = append(records, request(instance, id, uint64(id%5)))
			}
			in = append(in, batch(uint64(3000+id*1000), records...)...)
		}
		var out bytes.Buffer
		if err := serve(bytes.NewReader(in), &out); err != nil {
			t.Fatal(err)
		}
		return actionsByInstance(t, out.Bytes())
	}
	together := actions(0, 1, 2)
	for instance := range uint32(3) {
		if alone := actions(instance); len(alone[instance]) < 100 || !slices.Equal(alone[instance], together[instance]) {
			t.Errorf("instance %d has %d actions alone, want at least 100, and the same with other instances", instance, len(alone[instance]))
		}
	}
}

// Guards against state that survives when an instance is retired and attached again in one batch.
func TestRetiredInstanceKeepsNoState(t *testing.T) {
	in := slices.Concat(
		batch(1000, attach(0), catalog(3), topology(0), request(0, 1, 5)),
		batch(2000, retire(0), attach(0), topology(0), record(6, uint32(0), uint32(1)),
			record(7, uint32(0), uint32(1)), request(0, 2, 5)))
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := actionsByInstance(t, out.Bytes())[0]; len(got) != 4 || got[0] != strings.Replace(got[2], "\x02\x00\x00\x00", "\x01\x00\x00\x00", 1) {
		t.Errorf("the actions of the retired and of the new instance are %q, want the same 2 of each", got)
	}
}

func TestEventForUnknownInstanceIsAnError(t *testing.T) {
	var out bytes.Buffer
	err := serve(bytes.NewReader(batch(1, request(4, 1, 5))), &out)
	if err == nil || !strings.Contains(err.Error(), "instance 4 is not attached") {
		t.Errorf("error is %v, want one that names instance 4", err)
	}
}

type brokenPipe struct{}

func (brokenPipe) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func TestWriteErrorIsReturned(t *testing.T) {
	if err := serve(bytes.NewReader(batch(1)), brokenPipe{}); err == nil {
		t.Error("a failed write returned no error")
	}
}

// TestMain runs the command instead of the tests if SIM_ADAPTER_AS_COMMAND is set, for TestCommandExit.
func TestMain(m *testing.M) {
	if os.Getenv("SIM_ADAPTER_AS_COMMAND") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestCommandExit(t *testing.T) {
	for name, test := range map[string]struct {
		in   []byte
		want string // in the single line on standard error; "" means exit code 0 and no output
	}{
		"end of input":  {nil, ""},
		"empty batches": {slices.Concat(batch(1), batch(2)), ""},
		"truncated":     {batch(1, request(0, 1, 1))[:30], "ends after"},
		"unknown code":  {batch(1, record(99, uint32(0))), "unknown code"},
		"settings":      {batch(1, record(1, uint32(0), uint64(1), `{"Zone": 1}`)), "is missing"},
		"not JSON":      {batch(1, record(1, uint32(0), uint64(1), `{`)), "not a JSON object"},
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "SIM_ADAPTER_AS_COMMAND=1")
		cmd.Stdin = bytes.NewReader(test.in)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		if (err != nil) != (test.want != "") {
			t.Errorf("%s: command ended with %v, want an error: %t", name, err, test.want != "")
		}
		if got := stderr.String(); !strings.Contains(got, test.want) || test.want != "" && strings.Count(got, "\n") != 1 {
			t.Errorf("%s: standard error is %q, want one line with %q", name, got, test.want)
		}
	}
}
