#!/usr/bin/env bash
# A worker leaves; the control that acknowledged it is killed and started again; a heartbeat that the worker
# sent before arrives late there. Exits with 1 if requests reach the worker again, 0 if not, 2 if it couldn't run.
# TROUBLE=0: the same without the kill.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/late_heartbeat ] && [ -x target/release/mgw-platform-control ] || exit 2
target/review/late_heartbeat review/3/record.txt "${TROUBLE:-1}"
