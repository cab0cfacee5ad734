#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = system ] && continue
    rustc --edition 2024 -O -o "target/review/$name" "$source"
done
