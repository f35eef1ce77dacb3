# Generates the Go code of peer.proto with the generators of tools/go.mod.
set -eu
cd "$(dirname "$0")"
bin="${TOOLS_BIN:-$(cd ../../.. && pwd)/.tools}"
PATH="$bin:$PATH" "$bin/buf" generate
