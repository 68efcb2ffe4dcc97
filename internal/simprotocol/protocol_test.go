package simprotocol

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"lockroad/balancer"
)

// Batches, replies and records of the simulator's protocol, with spaces between fields.
const (
	emptyBatch = "00000000 00000000 5a5c800000000000"
	emptyReply = "00000000 00000000"

	requestRecord  = "03 25000000 03000000 c4913a5d 00 0000 640ad2557c3bf091 80a90300 e02e0000 107cf3d901648e2b 0100"
	wakeRecord     = "07 08000000 03000000 4d000000"
	leftRecord     = "06 08000000 03000000 192b6f0e"
	begunRecord    = "04 12000000 03000000 c4913a5d 22240000 0000 074a1203"
	outcomeRecord  = "05 16000000 03000000 c4913a5d 01 44480000 0000 6400 074a1203 00"
	resumedRecord  = "0c 29000000 03000000 192b6f0e 80a90300 f211902c 107cf3d901648e2b 00 e02e0000 0000 640ad2557c3bf091 0100"
	datagramRecord = "09 0e000000 03000000 02000000 0400 68692037"
	probeRecord    = "08 0f000000 03000000 78050000 6400 f211902c 00"
	loadRecord     = "0d 13000000 03000000 c4913a5d 0000 074a1203 01 0000003f"
	delayRecord    = "0d 13000000 03000000 c4913a5d 0000 074a1203 02 0000003f"
	retireRecord   = "0a 04000000 03000000"
	topologyRecord = "02 0f000000 03000000 03 2900000000000000 0000"
	failedRecord   = "02 0f000000 03000000 00 2900000000000000 0000"
	catalogRecord  = "0b 34000000 0000 02000000" +
		"0000 0000803f 0000 0000000000000000 074a1203 01 0000" +
		"0100 0000c03f 0000 20145d0000000000 f211902c 01 0000"
)

func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// batch returns the encoding of a batch of records, each given in hexadecimal.
func batch(t testing.TB, records ...string) []byte {
	t.Helper()
	body := decodeHex(t, strings.Join(records, ""))
	head := decodeHex(t, emptyBatch)
	head[0], head[1], head[2] = byte(len(body)), byte(len(body)>>8), byte(len(body)>>16)
	head[4] = byte(len(records))
	return append(head, body...)
}

// readAll reads the records of all batches.
func readAll(source io.Reader) (records []Record, err error) {
	reader := NewReader(source)
	for {
		b, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return records, nil
		} else if err != nil {
			return nil, err
		}
		for {
			record, err := b.Next()
			if errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				return nil, err
			}
			records = append(records, record)
		}
	}
}

func TestEventsAreDecoded(t *testing.T) {
	request := balancer.Request{ID: 0x5d3a91c4, Item: 0x91f03b7c55d20a64, Group: 0x2b8e6401d9f37c10,
		TimeLeft: 240 * time.Millisecond, ExpectedLoad: 0.012}
	resumed := request
	resumed.ID = 0x0e6f2b19
	servers := []balancer.Endpoint{
		{ID: 0x03124a07, State: balancer.StateReady, Size: 1},
		{ID: 0x2c9011f2, State: balancer.StateReady, Size: 1.5, Zone: 1, StartedAt: 0x5d1420 * time.Microsecond},
	}
	for name, test := range map[string]struct {
		records []string
		want    any
	}{
		"request":     {[]string{requestRecord}, request},
		"wake":        {[]string{wakeRecord}, balancer.Timer{Token: 77}},
		"client_left": {[]string{leftRecord}, balancer.ClientLeft{Request: 0x0e6f2b19}},
		"begun": {[]string{begunRecord}, balancer.Established{Request: 0x5d3a91c4, Endpoint: 0x03124a07,
			SetupTime: 0x2422 * time.Microsecond}},
		"outcome": {[]string{outcomeRecord}, balancer.Outcome{Request: 0x5d3a91c4, Endpoint: 0x03124a07,
			Final: true}},
		"resumed":  {[]string{resumedRecord}, balancer.Resumed{Request: resumed, Endpoint: 0x2c9011f2}},
		"datagram": {[]string{datagramRecord}, nil},
		"probe":    {[]string{probeRecord}, nil},
		"load":     {[]string{loadRecord}, balancer.ConnectionLoad{Request: 0x5d3a91c4, Endpoint: 0x03124a07, Load: 0.5e-6}},
		"delay": {[]string{delayRecord}, balancer.EndpointDelay{Request: 0x5d3a91c4, Endpoint: 0x03124a07,
			Delay: 500 * time.Microsecond}},
		"retire":  {[]string{retireRecord}, Retire{}},
		"catalog": {[]string{catalogRecord}, nil},
		"list":    {[]string{catalogRecord, topologyRecord}, balancer.EndpointList{Kind: balancer.ListCached, Endpoints: servers}},
		"failed":  {[]string{failedRecord}, balancer.EndpointList{Kind: balancer.ListFailed}},
	} {
		records, err := readAll(bytes.NewReader(batch(t, test.records...)))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if got := records[len(records)-1].Body; !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: got %#v, want %#v", name, got, test.want)
		}
	}
}

func TestBatchIsDecodedInOrder(t *testing.T) {
	in := decodeHex(t, "44000000 03000000 5a5c800000000000"+requestRecord+wakeRecord+
		"06 08000000 05000000 192b6f0e")
	reader := NewReader(bytes.NewReader(in))
	b, err := reader.Next()
	if err != nil || b.Clock != 0x805c5a*time.Microsecond {
		t.Fatalf("batch has clock %v, error %v", b.Clock, err)
	}
	var instances []uint32
	for {
		record, err := b.Next()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		instances = append(instances, record.Instance)
	}
	if !reflect.DeepEqual(instances, []uint32{3, 3, 5}) {
		t.Errorf("records are for the instances %v, want 3, 3 and 5", instances)
	}
}

func TestActionsAreEncoded(t *testing.T) {
	for name, test := range map[string]struct {
		action balancer.Action
		want   string
	}{
		"relay": {balancer.SendAttempt{Request: 0x5d3a91c4, Endpoint: 0x03124a07, Timeout: 80 * time.Millisecond},
			"01 10000000 03000000 c4913a5d 80380100 074a1203"},
		"observe": {balancer.WatchEndpoints{}, "0b 05000000 03000000 01"},
		"say_no": {balancer.Reject{Request: 0x0e6f2b19, RetryAfter: 250 * time.Millisecond},
			"02 0c000000 03000000 192b6f0e 90d00300"},
		"wake_at": {balancer.SetTimer{Token: 77, After: 500 * time.Millisecond},
			"05 0c000000 03000000 20a10700 4d000000"},
		"respond_error": {balancer.Fail{Request: 0x0e6f2b19}, "03 08000000 03000000 192b6f0e"},
		"go_away":       {balancer.Migrate{Request: 0x0e6f2b19}, "0d 08000000 03000000 192b6f0e"},
	} {
		var reply Reply
		reply.Reset()
		if err := reply.Add(3, test.action); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if _, err := reply.WriteTo(&out); err != nil {
			t.Fatal(err)
		}
		record := decodeHex(t, test.want)
		want := append([]byte{byte(len(record)), 0, 0, 0, 1, 0, 0, 0}, record...)
		if !bytes.Equal(out.Bytes(), want) {
			t.Errorf("%s: got %x, want %x", name, out.Bytes(), want)
		}
	}
	var reply Reply
	reply.Reset()
	var out bytes.Buffer
	_, _ = reply.WriteTo(&out)
	if !bytes.Equal(out.Bytes(), decodeHex(t, emptyReply)) {
		t.Errorf("the empty reply is %x, want %s", out.Bytes(), emptyReply)
	}
	if err := reply.Add(3, nil); err == nil {
		t.Error("adding an action without a record returned no error")
	}
}

// Guards against a catalog that overwrites an earlier one of the same number, which events still hold.
func TestCatalogNumbersCanBeReused(t *testing.T) {
	other := strings.Replace(catalogRecord, "074a1203", "99999999", 1)
	records, err := readAll(bytes.NewReader(batch(t, catalogRecord, topologyRecord, other, topologyRecord)))
	if err != nil {
		t.Fatal(err)
	}
	first := records[1].Body.(balancer.EndpointList).Endpoints[0].ID
	second := records[3].Body.(balancer.EndpointList).Endpoints[0].ID
	if first != 0x03124a07 || second != 0x99999999 {
		t.Errorf("the lists begin with endpoints %x and %x, want 3124a07 and 99999999", first, second)
	}
}

func TestMalformedInputIsAnError(t *testing.T) {
	edit := func(record, old, wanted string) string { return strings.Replace(record, old, wanted, 1) }
	for name, test := range map[string]struct {
		in   []byte
		want string
	}{
		"half a header":      {decodeHex(t, emptyBatch)[:9], "header"},
		"truncated batch":    {batch(t, requestRecord)[:30], "ends after"},
		"oversized batch":    {decodeHex(t, "ffffffff 01000000 5a5c800000000000"), "larger than"},
		"size beyond input":  {decodeHex(t, "ffffff3f 01000000 5a5c800000000000 00"), "ends after"},
		"clock out of range": {decodeHex(t, "00000000 00000000 ffffffffffffffff"), "clock"},
		"missing record":     {decodeHex(t, "00000000 01000000 5a5c800000000000"), "records missing"},
		"bytes left over":    {decodeHex(t, "01000000 00000000 5a5c800000000000 00"), "follow the last record"},
		"record too long":    {batch(t, edit(wakeRecord, "07 08", "07 09")), "its size is 9 bytes, but"},
		"unknown code":       {batch(t, edit(wakeRecord, "07", "63")), "unknown code"},
		"code zero":          {batch(t, edit(wakeRecord, "07", "00")), "unknown code"},
		"fields too short":   {batch(t, "07 04000000 03000000"), "too short for its fields"},
		"fields too long":    {batch(t, "0a 05000000 03000000 00"), "follow its last field"},
		"unknown outcome":    {batch(t, edit(outcomeRecord, "6400", "6500")), "unknown outcome code"},
		"unknown list mode":  {batch(t, catalogRecord, edit(topologyRecord, " 03 29", " 09 29")), "unknown mode"},
		"unknown catalog":    {batch(t, topologyRecord), "no catalog"},
		"catalog number":     {batch(t, edit(catalogRecord, "34000000 0000", "34000000 1000")), "not below"},
		"catalog too short":  {batch(t, "0b 06000000 0000 ffffffff"), "too short for its fields"},
		"endpoint state":     {batch(t, edit(catalogRecord, "074a1203 01", "074a1203 07")), "unknown state"},
		"endpoint size":      {batch(t, edit(catalogRecord, "0000803f", "0000c07f")), "size NaN is out of range"},
		"endpoint start":     {batch(t, edit(catalogRecord, "20145d0000000000", "ffffffffffffffff")), "out of range"},
		"heartbeat kind":     {batch(t, edit(loadRecord, " 01 0000003f", " 07 0000003f")), "unknown heartbeat kind"},
		"heartbeat level":    {batch(t, edit(loadRecord, "0000003f", "0000c07f")), "out of range"},
		"settings no JSON":   {batch(t, "01 12000000 03000000 0000000000000000 02000000 7b7b"), "not a JSON object"},
		"settings too short": {batch(t, "01 10000000 03000000 0000000000000000 ffffffff"), "too short for its fields"},
		"report too short":   {batch(t, edit(outcomeRecord, "074a1203 00", "074a1203 04")), "too short for its fields"},
	} {
		_, err := readAll(bytes.NewReader(test.in))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error is %v, want one with %q", name, err, test.want)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error has several lines: %v", name, err)
		}
	}
}

func TestTruncatedBatchIsUnexpectedEOF(t *testing.T) {
	_, err := readAll(bytes.NewReader(batch(t, requestRecord)[:20]))
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error is %v, want %v", err, io.ErrUnexpectedEOF)
	}
}

// FuzzReader looks for input that makes the reader panic or return more records than fit the input.
func FuzzReader(f *testing.F) {
	f.Add(batch(f, catalogRecord, topologyRecord, requestRecord, begunRecord, outcomeRecord))
	f.Add(batch(f, resumedRecord, loadRecord, delayRecord, retireRecord, datagramRecord, probeRecord))
	f.Add(decodeHex(f, emptyBatch))
	f.Fuzz(func(t *testing.T, in []byte) {
		records, err := readAll(bytes.NewReader(in))
		if err == nil && len(in) > 0 && len(in) < batchHeader {
			t.Errorf("an input of %d bytes, shorter than a header, returned no error", len(in))
		}
		if len(records) > len(in) {
			t.Errorf("an input of %d bytes was decoded to %d records", len(in), len(records))
		}
	})
}

// FuzzSettings looks for invalid settings that are accepted.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(sampleSettings))
	f.Fuzz(func(t *testing.T, in []byte) {
		if settings, err := ParseSettings(in); err == nil && settings.Validate() != nil {
			t.Errorf("ParseSettings accepted invalid settings: %v", settings.Validate())
		}
	})
}
