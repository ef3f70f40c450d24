#!/bin/sh
# Builds the stand-ins of the second review; needs the Go tool chain only, no network.
set -eu
cd "$(dirname "$0")/standin2"
mkdir -p ../../bin
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../../bin/review-2 .
