#!/bin/sh
# The build of the deploy file copies the stand-ins to target/deps with the program; the
# scripts of review/6 to review/10 start them from there. This checks that they are there.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:review python3 -c "
import harness_2
from peridothitch.standins import metadata_store, platform_duties, replica
"
