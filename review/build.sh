#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin. The standard library is all that they need.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
exec go build -o ../bin/standin .
