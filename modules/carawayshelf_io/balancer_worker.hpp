#pragma once

#include "carawayshelf_admission/agent_counters.hpp"
#include "carawayshelf_io/udp_socket.hpp"
#include "carawayshelf_steering/routing_table.hpp"
#include "carawayshelf_wire/envelope.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace carawayshelf
{

/** Why a balancer dropped a datagram. */
enum class balancer_drop
{
    too_short,
    too_long,
    unknown_service,
    no_owner,
    malformed_envelope,
    unexpected_envelope,
    send_failed
};

inline constexpr name_table<balancer_drop, 7> balancer_drop_names{
    {"too_short", "too_long", "unknown_service", "no_owner", "malformed_envelope",
     "unexpected_envelope", "send_failed"}};

/** Counters of a balancer, written by its workers. Thread-safe to read. */
struct balancer_counters
{
    std::atomic<std::uint64_t> received{0};          ///< Datagrams from callers.
    std::atomic<std::uint64_t> relayed{0};           ///< Datagrams sent to agents.
    std::atomic<std::uint64_t> replies{0};           ///< Datagrams sent to callers.
    std::atomic<std::uint64_t> newest_generation{0}; ///< Of the tables of replying agents.
    counter_set<balancer_drop, 7> drops;
};

/** The routing table and the sockets of the services. Immutable once passed to a worker. */
struct balancer_view
{
    routing_table table;
    std::map<service_id, std::shared_ptr<unique_fd>> sockets;
};

/** One traffic thread of a balancer. Relays datagrams in batches, reads the current view through an
    atomic pointer and keeps no flow state. */
class balancer_worker
{
public:
    /** @param data  address of the envelope socket
        @param counters  must outlive the worker */
    balancer_worker(const endpoint& data, balancer_counters& counters);
    ~balancer_worker();

    /** Opens the envelope socket and starts the thread. Errors: invalid_settings. */
    failure start();

    /** Replaces the view and starts polling its new sockets. Thread-safe. */
    void set_view(const std::shared_ptr<const balancer_view>& view);

    /** Stops and joins the thread. */
    void stop();

private:
    void run();
    void relay_from_callers(service_id service, int fd, const balancer_view& view);
    void relay_to_callers(const balancer_view& view);
    void relay_to_agent(service_id service, std::size_t index, const balancer_view& view);
    void flush_to_agents();

    endpoint data_address_;
    balancer_counters& counters_;
    unique_fd data_socket_;
    unique_fd epoll_;
    std::shared_ptr<const balancer_view> view_; ///< Use std::atomic_load and std::atomic_store.
    std::atomic<bool> is_stopping_{false};
    receive_batch received_;
    send_batch to_agents_;
    send_batch to_callers_;
    std::thread thread_;
};

} // namespace carawayshelf
