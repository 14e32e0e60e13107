/** @file
    Module carawayshelf_core: basic types that all other modules use.

    Purpose: identifiers, addresses, times, counters, enumeration names and typed errors.
    Dependencies: the C++ standard library only. Performs no I/O.
*/
#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/counter_set.hpp"
#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/error.hpp"
#include "carawayshelf_core/identifiers.hpp"
