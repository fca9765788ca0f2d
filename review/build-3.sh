#!/usr/bin/env bash
# The stand-ins of the cases 11 to 14 are plain scripts that need no build; this checks that they can be parsed.
set -eu
cd "$(dirname "$0")"
for file in common-3/*.mjs 1[1-4]/*.mjs; do
  node --check "$file"
done
