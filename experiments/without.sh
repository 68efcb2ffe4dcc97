#!/bin/sh
# without.sh EXPERIMENT CONSTANT=VALUE...: what a part of the module is worth. It builds simulate from a copy of
# the tree in which constants of balancer/*.go are set otherwise, carries the experiment out with that and with
# the module as it is, by the same seeds, and compares the two. The tree itself is not touched. Example:
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
	# A constant stands in a block (tab, name) or by itself (const name).
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
