package explain

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/sexp"
)

// Filter reports whether an entry matches a query. now is the time on the log's clock.
type Filter func(entry *decisionlog.Entry, now time.Duration) bool

// MatchAll matches all entries.
func MatchAll(*decisionlog.Entry, time.Duration) bool { return true }

// CompileFilter compiles a query in S-expressions. Its error is a *sexp.Error.
func CompileFilter(source string, names EndpointNames) (Filter, error) {
	node, err := sexp.ParseOne(source)
	if err != nil {
		return nil, err
	}
	return (&filterCompiler{endpointNames: names}).compile(node)
}

// FilterHelp describes the forms of a query, one per line.
func FilterHelp() string {
	var help strings.Builder
	help.WriteString("(and Q ...), (or Q ...), (not Q)\n")
	for _, field := range filterFields {
		help.WriteString("(" + strings.TrimSpace(field.name+" "+field.args) + "): " + field.help + "\n")
	}
	return help.String()
}

// filterCompiler compiles queries. It resolves the names of endpoints in them.
type filterCompiler struct{ endpointNames EndpointNames }

// compileField compiles the form of one field. args are the arguments of the form.
type compileField func(compiler *filterCompiler, form *sexp.Node, args []*sexp.Node) (Filter, error)

// compile compiles one form: and, or, not, or a field.
func (c *filterCompiler) compile(form *sexp.Node) (Filter, error) {
	head, args, err := form.Head()
	if err != nil {
		return nil, err
	}
	switch head {
	case "and", "or":
		return c.compileAndOr(args, head == "or")
	case "not":
		return c.compileNot(form, args)
	}
	var known []string
	for _, field := range filterFields {
		if field.name == head {
			return field.compile(c, form, args)
		}
		known = append(known, field.name)
	}
	return nil, form.List.Items[0].Errorf("unknown query %q; expected and, or, not, %s", head, strings.Join(known, ", "))
}

// compileAndOr compiles "and" or "or". The first filter that returns decisive determines the
// result: true for "or", false for "and".
func (c *filterCompiler) compileAndOr(args []*sexp.Node, decisive bool) (Filter, error) {
	filters := make([]Filter, len(args))
	for i, arg := range args {
		var err error
		if filters[i], err = c.compile(arg); err != nil {
			return nil, err
		}
	}
	return func(entry *decisionlog.Entry, now time.Duration) bool {
		for _, filter := range filters {
			if filter(entry, now) == decisive {
				return decisive
			}
		}
		return !decisive
	}, nil
}

func (c *filterCompiler) compileNot(form *sexp.Node, args []*sexp.Node) (Filter, error) {
	if len(args) != 1 {
		return nil, form.Errorf("not takes one query, got %d", len(args))
	}
	filter, err := c.compile(args[0])
	if err != nil {
		return nil, err
	}
	return func(entry *decisionlog.Entry, now time.Duration) bool { return !filter(entry, now) }, nil
}

// matchWords compiles a field that matches if one of an entry's words is among the
// arguments. If allowed is not nil, only its words are valid arguments.
func matchWords(allowed []string, wordsOf func(*decisionlog.Entry) []string) compileField {
	return func(_ *filterCompiler, form *sexp.Node, args []*sexp.Node) (Filter, error) {
		wanted, err := form.Values()
		if err != nil {
			return nil, err
		}
		for i, word := range wanted {
			if allowed != nil && !slices.Contains(allowed, word) {
				return nil, args[i].Errorf("%s has no value %q; expected one of %s", form.List.Items[0], word, strings.Join(allowed, ", "))
			}
		}
		return func(entry *decisionlog.Entry, _ time.Duration) bool {
			return slices.ContainsFunc(wordsOf(entry), func(word string) bool { return slices.Contains(wanted, word) })
		}, nil
	}
}

// matchWord is matchWords for a field with a single word and arbitrary arguments.
func matchWord(wordOf func(*decisionlog.Entry) string) compileField {
	return matchWords(nil, func(entry *decisionlog.Entry) []string { return []string{wordOf(entry)} })
}

// decisionWords returns a function that collects wordOf for all decisions of an entry.
func decisionWords(wordOf func(*balancer.Decision) string) func(*decisionlog.Entry) []string {
	return func(entry *decisionlog.Entry) (words []string) {
		for i := range entry.Events {
			if entry.Events[i].Kind == decisionlog.EventDecision {
				words = append(words, wordOf(&entry.Events[i].Decision))
			}
		}
		return words
	}
}

// matchKey compiles a field that is a hexadecimal key.
func matchKey(keyOf func(*decisionlog.Entry) uint64) compileField {
	return func(_ *filterCompiler, form *sexp.Node, args []*sexp.Node) (Filter, error) {
		wanted, err := form.Values()
		if err != nil {
			return nil, err
		}
		keys := make([]uint64, len(wanted))
		for i, text := range wanted {
			if keys[i], err = strconv.ParseUint(text, 16, 64); err != nil {
				return nil, args[i].Errorf("%q is not a hexadecimal number of 64 bits", text)
			}
		}
		return func(entry *decisionlog.Entry, _ time.Duration) bool { return slices.Contains(keys, keyOf(entry)) }, nil
	}
}

// matchEndpoint compiles the field that matches requests sent to one of the endpoints in its
// arguments.
func matchEndpoint(compiler *filterCompiler, form *sexp.Node, args []*sexp.Node) (Filter, error) {
	names, err := form.Values()
	if err != nil {
		return nil, err
	}
	ids := make([]balancer.EndpointID, len(names))
	for i, name := range names {
		var known bool
		if ids[i], known = compiler.endpointNames.Lookup(name); !known {
			return nil, args[i].Errorf("unknown application server %q: no endpoint list has named it", name)
		}
	}
	return func(entry *decisionlog.Entry, _ time.Duration) bool {
		return slices.ContainsFunc(entry.Events, func(event decisionlog.Event) bool {
			switch event.Kind {
			case decisionlog.EventAttemptStarted:
				return slices.Contains(ids, event.Endpoint)
			case decisionlog.EventDecision:
				decision := &event.Decision
				return decision.Verdict != balancer.VerdictHeld && decision.Endpoint != 0 && slices.Contains(ids, decision.Endpoint)
			}
			return false
		})
	}, nil
}

// matchTime compiles a field whose argument is a duration. matches gets the time that long
// before now.
func matchTime(matches func(entry *decisionlog.Entry, at time.Duration) bool) compileField {
	return func(_ *filterCompiler, form *sexp.Node, args []*sexp.Node) (Filter, error) {
		if len(args) != 1 {
			return nil, form.Errorf("%s takes one duration, such as 5m", form.List.Items[0])
		}
		ago, err := args[0].Duration()
		if err != nil {
			return nil, err
		}
		return func(entry *decisionlog.Entry, now time.Duration) bool { return matches(entry, now-ago) }, nil
	}
}

// comparisons are the comparison operators.
var comparisons = map[string]func(x, y float64) bool{
	"=":  func(x, y float64) bool { return x == y },
	"<":  func(x, y float64) bool { return x < y },
	">":  func(x, y float64) bool { return x > y },
	"<=": func(x, y float64) bool { return x <= y },
	">=": func(x, y float64) bool { return x >= y },
}

// matchNumber compiles a field that is compared with a number. parse reads the number.
// valueOf returns the entry's number, or false if it has none and does not match.
func matchNumber(parse func(*sexp.Node) (float64, error), valueOf func(*decisionlog.Entry) (float64, bool)) compileField {
	return func(_ *filterCompiler, form *sexp.Node, args []*sexp.Node) (Filter, error) {
		if len(args) != 2 {
			return nil, form.Errorf("%s takes a comparison operator and a value, such as >= 2", form.List.Items[0])
		}
		operator, err := args[0].Value()
		if err != nil {
			return nil, err
		}
		compare := comparisons[operator]
		if compare == nil {
			return nil, args[0].Errorf("unknown comparison operator %q; expected one of = < > <= >=", operator)
		}
		limit, err := parse(args[1])
		if err != nil {
			return nil, err
		}
		return func(entry *decisionlog.Entry, _ time.Duration) bool {
			value, known := valueOf(entry)
			return known && compare(value, limit)
		}, nil
	}
}

// matchFlag compiles a boolean field without arguments.
func matchFlag(flagOf func(*decisionlog.Entry) bool) compileField {
	return func(_ *filterCompiler, form *sexp.Node, args []*sexp.Node) (Filter, error) {
		if len(args) != 0 {
			return nil, args[0].Errorf("%s takes no value", form.List.Items[0])
		}
		return func(entry *decisionlog.Entry, _ time.Duration) bool { return flagOf(entry) }, nil
	}
}
