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

func describe(builder *strings.Builder, node *kong.Node) {
	fmt.Fprintf(builder, "%s\n", node.FullPath())
	for _, argument := range node.Positional {
		fmt.Fprintf(builder, "  argument %s\n", value(argument))
	}
	for _, flag := range node.Flags {
		short := ""
		if flag.Short != 0 {
			short = fmt.Sprintf(" -%c", flag.Short)
		}
		fmt.Fprintf(builder, "  flag --%s%s\n", value(flag.Value), short)
	}
	for _, child := range node.Children {
		describe(builder, child)
	}
}

func value(parameter *kong.Value) string {
	text := fmt.Sprintf("%s (%s)", parameter.Name, parameter.Target.Kind())
	if parameter.Default != "" {
		text += fmt.Sprintf(" default %q", parameter.Default)
	}
	if parameter.Enum != "" {
		text += fmt.Sprintf(" one of %s", parameter.Enum)
	}
	if parameter.Required {
		text += " required"
	}
	for _, name := range parameter.Tag.Envs {
		text += " env " + name
	}
	return text
}
