#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs no network after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/stand-2/bin
for main in review/stand-2/testdata/*/main.go; do
	name=$(basename "$(dirname "$main")")
	go build -o "review/stand-2/bin/$name" "./review/stand-2/testdata/$name"
done
