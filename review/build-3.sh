#!/usr/bin/env bash
# Builds the stand-ins of the review cases 15 to 19 into target/review-3/. Run it in the root of the repository.
set -euo pipefail
cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/.."
rm -rf target/review-3
mkdir -p target/review-3/classes
find review/standins-3/src -name '*.java' -print0 | xargs -0 javac --release 17 -Xlint:all -d target/review-3/classes
