package demo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// writeSummary writes the results by class, and some explanations to read.
func (d *demonstration) writeSummary() error {
	table := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nCLASS\tASKED\tUP\tUNAVAILABLE\tFAILED\tNO ANSWER\tMOVED\tSET-UP p50\tp99")
	d.result.ByAnswer = make(map[string]int)
	for _, class := range Classes {
		d.writeClass(table, class.Name)
	}
	table.Flush()
	text, err := d.command("why --by server,reason,outcome (verdict sent)")
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "\nwhere they went, why, and how it ended\n%s", text)
	for _, about := range []struct{ title, query string }{
		{"refused, or tried most often", "(or (answer unavailable) (passes > 2))"},
		{"sent past the server where its group was", "(reason route-slow route-gone route-eased)"},
		{"moved", "(and (answer moved) (verdict moved))"},
	} {
		text, err := d.command("why --most 1 " + about.query)
		if err != nil {
			return err
		}
		if strings.HasPrefix(text, "transaction ") {
			text, _, _ = strings.Cut(text, "\n\n")
			fmt.Fprintf(d.Out, "\n%s\n%s\n", about.title, strings.TrimRight(text, "\n"))
		}
	}
	return nil
}

// writeClass writes a class's line of the summary, and counts its answers.
func (d *demonstration) writeClass(table io.Writer, class string) {
	count := make(map[string]int)
	setupTimes := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, session := range d.site.Log.Sessions() {
		if session.Class != class {
			continue
		}
		count["asked"]++
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
	fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\n", class, count["asked"], count["up"], count["unavailable"], count["failed"],
		count["none"], count["moved"], quantile(50), quantile(99))
}
