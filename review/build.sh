#!/bin/bash
# Builds the stand-ins of the cases; wants the Go tool chain and nothing else.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
CGO_ENABLED=0 GOWORK=off go build -o ../bin/standin .
