/** @file
    Module carawayshelf_overload: decisions about new flows while a service has little room.

    Purpose: decides at an agent whether its backend server gets a new flow, in which order new
    flows wait, and which are refused. Measures the backend server by its answers: the time of a
    request, whether it fails its requests, and how many it can take after a start or a recovery.
    Each decision is a class of its own that takes the time and its inputs as arguments.

    Dependencies: carawayshelf_core, carawayshelf_wire. Does no input or output.
*/
#pragma once

#include "carawayshelf_overload/bad_answer_share.hpp"
#include "carawayshelf_overload/caller_failure_detector.hpp"
#include "carawayshelf_overload/caller_state.hpp"
#include "carawayshelf_overload/cold_rate_limiter.hpp"
#include "carawayshelf_overload/fast_failure_detector.hpp"
#include "carawayshelf_overload/forward_reason.hpp"
#include "carawayshelf_overload/load_options.hpp"
#include "carawayshelf_overload/offered_load_meter.hpp"
#include "carawayshelf_overload/opening_admission.hpp"
#include "carawayshelf_overload/opening_copies.hpp"
#include "carawayshelf_overload/opening_queue.hpp"
#include "carawayshelf_overload/opening_timing.hpp"
#include "carawayshelf_overload/pace_controller.hpp"
#include "carawayshelf_overload/request_time_meter.hpp"
#include "carawayshelf_overload/request_watch.hpp"
#include "carawayshelf_overload/service_time_meter.hpp"
#include "carawayshelf_overload/shortage_detector.hpp"
#include "carawayshelf_overload/shortage_policy.hpp"
#include "carawayshelf_overload/trial_limiter.hpp"
#include "carawayshelf_overload/usual_answer_time.hpp"
