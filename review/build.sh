#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/case review/stand/main.rs
