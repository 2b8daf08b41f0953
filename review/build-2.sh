#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build/review-2, after the build of the deploy file. Needs what
# that build needs and nothing else.
set -e
cd "$(dirname "$0")/.."
test -x build/copperfront || { echo "run the build line of deploy/balancer.toml first" >&2; exit 2; }
mkdir -p build/review-2
for n in 6 7 8 9 10; do
    test -f "review/$n/case.cpp" || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin-2 -o "build/review-2/case-$n" "review/$n/case.cpp" &
done
wait
for n in 6 7 8 9 10; do
    test ! -f "review/$n/case.cpp" || test -x "build/review-2/case-$n"
done
