#pragma once

#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_consensus/consensus_core.hpp"
#include "carawayshelf_consensus/membership_manager.hpp"
#include "memory_log_store.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace carawayshelf::fakes
{

/** Events in a history of control instances and operators. */
enum class control_step_kind
{
    act_as_operator, ///< An operator reads, puts or resends.
    advance,
    crash,
    crash_on_next_write,
    stall_disk, ///< The next sync takes up to 3 s and blocks the instance.
    restart,
    lose_disk, ///< Only if the leader reports that it is safe.
    replace,   ///< Like lose_disk; the new instance has another address.
    terminate, ///< A planned stop: the instance ends once it has left the voters or needn't.
    cut_one_way,
    isolate,
    heal,
    freeze,
    unfreeze,
    many_changes,
    count
};

struct control_step
{
    control_step_kind kind = control_step_kind::advance;
    std::uint32_t random_value = 0;
};

/** How the control instances of a history know each other. */
enum class control_membership
{
    listed,    ///< By a fixed list; one of them bootstraps the cluster.
    discovered ///< Seeds start the cluster together; others join and replace lost ones.
};

/** Which disks a history may lose. */
enum class control_losses
{
    safe_ones, ///< Only if the leader reports that it is safe. A leader must remain in the end.
    any        ///< Also more than the cluster bears: it may stop, but not forget or split.
};

/** Faults that a test can inject to show that the checks detect them. */
struct injected_control_faults
{
    bool sync_skipped = false;
    bool vote_not_persisted = false;
    bool old_identity_votes = false;
    bool stale_read_served = false;
    bool sent_before_synced = false;
    bool living_identity_reported_lost = false;
};

/** Simulates control instances with fake disks, network and clock, and operators that change one
    catalogue entry concurrently. Checks that the operators' history is linearizable, that all
    instances commit the same record at each index, and that each term has at most one leader. */
class control_simulation
{
public:
    control_simulation(std::uint64_t seed, std::size_t instances, injected_control_faults faults,
                       control_membership membership = control_membership::listed,
                       control_losses losses = control_losses::safe_ones);
    ~control_simulation();

    /** Runs the steps until the first violation. If there is none, heals the cluster and checks the
        history. Injected faults stay in effect. */
    void run(const std::vector<control_step>& steps);

    /** Returns the first violation, or an empty text. */
    const std::string& violation() const
    {
        return violation_;
    }

    /** Returns the number of accepted puts. */
    std::uint64_t accepted() const
    {
        return accepted_;
    }

private:
    struct pending_call
    {
        std::size_t operation = 0;
        std::uint64_t attempt = 0;
        term_number term = 0;
    };

    struct instance
    {
        instance_slot slot = 0;
        std::unique_ptr<memory_log_store> disk;
        std::unique_ptr<consensus_core> core; ///< Null while the instance is down.
        std::unique_ptr<membership_manager> manager;
        cluster_state state;
        bool is_frozen = false;
        bool is_stopping = false;
        time_point stopping_since;
        bool crashes_on_next_write = false;
        duration next_sync{0};                   ///< Duration of the next sync.
        time_point stalled_until;                ///< When the stalled sync ends.
        std::optional<consensus_output> stalled; ///< Output whose sync is stalled.

        /** Whether the instance is frozen or waits for a stalled sync. */
        bool is_blocked() const
        {
            return is_frozen || stalled.has_value();
        }
        std::map<log_index, pending_call> proposals;
        std::map<read_id, pending_call> reads;
    };

    /** One operation of an operator, from the first attempt to the reply. */
    struct operation
    {
        std::uint64_t number = 0;
        bool is_put = false;
        std::string owner; ///< Content that a put writes; unique for each put.
        change edit;
        std::uint64_t expected = 0;
        std::uint64_t attempt = 0;
        time_point sent_at;
        std::uint64_t start_event = 0; ///< Position in the order of events.
        std::uint64_t end_event = 0;   ///< Zero while the operation is open.
        bool was_accepted = false;
        std::uint64_t version = 0; ///< Version that a put wrote or a read saw.
        std::string seen_owner;
    };

    struct operator_state
    {
        std::optional<std::size_t> open; ///< Index of the operation under way, if any.
        std::uint64_t known_version = 0;
    };

    void take_step(const control_step& step);
    void start(instance& item);
    void crash(instance& item);
    void end_if_stopped(instance& item);
    void lose_disk(instance& item, bool at_another_address);
    void advance_to(time_point until);
    void process_output(instance& item);
    void end_stall(instance& item);
    void carry_out(instance& item, const consensus_output& output);
    bool store(instance& item, const consensus_output& output);
    void apply(instance& item, const log_record& record);
    void take_snapshot(instance& item);
    void note_replaced_identities(instance& item, const instance& known);
    void send(const instance& from, const message& value);
    bool query_safe_to_lose_one();
    void act_as_operator(std::size_t operator_index, std::uint32_t random_value);
    void submit(std::size_t operation_index, instance& to);
    void answer(std::size_t operation_index, std::uint64_t attempt, const change_result& result);
    void answer_read(std::size_t operation_index, std::uint64_t attempt,
                     const cluster_state& state);
    void check_leaders();
    void check_history();
    void heal_and_check();
    instance* leader();
    void fail(const std::string& description);
    std::uint32_t random(std::uint32_t below);

    injected_control_faults faults_;
    control_membership membership_;
    control_losses losses_;
    std::size_t stated_losses_; ///< As in the settings; zero if they don't state how many.
    instance_slot last_slot_ = 0;
    std::mt19937_64 random_;
    time_point now_{};
    std::vector<instance> instances_;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
    std::multimap<time_point, std::pair<std::size_t, message>> network_;
    std::map<log_index, std::string> committed_; ///< The record first committed at each index.
    std::map<term_number, instance_id> leaders_;
    std::vector<operation> operations_;
    std::vector<operator_state> operators_;
    std::uint64_t next_event_ = 1;
    std::uint64_t accepted_ = 0;
    bool safe_to_lose_one_ = false;
    std::string violation_;
};

} // namespace carawayshelf::fakes
