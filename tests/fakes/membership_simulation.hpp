#pragma once

#include "carawayshelf_consensus/consensus_core.hpp"
#include "carawayshelf_consensus/membership_manager.hpp"
#include "memory_log_store.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawayshelf::fakes
{

/** Control instances that discover each other, with fake disks, network and clock, whose machines
    are lost and replaced at exact times. An instance is named by its position in the order in which
    they were added, from zero. Preconditions of all calls: the instance exists. */
class membership_simulation
{
public:
    /** @param instances         number that start a cluster together
        @param tolerated_losses  as in the settings; zero if not stated */
    membership_simulation(std::size_t instances, std::size_t tolerated_losses);

    /** Adds an instance with an empty disk in a slot of its own. Returns its position. */
    std::size_t add();

    /** Ends an instance without notice; its disk stays. The others see its connections closed. */
    void kill(std::size_t position);

    /** Stops an instance without closing its connections, as when its machine loses power or is
        frozen; its disk stays. */
    void silence(std::size_t position);

    /** Announces the planned stop of an instance, which ends once it has left the voters or
        needn't, or after 3 s, as control_daemon does. Its disk stays. */
    void terminate(std::size_t position);

    bool is_running(std::size_t position) const;

    /** Starts an instance that doesn't run. */
    void start(std::size_t position);

    /** Kills an instance and empties its disk; start() gives it a new identity. */
    void lose_disk(std::size_t position);

    void run(duration span);

    /** Proposes a payload at the leader. Returns whether it is committed within a span. */
    bool write(duration within);

    /** Whether some instance leads, can commit, and holds all payloads that write() confirmed. */
    bool serves_all_written();

    /** Positions of the voters, by the leader; empty without one. */
    std::vector<std::size_t> voters() const;

    /** Position of the leader with the highest term, if there is one. */
    std::optional<std::size_t> leader() const;

private:
    struct instance
    {
        instance_slot slot = 0;
        std::unique_ptr<memory_log_store> disk;
        std::unique_ptr<consensus_core> core; ///< Null while the instance doesn't run.
        std::unique_ptr<membership_manager> manager;
        std::vector<std::string> applied;
        bool is_stopping = false;
        time_point stopping_since;
        bool has_closed_connections = true; ///< While it doesn't run.
        time_point stopped_at;
    };

    struct delivery
    {
        std::size_t to = 0;
        message value;
    };

    std::uint64_t next_identity_bits();
    void step();
    void end_if_stopped(std::size_t position);
    void exchange_identities();
    static void note_replaced_identities(instance& item, const instance& other);
    void process_output(instance& item);
    void stop(std::size_t position, bool closes_connections);

    std::size_t tolerated_losses_;
    time_point now_{std::chrono::seconds(1000)};
    std::vector<instance> instances_;
    std::multimap<time_point, delivery> network_;
    std::vector<std::string> written_;
    std::uint64_t last_payload_ = 0;
    std::uint64_t last_identity_bits_ = 1;
};

} // namespace carawayshelf::fakes
