#!/usr/bin/env bash
# Builds the stand-ins that the cases start, without a network and without any dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review_case review/standins/main.rs
