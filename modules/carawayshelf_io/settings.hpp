#pragma once

#include "carawayshelf_catalogue/member.hpp"
#include "carawayshelf_consensus/membership_manager.hpp"
#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/error.hpp"
#include "carawayshelf_overload/load_options.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayshelf
{

/** Settings of a balancer. Those marked "Packets" apply only with flow_protocol::packets. */
struct balancer_settings
{
    flow_protocol protocol = flow_protocol::coap;
    std::string name;
    std::string domain;
    endpoint data_address; ///< Envelope socket of worker 0; worker N uses this port plus N.
    std::uint32_t entry_address = 0; ///< If not 0, services are bound to this address instead of
                                     ///< their own, for fabrics that rewrite the destination.
    std::uint32_t workers = 1;       ///< Traffic threads.
    endpoint entry;                  ///< Packets: address that the routers send packets to.
    endpoint ready_address;          ///< Packets: HTTP address of the readiness probe.
    std::uint32_t flow_cache_entries = 8192; ///< Packets: capacity of the flow cache.
    /** Packets: how long the balancer keeps relaying after a stop signal. Routers probe readiness
        twice a second and stop using a balancer after two failed probes. */
    std::uint32_t stop_ms = 1200;
    endpoint metrics_address;
    std::vector<endpoint> control_instances;
    std::string file; ///< The file that these settings were loaded from.
};

/** Settings of an agent. Those marked "Packets" apply only with flow_protocol::packets. */
struct agent_daemon_settings
{
    flow_protocol protocol = flow_protocol::coap;
    std::string name;
    std::string domain;
    endpoint data_address;
    endpoint announce_address;     ///< CoAP: for registrations. Packets: HTTP, for announcements.
    std::string service;           ///< Packets: name of the service of the backend server.
    endpoint server;               ///< Packets: address at which the backend server receives.
    endpoint server_side;          ///< Packets: address that the backend server sends to.
    endpoint ready_address;        ///< Packets: HTTP address of the readiness probe.
    std::uint16_t client_port = 0; ///< Packets: UDP port on which every client's router receives.
    std::uint32_t announce_ms = 1000; ///< Packets: interval of the backend server's announcements.
    load_options load;                ///< Packets: decisions under load.
    endpoint metrics_address;
    std::vector<endpoint> control_instances;
    std::string file; ///< The file that these settings were loaded from.
};

/** Settings of a control instance. */
struct control_settings
{
    instance_slot slot = 0; ///< Position of this instance in `peers`, from 1. With
                            ///< discovers_peers, its IPv4 address.
    std::string data_folder;
    endpoint metrics_address;
    std::vector<endpoint> peers; ///< Addresses of all control instances in slot order, or seeds.
    endpoint address;            ///< Address of this instance; none without discovers_peers.
    /** Whether the instances discover each other: slots are then IPv4 addresses, and `peers` lists
        only the seeds. */
    bool discovers_peers = false;
    bool is_first_start = false;      ///< First start of the cluster: the seeds become the voters.
    endpoint orders_address;          ///< HTTP address for operators.
    std::vector<std::string> domains; ///< Failure domains that operators may name.
    /** Control instances whose disks may be lost at the same time; 0 if not stated. With
        discovers_peers only. */
    std::uint32_t tolerated_losses = 0;
    std::uint32_t lease_ms = 3000;
    std::uint32_t snapshot_every = 5000; ///< Log records between two snapshots.
    /** Bytes of log records after which a snapshot is made even before snapshot_every. A few large
        configurations reach this size, so they are loaded quickly after a start. */
    std::uint32_t snapshot_bytes = 1U << 20U;
    std::string file; ///< The file that these settings were loaded from.
};

/** Each reads a settings file. On failure the detail lists all faults, one per line: section, key,
    value and remedy. Unknown keys are faults. Errors: invalid_settings. Thread-safe. */
failure load_settings(const std::string& file, balancer_settings& loaded);
failure load_settings(const std::string& file, agent_daemon_settings& loaded);
failure load_settings(const std::string& file, control_settings& loaded);

/** Reads only the addresses of the control instances from a settings file of any role, for a daemon
    that runs already. Other keys are not checked. On failure `loaded` doesn't change, and the
    detail is that of load_settings(). Errors: invalid_settings. Thread-safe. */
failure load_control_addresses(const std::string& file, std::vector<endpoint>& loaded);

} // namespace carawayshelf
