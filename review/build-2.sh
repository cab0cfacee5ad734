#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standins-2/main.rs
