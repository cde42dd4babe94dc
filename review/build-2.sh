#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review; needs only rustc.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/stand_in_2.rs
rustc --edition 2024 -O -o target/review-2/stand-in-3 review/stand_in_3.rs
