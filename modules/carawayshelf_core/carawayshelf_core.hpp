/** @file
    Module carawayshelf_core: the small value types that every other module shares.

    Purpose: identifiers, addresses, times and typed errors.
    Dependencies: the C++ standard library only. Does no input or output.
*/
#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/counter_set.hpp"
#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/error.hpp"
#include "carawayshelf_core/identifiers.hpp"
