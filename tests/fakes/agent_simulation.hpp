#pragma once

#include "carawayshelf_admission/agent_core.hpp"
#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_catalogue/subscriber_table.hpp"

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

/** An event in a history of agents, balancers, servers and callers. */
enum class step_kind
{
    call_get,
    call_post,
    call_retransmit, ///< A caller sends its last datagram again.
    advance,
    sync_agent,
    sync_balancer,
    report, ///< An agent reports its state and empty buckets to control.
    join,
    drain,
    leave,
    crash_agent,
    restart_server,
    restart_agent, ///< Planned: the next process restores the exported state.
    freeze_agent,
    resume_agent,
    domain_out,
    domain_in,
    edit_entry,
    long_pause,
    count
};

/** One step; the selector chooses the caller, agent, balancer or domain. */
struct history_step
{
    step_kind kind = step_kind::advance;
    std::uint32_t selector = 0;
};

/** Faults that a test can inject to show that the checks detect them. Each breaks a rule of
    docs/DESIGN.md. */
struct injected_agent_faults
{
    bool release_any_empty_bucket = false;       ///< Agents report them at the newest generation.
    bool visit_ignores_generation = false;       ///< A visit is valid at any row generation.
    bool restart_adopts_without_control = false; ///< A restarted agent keeps its table and id.
    bool balancer_answers_not_run = false;       ///< Balancers answer some requests themselves.
    bool echo_of_other_epoch_accepted = false;   ///< All epochs have the same secret.
};

/** Simulates agent cores, balancer tables, backend servers and callers in virtual time, with a
    network that loses, duplicates and reorders datagrams, and checks invariants.

    The checks compare with a simple model with complete knowledge: a map from each flow to the
    member that serves it.
*/
class agent_simulation : public agent_port
{
public:
    agent_simulation(std::uint64_t seed, injected_agent_faults faults);
    ~agent_simulation() override;

    void run(const std::vector<history_step>& steps);

    /** Returns the first violation of an invariant; empty if there is none. */
    const std::string& violation() const
    {
        return violation_;
    }

    std::uint64_t served() const
    {
        return served_;
    }

    std::uint64_t refused() const
    {
        return refused_;
    }

private:
    struct backend_server
    {
        std::uint64_t incarnation = 0;
        time_point started;
        std::size_t requests_since_start = 0;
    };

    struct agent_slot
    {
        std::size_t number = 0;
        std::unique_ptr<agent_counters> counters;
        std::unique_ptr<agent_core> core; ///< Empty if no agent runs.
        subscriber_table table;
        member_id member = 0;
        bool is_frozen = false;
        bool is_draining = false;
        time_point unresponsive_since;
        time_point synced_at;
        backend_server server;
        std::set<std::pair<std::uint64_t, std::uint16_t>> running;
        std::uint64_t epoch = 0;
    };

    struct model_flow
    {
        member_id holder = 0; ///< Member that served it last.
        bool was_placed = false;
        generation since = 0; ///< Generation at which it was adopted there.
        time_point last_activity;
        std::set<member_id> bucket_owners; ///< Owners of its bucket since it was adopted.
    };

    struct caller
    {
        flow_key flow;
        std::uint16_t next_id = 1;
        std::string last_datagram;
        std::string order_id;
        bool is_post = false;
        std::uint16_t message_id = 0;
        bool is_waiting = false;
    };

    struct delivery
    {
        enum class target
        {
            balancer,
            agent,
            caller,
            server,
            agent_from_server
        };
        target to = target::balancer;
        std::size_t index = 0;
        envelope header;
        std::string datagram;
        std::uint64_t incarnation = 0;
    };

    void send_envelope(const endpoint& to, const envelope& header,
                       std::string_view datagram) override;
    void send_to_server(const flow_key& key, std::string_view datagram) override;
    void close_flow(const flow_key& key) override;

    void apply_step(const history_step& step);
    void call(caller& from, bool is_post);
    void send_from_caller(const caller& from);
    void advance_to(time_point until);
    void deliver(const delivery& item);
    void deliver_to_balancer(const delivery& item);
    void deliver_to_agent(agent_slot& slot, delivery item);
    void deliver_to_caller(caller& to, const std::string& datagram);
    void deliver_to_server(agent_slot& slot, const delivery& item);
    void check_run(agent_slot& slot, const flow_key& flow, const coap_message& request);
    void check_holder(const agent_slot& slot, const flow_key& flow, bool is_owner);
    void check_counters(const agent_slot& slot);
    void schedule_delivery(duration delay, delivery item, bool may_lose);
    void join(agent_slot& slot);
    void crash(agent_slot& slot);
    void restart_planned(agent_slot& slot);
    void retire_expired();
    void retire(member_id member);
    void sync_agent(agent_slot& slot);
    void sync_balancer(std::size_t index);
    void report(agent_slot& slot);
    change_result apply(const change& edit);
    void record_owners();
    bool is_lost(member_id member, generation since) const;
    bool is_unaware_of_domain_out(const agent_slot& slot) const;
    void check_domain_in_service(const agent_slot& slot);
    std::string domain_of(const agent_slot& slot) const;
    void fail(const std::string& what);
    std::uint32_t random(std::uint32_t below);
    const service_state* service() const;

    injected_agent_faults faults_;
    std::mt19937_64 random_;
    time_point now_{};
    generation generation_ = 0;
    cluster_state cluster_state_;
    std::vector<agent_slot> agents_;
    std::vector<routing_table> balancers_;
    std::vector<caller> callers_;
    std::multimap<time_point, delivery> network_;
    std::size_t active_agent_ = 0;
    std::map<std::uint64_t, model_flow> flows_;
    /** Generation at which a member last crashed or was retired, or its domain was taken out. */
    std::map<member_id, generation> lost_members_;
    std::map<std::string, generation> domain_out_at_;
    std::map<std::string, std::size_t> run_count_by_order_;
    std::set<std::pair<std::uint64_t, std::uint16_t>> run_messages_;
    std::set<std::pair<std::uint64_t, std::uint16_t>> refused_messages_;
    std::uint64_t next_epoch_ = 1;
    std::uint64_t served_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t next_order_ = 1;
    std::string violation_;
};

} // namespace carawayshelf::fakes
