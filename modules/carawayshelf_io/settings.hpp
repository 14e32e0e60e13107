#pragma once

#include "carawayshelf_catalogue/member.hpp"
#include "carawayshelf_consensus/voter_renewal.hpp"
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
    flow_protocol protocol = flow_protocol::coap;
    std::string name;
    std::string domain;
    endpoint data_address;           ///< First worker's envelope socket; others follow it.
    std::uint32_t entry_address = 0; ///< When set, services are bound here instead of at their own
                                     ///< address, for fabrics that rewrite the destination.
    std::uint32_t workers = 1;       ///< Traffic threads.
    endpoint entry;                  ///< Packets: where the routers send to.
    endpoint ready_address;          ///< Packets: HTTP address that tells whether it is ready.
    std::uint32_t flow_cache_entries = 8192; ///< Packets: flows whose agent is remembered.
    /** Packets: how long it relays on after a request to stop: routers look twice a second and
        drop a balancer after two misses. */
    std::uint32_t stop_ms = 1200;
    endpoint metrics_address;
    std::vector<endpoint> control_instances;
};

/** Settings of an agent. */
struct agent_daemon_settings
{
    flow_protocol protocol = flow_protocol::coap;
    std::string name;
    std::string domain;
    endpoint data_address;
    endpoint
        announce_address; ///< Where its backend server registers itself; packets: an HTTP address.
    std::string service;  ///< Packets: what its backend server serves.
    endpoint server;      ///< Packets: where the backend server receives.
    endpoint server_side; ///< Packets: where the backend server sends to.
    endpoint ready_address;           ///< Packets: HTTP address that tells whether it is ready.
    std::uint16_t client_port = 0;    ///< Packets: port of every client's router.
    std::uint32_t announce_ms = 1000; ///< Packets: how often the backend server announces itself.
    endpoint metrics_address;
    std::vector<endpoint> control_instances;
};

/** Settings of a control instance. */
struct control_settings
{
    instance_slot slot = 0; ///< Its place among the peers, from 1; or its IPv4 address.
    std::string data_folder;
    endpoint metrics_address;
    std::vector<endpoint> peers; ///< Addresses of all control instances, in the order of slots.
    endpoint address;            ///< Its own address among them.
    /** Instances find each other: slots are IPv4 addresses, `peers` are the seeds. */
    bool discovers_peers = false;
    bool is_first_start = false;      ///< Of the whole cluster: the seeds become its first voters.
    endpoint orders_address;          ///< HTTP address for operators.
    std::vector<std::string> domains; ///< Failure domains that operators may name.
    std::uint32_t lease_ms = 3000;
    std::uint32_t snapshot_every = 5000; ///< Records between two snapshots.
    /** Bytes of records that bring a snapshot forward: a few large configurations, so that
        they are read back quickly after a start. */
    std::uint32_t snapshot_bytes = 1U << 20U;
};

/** Each reads a settings file as a whole. Every fault is one line: section, key, the value seen,
   and the remedy; unknown keys are faults. Errors: invalid_settings. Thread-safe. */
failure load_settings(const std::string& file, balancer_settings& loaded);
failure load_settings(const std::string& file, agent_daemon_settings& loaded);
failure load_settings(const std::string& file, control_settings& loaded);

} // namespace carawayshelf
