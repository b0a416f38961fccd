#!/bin/sh
# Plays the case of claim.txt. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. The build of the deploy file and review/build.sh come first.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
if [ ! -x "$root/bin/lapisspread" ] || [ ! -x "$root/review/bin/standin" ]; then
	echo "build first: the command of deploy/balancer.toml, and review/build.sh" >&2
	exit 2
fi
exec "$root/review/bin/standin" slowreader "$root" "$here/record.txt"
