#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts; they use no package.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
