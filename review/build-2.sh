#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start; needs no network.
set -eu
cd "$(dirname "$0")/.."
npx tsc -b packages/standins
