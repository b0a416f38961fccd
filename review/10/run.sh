#!/bin/sh
# Plays this case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not be played.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x bin/review-standin-2 ] && [ -x bin/lapisspread ] || { echo "build first: the deploy build and review/build-2.sh" >&2; exit 2; }
exec bin/review-standin-2 10 "$here"
