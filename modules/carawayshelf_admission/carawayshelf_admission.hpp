/** @file
    Module carawayshelf_admission: what one agent does for its backend server.

    Purpose: owns the server's flows, admits or refuses requests, keeps answers for duplicates, and
    protects a server that has just started.
    Dependencies: carawayshelf_core, carawayshelf_steering, carawayshelf_catalogue,
    carawayshelf_wire. Does no input or output: agent_port carries what it sends.
*/
#pragma once

#include "carawayshelf_admission/agent_core.hpp"
#include "carawayshelf_admission/agent_counters.hpp"
#include "carawayshelf_admission/agent_port.hpp"
#include "carawayshelf_admission/echo_issuer.hpp"
#include "carawayshelf_admission/exchange_cache.hpp"
#include "carawayshelf_admission/request_limiter.hpp"
#include "carawayshelf_admission/start_ramp.hpp"
