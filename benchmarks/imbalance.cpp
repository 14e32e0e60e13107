/** @file
    Measures the imbalance of flows over 7 backend servers with and without the second choice, and
    the number of flows that planned changes break, compared with two stateless baselines: a hash
    modulo the number of live servers, and rendezvous hashing. Runs in virtual time with a fixed
    seed.
*/
#include "carawayshelf_admission/agent_core.hpp"
#include "carawayshelf_catalogue/cluster_state.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace carawayshelf::benchmarks
{

namespace
{

const std::string service_name = "ordering";
constexpr std::uint32_t agent_address = 0x7F000400;
constexpr std::size_t flow_count_for_changes = 10000;

/** A group of agents whose envelopes to each other arrive at once and in order. */
class agent_group
{
public:
    explicit agent_group(bool use_second_choice)
    {
        settings_.use_second_choice = use_second_choice;
        settings_.server_timeout = std::chrono::hours(1);
        put_service put;
        put.entry.name = service_name;
        put.entry.owner = "owner";
        put.entry.address = {1, 1};
        put.entry.limits.server_flows = 1000000;
        put.entry.limits.ramp_ms = 0;
        apply(put);
    }

    void join(std::size_t number)
    {
        agents_.emplace(number, std::make_unique<agent>(*this, number, settings_));
        agent& added = *agents_[number];
        announce_member announce{"agent-" + std::to_string(number),
                                 number % 2 == 0 ? "a" : "b",
                                 service_name,
                                 {agent_address + static_cast<std::uint32_t>(number), 7201},
                                 number + 1};
        added.member = apply(announce).member;
        added.core.server_started(now_);
        apply(set_member_state{added.member, member_state::warm});
        sync();
    }

    void drain(std::size_t number)
    {
        agents_.at(number)->core.set_draining(true);
        apply(set_member_state{agents_.at(number)->member, member_state::draining});
        sync();
    }

    /** Sends a request in the caller's flow, which it opens if necessary. Returns the number of the
        agent that holds the flow afterwards. */
    std::size_t send(std::uint32_t caller)
    {
        const flow_key flow{1, {caller * 2654435761U, static_cast<std::uint16_t>(caller)}};
        const bucket_row& row = state_.find_service(service_name)->rows[bucket_of(flow)];
        coap_message post;
        post.code = coap_codes::post;
        post.message_id = next_id_++;
        envelope header;
        header.flow = flow;
        header.row_generation = row.changed_at;
        header.owner.member = row.owner;
        const auto owner =
            std::find_if(agents_.begin(), agents_.end(),
                         [&row](const auto& item) { return item.second->member == row.owner; });
        queue_.push_back({owner->first, header, encode_coap(post)});
        deliver();
        for (const auto& [number, item] : agents_)
        {
            if (item->core.holds(flow))
            {
                return number;
            }
        }
        return 0;
    }

    /** Advances the time, so that agents exchange their loads. */
    void tick()
    {
        now_ += std::chrono::milliseconds(100);
        for (auto& [number, item] : agents_)
        {
            item->core.tick(now_);
        }
        deliver();
    }

    std::vector<double> flows() const
    {
        std::vector<double> counts;
        for (const auto& [number, item] : agents_)
        {
            counts.push_back(static_cast<double>(item->core.flow_count()));
        }
        return counts;
    }

private:
    struct queued_envelope
    {
        std::size_t to;
        envelope header;
        std::string datagram;
    };

    struct agent : public agent_port
    {
        agent(agent_group& owner, std::size_t own_number, const agent_settings& settings)
            : group(owner), number(own_number), core(settings, own_number + 1, *this, counters)
        {
        }

        void send_envelope(const endpoint& to, const envelope& header,
                           std::string_view datagram) override
        {
            const std::size_t target = to.address - agent_address;
            if (group.agents_.count(target) != 0)
            {
                group.queue_.push_back({target, header, std::string(datagram)});
            }
        }

        void send_to_server(const flow_key& /*key*/, std::string_view /*datagram*/) override
        {
        }

        void close_flow(const flow_key& /*key*/) override
        {
        }

        agent_group& group;
        std::size_t number;
        member_id member = 0;
        agent_counters counters;
        agent_core core;
    };

    change_result apply(const change& edit)
    {
        return state_.apply(++generation_, edit);
    }

    void sync()
    {
        subscriber_table table;
        table.apply(state_.collect_update(0, ""));
        for (auto& [number, item] : agents_)
        {
            item->core.handle_table(now_, table, service_name, item->member);
        }
    }

    void deliver()
    {
        while (!queue_.empty())
        {
            const queued_envelope next = std::move(queue_.front());
            queue_.pop_front();
            agents_.at(next.to)->core.receive_envelope(now_, next.header, next.datagram);
        }
    }

    agent_settings settings_;
    cluster_state state_;
    generation generation_ = 0;
    time_point now_{std::chrono::seconds(1000)};
    std::map<std::size_t, std::unique_ptr<agent>> agents_;
    std::deque<queued_envelope> queue_;
    std::uint16_t next_id_ = 1;
};

void print_imbalance(std::size_t flows_each, bool use_second_choice)
{
    agent_group group(use_second_choice);
    for (std::size_t i = 1; i <= 7; ++i)
    {
        group.join(i);
    }
    std::mt19937 random(20261204);
    for (std::size_t i = 0; i < 7 * flows_each; ++i)
    {
        if (i % 7 == 0)
        {
            group.tick();
        }
        group.send(static_cast<std::uint32_t>(random()));
    }
    const std::vector<double> counts = group.flows();
    double sum = 0;
    double squares = 0;
    for (const double count : counts)
    {
        sum += count;
        squares += count * count;
    }
    const double mean = sum / 7;
    std::printf("| %zu | %s | %.2f | %.3f |\n", flows_each, use_second_choice ? "yes" : "no",
                *std::max_element(counts.begin(), counts.end()) / mean,
                std::sqrt(squares / 7 - mean * mean) / mean);
}

std::size_t rendezvous(std::uint32_t caller, const std::vector<std::size_t>& servers)
{
    std::size_t best = 0;
    std::uint64_t best_score = 0;
    for (const std::size_t server : servers)
    {
        const std::uint64_t score = hash_of(
            {static_cast<service_id>(server), {caller, static_cast<std::uint16_t>(caller)}});
        if (best == 0 || score > best_score)
        {
            best = server;
            best_score = score;
        }
    }
    return best;
}

std::size_t modulo_hash(std::uint32_t caller, const std::vector<std::size_t>& servers)
{
    return servers[hash_of({1, {caller, static_cast<std::uint16_t>(caller)}}) % servers.size()];
}

void print_broken_flows(const char* name, std::size_t joined, std::size_t left)
{
    std::vector<std::size_t> before = {1, 2, 3, 4, 5, 6, 7};
    std::vector<std::size_t> after = before;
    if (left != 0)
    {
        after.erase(std::find(after.begin(), after.end(), left));
    }
    if (joined != 0)
    {
        after.push_back(joined);
    }
    agent_group group(true);
    for (const std::size_t number : before)
    {
        group.join(number);
    }
    std::vector<std::size_t> holders_before;
    for (std::uint32_t caller = 1; caller <= flow_count_for_changes; ++caller)
    {
        holders_before.push_back(group.send(caller));
    }
    if (joined != 0)
    {
        group.join(joined);
    }
    if (left != 0)
    {
        group.drain(left);
    }
    std::size_t broken = 0;
    std::size_t broken_modulo = 0;
    std::size_t broken_rendezvous = 0;
    for (std::uint32_t caller = 1; caller <= flow_count_for_changes; ++caller)
    {
        broken += group.send(caller) != holders_before[caller - 1] ? 1 : 0;
        broken_modulo += modulo_hash(caller, before) != modulo_hash(caller, after) ? 1 : 0;
        broken_rendezvous += rendezvous(caller, before) != rendezvous(caller, after) ? 1 : 0;
    }
    std::printf("| %s | %zu | %zu | %zu |\n", name, broken, broken_modulo, broken_rendezvous);
}

} // namespace

} // namespace carawayshelf::benchmarks

int main()
{
    using namespace carawayshelf::benchmarks;
    std::printf("| flows a server | second choice | max/mean | coefficient of variation |\n"
                "|---|---|---|---|\n");
    for (const std::size_t flows : {20U, 200U, 2000U})
    {
        print_imbalance(flows, false);
        print_imbalance(flows, true);
    }
    std::printf("\n| change | broken of 10,000 | hash over live servers | rendezvous hash |\n"
                "|---|---|---|---|\n");
    print_broken_flows("join", 8, 0);
    print_broken_flows("drain", 0, 3);
    print_broken_flows("join and drain", 8, 3);
    return 0;
}
