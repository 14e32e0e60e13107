/** @file
    Module carawayshelf_wire: encodings of what is sent over the network and stored in the log.

    Purpose: the envelopes of relayed datagrams and packets, the frames between processes, the
    encoding of changes and snapshots, and CoAP messages.
    Dependencies: carawayshelf_core, carawayshelf_steering, carawayshelf_catalogue,
    carawayshelf_consensus, FlatBuffers (generated code in schemas/generated), libcoap's codec,
    Zstandard.
    Performs no I/O. Decoders treat all input as untrusted.
*/
#pragma once

#include "carawayshelf_wire/coap_message.hpp"
#include "carawayshelf_wire/compression.hpp"
#include "carawayshelf_wire/envelope.hpp"
#include "carawayshelf_wire/frame_codec.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"
#include "carawayshelf_wire/state_codec.hpp"
