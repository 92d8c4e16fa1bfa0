#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./cmd/standin
go build -o target/review/fixture ./review/fixture
