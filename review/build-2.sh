#!/bin/sh
# Builds the stand-in that the scripts of the second review start. It needs the Go toolchain and no module.
set -e
cd "$(dirname "$0")/standin-2"
go test -tags review -c -o ../../target/review2 .
