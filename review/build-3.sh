#!/bin/bash
# Builds the stand-ins that the scripts of the cases 11 to 14 start: one program, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/scene-3 review/scene-3/main.rs
