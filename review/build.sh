#!/bin/sh
# Builds the stand-ins of the cases into target/review; needs a JDK 17 and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/review/*.java
