#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A warnings -o target/review-2/bed.new review/bed-2.rs
mv target/review-2/bed.new target/review-2/bed
