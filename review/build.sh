#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program, of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-ins review/stand-ins/main.rs
