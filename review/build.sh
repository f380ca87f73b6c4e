#!/usr/bin/env bash
# The stand-ins are plain JavaScript and need no build; this only checks that each of them can be read.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/*.mjs; do node --check "$file"; done
