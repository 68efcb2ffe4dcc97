package golden

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// CommandLine lists the commands of a command line with their arguments and flags: names, short
// forms, types, defaults, allowed values, environment variables and whether they are required.
func CommandLine(parser *kong.Kong) string {
	var b strings.Builder
	describe(&b, parser.Model.Node)
	return b.String()
}

func describe(b *strings.Builder, node *kong.Node) {
	fmt.Fprintf(b, "%s\n", node.FullPath())
	for _, argument := range node.Positional {
		fmt.Fprintf(b, "  argument %s\n", value(argument))
	}
	for _, flag := range node.Flags {
		short := ""
		if flag.Short != 0 {
			short = fmt.Sprintf(" -%c", flag.Short)
		}
		fmt.Fprintf(b, "  flag --%s%s\n", value(flag.Value), short)
	}
	for _, child := range node.Children {
		describe(b, child)
	}
}

func value(v *kong.Value) string {
	text := fmt.Sprintf("%s (%s)", v.Name, v.Target.Kind())
	if v.Default != "" {
		text += fmt.Sprintf(" default %q", v.Default)
	}
	if v.Enum != "" {
		text += fmt.Sprintf(" one of %s", v.Enum)
	}
	if v.Required {
		text += " required"
	}
	for _, name := range v.Tag.Envs {
		text += " env " + name
	}
	return text
}
