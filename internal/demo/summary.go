package demo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// writeSummary writes a table of results by class, counts of attempts, and example explanations.
func (d *demonstration) writeSummary() error {
	table := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nCLASS\tSESSIONS\tUP\tUNAVAILABLE\tFAILED\tNO ANSWER\tMIGRATED\tSETUP p50\tp99")
	d.result.ByAnswer = make(map[string]int)
	for _, class := range Classes {
		d.writeClass(table, class.Name)
	}
	table.Flush()
	text, err := d.command("why --by server,reason,outcome (verdict sent)")
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "\nattempts by server, reason and outcome\n%s", text)
	for _, example := range []struct{ title, query string }{
		{"an unavailable transaction, or one with more than two attempts", "(or (answer unavailable) (passes > 2))"},
		{"a transaction not sent to the server of its group", "(reason route-slow route-gone route-eased)"},
		{"a migrated transaction", "(and (answer moved) (verdict moved))"},
	} {
		text, err := d.command("why --most 1 " + example.query)
		if err != nil {
			return err
		}
		if strings.HasPrefix(text, "transaction ") {
			text, _, _ = strings.Cut(text, "\n\n")
			fmt.Fprintf(d.Out, "\n%s\n%s\n", example.title, strings.TrimRight(text, "\n"))
		}
	}
	return nil
}

// writeClass writes a class's row of the summary table, and adds its sessions to the result's ByAnswer.
func (d *demonstration) writeClass(table io.Writer, class string) {
	count := make(map[string]int)
	setupTimes := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, session := range d.site.Log.Sessions() {
		if session.Class != class {
			continue
		}
		count["sessions"]++
		count[session.Answer]++
		d.result.ByAnswer[session.Answer]++
		if session.End == "moved" {
			count["moved"]++
		}
		if session.Answer == "up" {
			setupTimes.RecordValue(session.SetupTime.Microseconds())
		}
	}
	quantile := func(percent float64) time.Duration {
		return (time.Duration(setupTimes.ValueAtQuantile(percent)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\n", class, count["sessions"], count["up"], count["unavailable"], count["failed"],
		count["none"], count["moved"], quantile(50), quantile(99))
}
