#!/bin/sh
# Builds the stand-ins of review/4 and review/5. Needs Rust only, no network and no crates.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin-2 review/standin-2.rs
