#!/usr/bin/env bash
# Three controls are replaced once each, one after the other, as planned work: the new one first, then SIGTERM.
# Exits with 1 if the acknowledged configuration can't be read afterwards, 0 if it can, 2 if it couldn't run.
# TROUBLE=0: the same without replacements.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rolling ] && [ -x target/release/mgw-platform-control ] || exit 2
target/review/rolling review/1/record.txt "${TROUBLE:-1}" 3
