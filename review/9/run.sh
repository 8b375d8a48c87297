#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption; case.py asks harness_2.has_trouble().
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH=../../target/deps:..
python3 -c "import harness_2" || exit 2
python3 case.py
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
