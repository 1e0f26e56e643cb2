#!/usr/bin/env bash
# Builds the stand-ins of the cases, which use the standard library only, into
# target/. The deploy file's build must have run before.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o ../target/review-kit ./kit
