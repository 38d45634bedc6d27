#!/bin/sh
# Compiles the stand-ins and the cases of the second review into target/review-2, with the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rm -rf target/review-2/classes
javac --release 17 -d target/review-2/classes review/standins-2/*.java $(ls review/1[0-4]/*.java 2>/dev/null)
