package fake

import (
	"fmt"
	"time"
)

// messageForm is a message of a client: its number in the session, its time in
// microseconds since 1970, and the client's name of the request.
const messageForm = "N %d %d %s"

func newMessage(sequence int, name string) string {
	return fmt.Sprintf(messageForm, sequence, time.Now().UnixMicro(), name)
}

// readMessage returns how long a message took to arrive, and whether it is the one that
// is expected, unchanged.
func readMessage(text string, sequence int, name string) (took time.Duration, ok bool) {
	var gotSequence int
	var microseconds int64
	var gotName string
	if _, err := fmt.Sscanf(text, messageForm, &gotSequence, &microseconds, &gotName); err != nil {
		return 0, false
	}
	unchanged := text == fmt.Sprintf(messageForm, gotSequence, microseconds, gotName)
	return time.Since(time.UnixMicro(microseconds)), gotSequence == sequence && gotName == name && unchanged
}
