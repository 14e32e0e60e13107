#!/usr/bin/env bash
# Checks that the core modules include nothing of io, nor of the system's sockets, files and clocks.
set -uo pipefail
cd "$(dirname "$0")/.."
core=(modules/carawayshelf_{core,steering,catalogue,consensus,admission,packets,lab})
forbidden='carawayshelf_io/|<sys/|<netinet/|<arpa/|<unistd\.h>|<fcntl\.h>|<poll\.h>|<fstream>|<iostream>|<cstdio>|<thread>|<mutex>|boost/asio|coap3/|spdlog|prometheus'
clocks='(steady|system|high_resolution)_clock::now|std::time\(|random_device'
if grep -rnE "#include.*($forbidden)" "${core[@]}" || grep -rnE "$clocks" "${core[@]}" modules/carawayshelf_wire; then
    echo "a core module does input or output: move it to carawayshelf_io"
    exit 1
fi
echo "core modules: clean"
