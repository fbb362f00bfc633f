#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The build line of deploy/system.toml has built the daemon.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../../target/review/standin .
