#!/usr/bin/env bash
# The scripts of review/6 to review/10 start the bundled daemon and the stand-ins of review/stand-ins-2, which are plain JavaScript. Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.js ./*/run.js; do
	node --check "$file"
done
test -f ../target/shallotpassd.mjs
