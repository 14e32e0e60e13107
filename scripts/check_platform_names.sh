#!/usr/bin/env bash
# Checks that names of the users' platform are used only in platform/ and its tests.
set -uo pipefail
cd "$(dirname "$0")/.."
names='Config\.Re(place|ad)|Evacuate\.(Start|Finish)|Instances\.(Heartbeat|Deregister)|/carawayshelf/ready'
names+='|weighted_backends|path_prefix|route_type|warmup|datagram_addr|control_plane|outbound|seed_nodes'
names+='|internal_port_range|bind_addrs|capacity_slots|max_connections|heartbeat_url|CARAWAYSHELF_BOOT|BOUNCED'
if grep -rnE "$names" modules programs schemas/*.fbs config tests/unit tests/fakes tests/fuzz/*.?pp tests/standins benchmarks; then
    echo "a name of the users' platform is used outside platform/: decode it there into a type of this project"
    exit 1
fi
echo "platform names: only in platform/"
