#!/usr/bin/env bash
# The project's whole check: formatting, lints, tests.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
