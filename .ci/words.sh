#!/usr/bin/env bash
# Checks that names specific to the hosting platform occur only in platform/, and that platform/
# contains no decisions: it may import types, but no package that selects, waits or keeps state.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0

# Headers, paths and fields that are specific to the platform, not standard HTTP.
words='Response-Stamp|Not-Executed|Expect-Instance|Deadline-Ms|Prompt-Prefix|Token-Count|Server-Load|Server-Limit|Server-Leaving|Server-Brittle|Store-Era|Duty-Holder|Fencing-Token|Request-Urgency|Kv-From|Kv-Backup|Kv-Fetch|Pin-Ms|/api/objects|/api/ready|TrafficSplit|GapSloMs|KvTokens|SpotPrice|ApiKeys|DurationS|BRASSCHUTE_NODE_FILE'
if git grep -nE "$words" -- '*.go' ':!platform/' ':!internal/standin/hosting/' ':!integration/' ':!*_test.go' ':!*.pb.go' ':!*.twirp.go'; then
  echo "names of the hosting platform outside platform/"
  status=1
fi

allowed='brasschute/(internal/(config/(catalog|deployment|document|rollout)|core/identifier|platform/(inventory|object)|serve/request))'
if go list -f '{{join .Imports "\n"}}' ./platform | grep '^brasschute/' | grep -vE "^$allowed\$"; then
  echo "platform/ imports more than types"
  status=1
fi
exit $status
