#!/bin/sh
# Builds every stand-in that a script of this folder starts. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
npx --no-install tsc -b platform
