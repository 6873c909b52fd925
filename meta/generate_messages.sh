#!/usr/bin/env bash
# Regenerates the committed protobuf code from peer.proto.
source "$(dirname "$0")/common.sh"
protoc --proto_path=libraries/messages --cpp_out=libraries/messages libraries/messages/peer.proto
