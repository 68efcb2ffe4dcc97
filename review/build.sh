#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into review/bin. It comes after the build of the deploy file, and needs
# nothing that that build did not need.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
	if [ -d "review/testdata/case$n" ]; then
		go build -o "review/bin/case$n" "./review/testdata/case$n"
	fi
done
