/** @file
    Module carawayshelf_wire: how values look on the network and in the log.

    Purpose: the envelope of relayed datagrams, the frames between processes, the encoding of
    changes and snapshots, and CoAP messages.
    Dependencies: carawayshelf_core, carawayshelf_steering, carawayshelf_catalogue,
    carawayshelf_consensus, FlatBuffers (generated code in schemas/generated), libcoap's codec,
    Zstandard.
    Does no input or output; nothing that it reads is trusted.
*/
#pragma once

#include "carawayshelf_wire/coap_message.hpp"
#include "carawayshelf_wire/compression.hpp"
#include "carawayshelf_wire/envelope.hpp"
#include "carawayshelf_wire/frame_codec.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"
#include "carawayshelf_wire/state_codec.hpp"
