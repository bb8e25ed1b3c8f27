#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8: one program, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O --crate-name review_2_stand -o target/review-2/stand review/stand-2/main.rs
