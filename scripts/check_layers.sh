#!/usr/bin/env bash
# Checks that the core modules do not include carawayshelf_io or headers for input, output or threads.
# Neither they nor carawayshelf_wire may read clocks or random devices.
set -uo pipefail
cd "$(dirname "$0")/.."
core=(modules/carawayshelf_{core,steering,catalogue,consensus,admission,overload,packets,lab})
forbidden='carawayshelf_io/|<sys/|<netinet/|<arpa/|<unistd\.h>|<fcntl\.h>|<poll\.h>|<fstream>|<iostream>|<cstdio>|<thread>|<mutex>|boost/asio|coap3/|spdlog|prometheus'
clocks='(steady|system|high_resolution)_clock::now|std::time\(|random_device'
if grep -rnE "#include.*($forbidden)" "${core[@]}" || grep -rnE "$clocks" "${core[@]}" modules/carawayshelf_wire; then
    echo "a core module does input or output, or reads a clock: move that code to carawayshelf_io"
    exit 1
fi
echo "core modules: no input or output"
