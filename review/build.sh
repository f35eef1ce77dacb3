#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go test -c -tags review -o target/review-standin ./review/standin
