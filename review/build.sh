#!/usr/bin/env bash
# Builds the stand-ins of the cases into build/review, with the compiler of the deploy file's build alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/standin/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build/review/$(basename "$source" .cpp)"
done
