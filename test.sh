#!/usr/bin/env bash
# The project's whole check: formatting, lints, tests. Tests named in KNOWN-RED.txt are run last; they are
# printed with how they ended and do not fail the check.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
known_red=()
skips=()
if [ -f KNOWN-RED.txt ]; then
    while IFS=, read -r name _; do
        [ -n "$name" ] || continue
        known_red+=("$name")
        skips+=(--skip "$name")
    done < KNOWN-RED.txt
fi
for name in "${known_red[@]}"; do
    echo "known red: $(grep "^$name," KNOWN-RED.txt)"
    if cargo test --workspace --locked --tests -- --exact "$name" > target/known-red.log 2>&1; then
        echo "known red: $name passes now; take it off KNOWN-RED.txt"
    else
        echo "known red: $name still fails"
    fi
done
cargo test --workspace --locked -- "${skips[@]}"
