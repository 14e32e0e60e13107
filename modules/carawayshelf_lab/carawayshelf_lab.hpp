/** @file
    Module carawayshelf_lab: a model of the platform in virtual time, to compare policies.

    Purpose: the real decision code of balancers and agents (carawayshelf_packets) between modelled
    clients, links, backend servers and control news. A scenario names the load and what happens;
   each policy plays it over several seeds; the result is the share of requests in time by second
   and by kind, and what was sent between the system's own processes. What the model leaves out:
   processor time, losses of answers, and control instances that fail. Dependencies:
   carawayshelf_packets. Does no input or output; random numbers come from the scenario's seeds, so
   that a run repeats.
*/
#pragma once

#include "carawayshelf_lab/event_queue.hpp"
#include "carawayshelf_lab/lab_report.hpp"
#include "carawayshelf_lab/lab_scenario.hpp"
#include "carawayshelf_lab/lab_simulation.hpp"
#include "carawayshelf_lab/svg_plot.hpp"
