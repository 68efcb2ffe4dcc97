package line

import (
	"encoding/json"
	"syscall"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

// completeState returns a connectionState with all fields set.
func completeState() connectionState {
	return connectionState{MidLine: true, ToEndpoint: partialLine{Text: []byte("N 7 w"), TooLong: true}, ToClient: partialLine{Text: []byte("M 1 2 wo"), TooLong: true}}
}

func TestConnectionStateKeepsItsEncoding(t *testing.T) {
	complete := completeState()
	testutil.RequireComplete(t, complete)
	testutil.GoldenJSON(t, "testdata/connection.json", complete)
	testutil.GoldenJSON(t, "testdata/connection-zero.json", connectionState{})
}

func TestReportTimingKeepsItsEncoding(t *testing.T) {
	complete := ReportTiming{LastAt: 1234567890, LastDelay: 12.5, OnTimeCount: 7}
	testutil.RequireComplete(t, complete)
	testutil.GoldenJSON(t, "testdata/heartbeat.json", complete)
	testutil.GoldenJSON(t, "testdata/heartbeat-zero.json", ReportTiming{})
}

// The message for a request with an incomplete line in both directions must match the golden file,
// and a process that receives the file's bytes must continue in the middle of both lines.
func TestHandoffUsesGoldenEncoding(t *testing.T) {
	env := newEnvironment(t, 8)
	client := env.client()
	client.send("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page,t=cedar,g=5c0f6e1a2b3d4c59,h=7812.5,again=1,d=4000\r\n")
	endpoint := env.peer(env.endpoint.Accept())
	if _, err := endpoint.reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	endpoint.send("UP x\r\n")
	client.expect("UP x\r\n")
	client.send("N 7 w")
	endpoint.expect("N 7 w")
	endpoint.send("M 1 2 wo")
	client.expect("M 1 2 wo")
	next, handOff := env.successor()
	encoded, golden := make(chan []byte, 1), make(chan []byte, 1)
	env.proxy.HandOffAll(func(state any, sockets ...syscall.Conn) error {
		text, err := json.Marshal(state)
		if err != nil {
			return err
		}
		encoded <- text
		return handOff(json.RawMessage(<-golden), sockets...)
	}, time.Millisecond)
	select {
	case text := <-encoded:
		golden <- testutil.Golden(t, "testdata/established.json", text)
	case <-time.After(5 * time.Second):
		t.Fatal("the request is not handed off")
	}
	testutil.Until(t, "the request is not adopted", func() bool { return next.proxy.Requests.CountByStage()[2] == 1 })
	client.send("ord\r\n")
	endpoint.expect("ord\r\n")
	endpoint.send("rd\r\nhalf")
	client.expect("rd\r\nhalf")
	next.proxy.MigrateAll(time.Millisecond)
	endpoint.send(" a line\r\n")
	client.expect(" a line\r\nMOVE\r\n")
	client.expectEnd(false)
}

func TestHandoffFieldsAreTagged(t *testing.T) {
	testutil.RequireTags(t, []string{"json"}, connectionState{})
	testutil.RequireTags(t, []string{"json"}, ReportTiming{})
}
