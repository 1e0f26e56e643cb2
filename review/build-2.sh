#!/bin/sh
# Builds the stand-ins of the cases 6 and 8 to 10 into target/review-2, without a network.
set -eu
cd "$(dirname "$0")/kit-2"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-2/review-2 .
