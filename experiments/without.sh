#!/bin/sh
# without.sh EXPERIMENT CONSTANT=VALUE... measures the effect of constants of balancer/*.go. It builds simulate
# unchanged and from a copy of the tree with the given values, runs the experiment with both, and compares the
# results by seed. The working tree is not modified. Example:
#   experiments/without.sh experiments/parts.lisp recoveryDuration=0
set -eu
[ $# -ge 2 ] || { sed -n '2,5s/^# //p' "$0" >&2; exit 2; }
root=$(cd "$(dirname "$0")/.." && pwd)
experiment=$(realpath "$1")
shift
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -r "$root/go.mod" "$root/go.sum" "$root/balancer" "$root/cmd" "$root/internal" "$copy"
for change; do
	name=${change%%=*}
	# A constant is declared in a block (tab, name) or on its own (const name).
	declared="^\(	\|const \)$name *= "
	file=$(grep -l "$declared" "$copy"/balancer/*.go) || { echo "without.sh: balancer has no constant $name" >&2; exit 2; }
	sed -i "s|\($declared\)[^/]*|\1${change#*=} |" "$file"
done
(cd "$root" && go build -o "$copy/as-it-is" ./cmd/simulate)
(cd "$copy" && go build -o without ./cmd/simulate)
"$copy/as-it-is" run "$experiment" -o "$copy/as-it-is.csv" >/dev/null
"$copy/without" run "$experiment" -o "$copy/without.csv" >/dev/null
echo "without: $*"
"$copy/as-it-is" compare "$copy/as-it-is.csv" "$copy/without.csv"
