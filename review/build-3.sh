#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, without a network. Run it from anywhere.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-third
rustc --edition 2024 -O -D warnings -o target/review-third/third review/stand_in_4.rs
