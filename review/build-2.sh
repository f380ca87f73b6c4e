#!/bin/sh
# The stand-ins of the cases 4 to 8 are plain JavaScript without dependencies: there is nothing to compile. This
# checks that each file parses with the Node.js at hand.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
