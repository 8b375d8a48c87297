#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: their own, and the project's in target/deps.
# The build of the deploy file has to have run before.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/peridothitch/standins ] || {
    echo "target/deps is missing: run the build of the deploy file first" >&2
    exit 1
}
PYTHONPATH=target/deps python3 -c "import peridothitch.standins.metadata_store"
python3 -m compileall -q -f review
