#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy build. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -tags review2 -o bin/review-standin-2 ./review/standin-2
