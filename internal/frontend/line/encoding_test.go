package line

import (
	"encoding/json"
	"syscall"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

// wholeParked is what goes over beside a connection's sockets, with every field set.
func wholeParked() parked {
	return parked{Mid: true, Up: part{Text: []byte("N 7 w"), Long: true}, Down: part{Text: []byte("M 1 2 wo"), Long: true}}
}

func TestConnectionStateKeepsItsEncoding(t *testing.T) {
	whole := wholeParked()
	testutil.Complete(t, whole)
	testutil.GoldenJSON(t, "testdata/connection.json", whole)
	testutil.GoldenJSON(t, "testdata/connection-zero.json", parked{})
}

func TestHeartbeatKeepsItsEncoding(t *testing.T) {
	whole := ReportTiming{LastAt: 1234567890, LastDelay: 12.5, OnTime: 7}
	testutil.Complete(t, whole)
	testutil.GoldenJSON(t, "testdata/heartbeat.json", whole)
	testutil.GoldenJSON(t, "testdata/heartbeat-zero.json", ReportTiming{})
}

// What a front hands over of a connection that is in the middle of a line on both sides is the golden file's, and a front
// that is given the file's bytes goes on in the middle of both lines.
func TestEstablishedConnectionIsHandedOverAsEncoded(t *testing.T) {
	s := newSite(t, 8)
	client := s.client()
	client.say("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page,t=cedar,g=5c0f6e1a2b3d4c59,h=7812.5,again=1,d=4000\r\n")
	server := s.peer(s.server.Accept())
	if _, err := server.r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	server.say("UP x\r\n")
	client.want("UP x\r\n")
	client.say("N 7 w")
	server.want("N 7 w")
	server.say("M 1 2 wo")
	client.want("M 1 2 wo")
	to, give := s.heir()
	encoded, golden := make(chan []byte, 1), make(chan []byte, 1)
	s.core.HandOffAll(func(what any, sockets ...syscall.Conn) error {
		text, err := json.Marshal(what)
		if err != nil {
			return err
		}
		encoded <- text
		return give(json.RawMessage(<-golden), sockets...)
	}, time.Millisecond)
	select {
	case text := <-encoded:
		golden <- testutil.Golden(t, "testdata/established.json", text)
	case <-time.After(5 * time.Second):
		t.Fatal("it is not handed over")
	}
	testutil.Until(t, "it is not taken up", func() bool { return to.core.Requests.CountByStage()[2] == 1 })
	client.say("ord\r\n")
	server.want("ord\r\n")
	server.say("rd\r\nhalf")
	client.want("rd\r\nhalf")
	to.core.MigrateAll(time.Millisecond)
	server.say(" a line\r\n")
	client.want(" a line\r\nMOVE\r\n")
	client.wantEnd(false)
}

func TestHandedOverFieldsAreTagged(t *testing.T) {
	testutil.Tagged(t, []string{"json"}, parked{})
	testutil.Tagged(t, []string{"json"}, ReportTiming{})
}
