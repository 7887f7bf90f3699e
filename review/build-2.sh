#!/bin/bash
# Builds every stand-in of the second review's scripts (cases 4 to 8): one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
