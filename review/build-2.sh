#!/usr/bin/env bash
# Checks that the stand-ins of this review compile; they need the standard library
# only. The entries that the scripts start are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
cache="$(mktemp -d)"
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile standins-2/*.py
test -d ../target/deps || { echo "target/deps is missing: build the deploy file first" >&2; exit 1; }
