/** @file
    Module carawayshelf_lab: a simulation of the platform in virtual time, to compare policies.

    Purpose: runs the product's decision code of balancers and agents (carawayshelf_packets) with
    modelled clients, links, backend servers and control updates. A scenario describes the
    deployment, the load and the events; it is simulated with each policy and with several seeds.
    The results are the share of requests answered in time, by second and by kind of request, and
    the bytes that balancers and agents exchange for signalling. Not modelled: processor time, loss
    of answers, and failures of control instances. Dependencies: carawayshelf_packets. Does no input
    or output. Random numbers come from the scenario's seeds, so a run can be repeated.
*/
#pragma once

#include "carawayshelf_lab/event_queue.hpp"
#include "carawayshelf_lab/kind_table.hpp"
#include "carawayshelf_lab/lab_details.hpp"
#include "carawayshelf_lab/lab_report.hpp"
#include "carawayshelf_lab/lab_scenario.hpp"
#include "carawayshelf_lab/lab_simulation.hpp"
#include "carawayshelf_lab/svg_plot.hpp"
