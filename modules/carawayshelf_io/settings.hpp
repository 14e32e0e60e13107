#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/error.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayshelf
{

/** Settings of a balancer. */
struct balancer_settings
{
    std::string name;
    std::string domain;
    endpoint data;                   ///< First worker's envelope socket; others follow it.
    std::uint32_t entry_address = 0; ///< When set, services are bound here instead of at their own
                                     ///< address, for fabrics that rewrite the destination.
    std::uint32_t workers = 1;       ///< Traffic threads.
    endpoint metrics;
    std::vector<endpoint> control;
};

/** Settings of an agent. */
struct agent_daemon_settings
{
    std::string name;
    std::string domain;
    endpoint data;
    endpoint announce; ///< Where its backend server registers itself.
    endpoint metrics;
    std::vector<endpoint> control;
};

/** Settings of a control instance. */
struct control_settings
{
    std::uint16_t slot = 0; ///< Its place among the peers, from 1.
    std::string data_folder;
    endpoint metrics;
    std::vector<endpoint> peers; ///< Addresses of all control instances, in the order of slots.
    std::uint32_t lease_ms = 3000;
    std::uint32_t snapshot_every = 5000; ///< Records between two snapshots.
};

/** Each reads a settings file as a whole. Every fault is one line: section, key, the value seen,
   and the remedy; unknown keys are faults. Errors: invalid_settings. Thread-safe. */
failure load_settings(const std::string& file, balancer_settings& loaded);
failure load_settings(const std::string& file, agent_daemon_settings& loaded);
failure load_settings(const std::string& file, control_settings& loaded);

} // namespace carawayshelf
