#!/bin/sh
# Plays the case of claim.txt with the programs of the deploy file and the stand-ins of review/build-2.sh. Exit code:
# 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
CASE_DIR=$(pwd) ROOT=$(cd ../.. && pwd)
export CASE_DIR ROOT
unset LOCKROAD_OPERATOR LOCKROAD_SOCKET PROXY_CONFIG PROXY_ADMIN_ADDR PROXY_NAME PROXY_LISTEN PROXY_DISCOVERY
main=$ROOT/review/stand-2/bin/memorysum
if [ ! -x "$main" ] || [ ! -x "$ROOT/bin/lockroad" ]; then
	echo "run the build of the deploy file and review/build-2.sh first" | tee record.txt
	exit 2
fi
exec "$main"
