package faultproxy

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lockroad/internal/golden"
)

// Guards the JSON encoding of Message, which other programs read, with every field set and with none.
func TestMessageJSONIsStable(t *testing.T) {
	full := Message{At: 1, Fault: Cut, Rule: "r", Route: "a", Conn: 2, Direction: "up", Offset: 3, Listen: "l", Target: "t", Conns: 4, Open: 5,
		Up: 6, Down: 7, Rules: []string{"r"}, Done: "(status)", Error: "e"}
	for fields, i := reflect.ValueOf(full), 0; i < fields.NumField(); i++ {
		if fields.Field(i).IsZero() {
			t.Errorf("field %s is not set, so its encoding is not compared", fields.Type().Field(i).Tag.Get("json"))
		}
	}
	injection := Injection{Location: Location{Route: "a", Conn: 2, Direction: Down}, At: 1500 * time.Microsecond, Kind: Garble, Rule: "r", Offset: 3}
	var b strings.Builder
	for _, message := range []Message{full, {}, injection.Message()} {
		text, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s\n", text)
	}
	golden.Compare(t, "line.jsonl", b.String())
}

// Guards the answers to the commands of the control socket, which other programs read.
func TestCommandAnswersAreStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		proxy := NewProxy(mustParse(t, "(rule a (on-command) (stall)) (rule b (cut rst))"), 1)
		defer proxy.Close()
		var b strings.Builder
		err := proxy.ServeCommands(strings.NewReader(strings.Join([]string{
			"; a comment", "(status)", "(trigger a)", "(trigger nobody)", "(add (rule c (at 2s) (for 1s) (latency 5ms 2ms normal)))", "(status)",
			"(clear c)", "(clear)", "(cut r)", "(status)", "(explode)", "(add (rule d))", "nonsense",
		}, "\n")), &b)
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "answers.jsonl", b.String())
	})
}

// Guards the words and syntax of scripts, the help text and the syntax errors.
func TestScriptVocabularyIsStable(t *testing.T) {
	var b strings.Builder
	b.WriteString(RulesHelp() + CommandsHelp)
	for _, kind := range []FaultKind{Swallow, Garble, Stall, Pause, Merge, Split, Latency, Bandwidth, Drip, HalfClose, Cut, Refuse, Mute, QueueFull, Vanish} {
		fmt.Fprintf(&b, "fault %s, listener: %v\n", kind, kind.ofListener())
	}
	for _, kind := range []TriggerKind{FromStart, AtTime, AfterBytes, AtLine, AtFrame, AtPerformative, OnCommand, Chance} {
		fmt.Fprintf(&b, "trigger %s\n", kind)
	}
	for _, direction := range []Direction{Up, Down, Both} {
		fmt.Fprintf(&b, "direction %s\n", direction)
	}
	for _, name := range slices.Sorted(maps.Keys(performatives)) {
		fmt.Fprintf(&b, "performative %s %#x\n", name, performatives[name])
	}
	for _, script := range []string{
		`(rule a (route x y) (direction down) (conn 1 3) (every 2) (first "OPEN \"x\"") (fraction 12.5) (at 2s) (for 1m0s) (latency 5ms 2ms normal) (cut rst))`,
		`(rule a (after-bytes 5) (garble flip 1))`, `(rule a (at-line 2) (garble insert 1))`, `(rule a (at-frame 3) (garble drop 1))`,
		`(rule a (at-performative attach 2) (garble duplicate 9) (drip 3 10ms))`, `(rule a (on-command) (stall) (pause) (merge) (split 4))`,
		`(rule a (chance 5) (bandwidth 900) (swallow))`, `(rule a (latency 1ms))`, `(rule a (latency 1ms 1ms uniform))`, `(rule a (latency 1ms 1ms exponential))`,
		`(rule a (half-close))`, `(rule a (cut fin))`, `(rule a (refuse))`, `(rule a (mute))`, `(rule a (queue-full))`, `(rule a (for 1s) (vanish))`,
		`(rule a (explode))`, `(rule a (at-performative hello) (stall))`, `(rule a (direction left) (stall))`,
	} {
		rules, err := ParseRules(script)
		if err != nil {
			fmt.Fprintf(&b, "%s: %v\n", script, err)
			continue
		}
		fmt.Fprintf(&b, "%s\n", rules[0])
	}
	golden.Compare(t, "vocabulary.txt", b.String())
}
