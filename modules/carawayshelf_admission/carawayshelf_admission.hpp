/** @file
    Module carawayshelf_admission: the agent of one backend server.

    Purpose: holds the server's flows, admits or refuses requests, keeps answers for duplicate
    requests, and limits the request rate of a server that has just started.
    Dependencies: carawayshelf_core, carawayshelf_steering, carawayshelf_catalogue,
    carawayshelf_wire. Does no input or output: it sends through agent_port.
*/
#pragma once

#include "carawayshelf_admission/agent_core.hpp"
#include "carawayshelf_admission/agent_counters.hpp"
#include "carawayshelf_admission/agent_port.hpp"
#include "carawayshelf_admission/echo_issuer.hpp"
#include "carawayshelf_admission/exchange_cache.hpp"
#include "carawayshelf_admission/request_limiter.hpp"
#include "carawayshelf_admission/start_ramp.hpp"
