/** @file
    Module carawayshelf_catalogue: the replicated state and the changes to it.

    Purpose: catalogue entries and their validation, failure domain states, members, and the
    deterministic state machine to which every control instance applies the log.
    Dependencies: carawayshelf_core, carawayshelf_steering. Performs no I/O.
*/
#pragma once

#include "carawayshelf_catalogue/change.hpp"
#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_catalogue/entry_validation.hpp"
#include "carawayshelf_catalogue/member.hpp"
#include "carawayshelf_catalogue/service_entry.hpp"
#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_catalogue/table_update.hpp"
#include "carawayshelf_catalogue/traffic_configuration.hpp"
