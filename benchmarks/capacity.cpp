/** @file
    Measures state, messages and processor time per service, flow and daemon at several sizes, and
    prints the tables of docs/CAPACITY.md, extrapolated to the users' target size.
*/
#include "sample_state.hpp"

#include "carawayshelf_admission/agent_core.hpp"
#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_io/control_protocol.hpp"
#include "carawayshelf_io/file_log_store.hpp"
#include "carawayshelf_wire/state_codec.hpp"

#include <ctime>
#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <string>

namespace carawayshelf::benchmarks
{

namespace
{

constexpr double target_services = 2300;
constexpr double target_servers = 9000;
constexpr double target_daemons = 1800;
constexpr double target_flows = 33e6;
constexpr double target_new_flows_per_s = 93000;
constexpr double target_changes_per_day = 2500;
constexpr double target_failures_per_day = 56;
constexpr double target_restarts_per_day = 1700;
constexpr double control_instances = 9;
constexpr double heartbeats_per_s = 4;
constexpr double digests_per_s = 4;
constexpr double seconds_per_day = 86400;
constexpr double bytes_per_mebibyte = 1024.0 * 1024.0;

double heap_bytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double processor_seconds()
{
    timespec used{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

/** Mean processor time of one call in seconds, over calls that take 0.2 s together. */
double processor_time(const std::function<void()>& work)
{
    const double start = processor_seconds();
    double end = start;
    double calls = 0;
    while (end - start < 0.2)
    {
        work();
        ++calls;
        end = processor_seconds();
    }
    return (end - start) / calls;
}

class null_port : public agent_port
{
public:
    void send_envelope(const endpoint& /*to*/, const envelope& /*header*/,
                       std::string_view /*datagram*/) override
    {
    }

    void send_to_server(const flow_key& /*key*/, std::string_view /*datagram*/) override
    {
    }

    void close_flow(const flow_key& /*key*/) override
    {
    }
};

/** Results of the measurements, from which print_target() extrapolates. */
struct measured_costs
{
    double balancer_bytes_per_service = 0;
    double subscriber_bytes_per_service = 0;
    double build_s_per_service = 0;
    double control_bytes_per_service = 0;
    double snapshot_bytes_per_service = 0;
    double apply_s = 0;
    double update_bytes = 0;
    double encode_update_s = 0;
    double agent_bytes_per_flow = 0;
    double exchange_bytes = 0;
    double report_bytes = 0;
    double report_s = 0;
    double digest_bytes_per_daemon = 0;
    double digest_s_per_daemon = 0;
    double collect_s_per_member = 0;
    double edits_per_s_unbatched = 0;
    double edits_per_s_batched = 0;
};

/** Measures the state of control and of a balancer with four servers per service.
    @param is_settled  whether all earlier owners have released their buckets; if not, every bucket
                       lists earlier owners, as it does right after all servers have joined */
void measure_state_at(std::size_t services, bool is_settled, measured_costs& costs)
{
    const double before = heap_bytes();
    cluster_state state = make_state(services, 4);
    if (is_settled)
    {
        release_all_buckets(state);
    }
    const double control = heap_bytes() - before;
    const std::string bytes = encode_state(state);
    const double before_table = heap_bytes();
    subscriber_table table;
    table.apply(state.collect_update(0, ""));
    const double subscriber = heap_bytes() - before_table;
    const routing_table compact = table.build_routing_table();
    const double build = processor_time([&] { static_cast<void>(table.build_routing_table()); });
    const double count = static_cast<double>(services);
    std::printf("| %.0f | %.0f | %s | %.2f MB | %.2f MB | %.2f MB | %.2f MB | %.2f ms |\n", count,
                4 * count, is_settled ? "settled" : "all moving", control / bytes_per_mebibyte,
                static_cast<double>(bytes.size()) / bytes_per_mebibyte,
                subscriber / bytes_per_mebibyte,
                static_cast<double>(compact.memory_bytes()) / bytes_per_mebibyte, build * 1e3);
    costs.control_bytes_per_service = control / count;
    costs.snapshot_bytes_per_service = static_cast<double>(bytes.size()) / count;
    costs.subscriber_bytes_per_service = subscriber / count;
    costs.balancer_bytes_per_service = static_cast<double>(compact.memory_bytes()) / count;
    costs.build_s_per_service = build / count;
}

/** Measures the state at three sizes. */
void measure_state(measured_costs& costs)
{
    std::printf(
        "| services | servers | rows | control state | snapshot | balancer's copy | compact "
        "table | table build |\n|---|---|---|---|---|---|---|---|\n");
    for (const std::size_t services : {100U, 400U, 1200U})
    {
        measure_state_at(services, false, costs);
        measure_state_at(services, true, costs);
    }
    std::printf("\n");
}

/** Measures the cost of one change: an edit of a service, and the retirement of a member. */
void measure_change(measured_costs& costs)
{
    cluster_state state = make_state(400, 4);
    generation now = state.data().held;
    put_service put;
    put.entry = state.find_service("service-7")->entry;
    costs.apply_s = processor_time(
        [&]
        {
            put.expected_version = state.version_of("service-7");
            state.apply(++now, put);
        });
    double max_bytes = 0;
    for (int i = 0; i < 3; ++i)
    {
        const generation since = now;
        state.apply(++now, retire_member{static_cast<member_id>(29 + i)});
        frame sent;
        sent.update = pack_update(state.collect_update(since, ""));
        max_bytes = std::max(max_bytes, static_cast<double>(encode_frame(sent).size()));
    }
    costs.update_bytes = max_bytes;
    const generation since = now - 1;
    costs.encode_update_s = processor_time(
        [&]
        {
            frame sent;
            sent.update = pack_update(state.collect_update(since, ""));
            static_cast<void>(encode_frame(sent));
        });
}

void measure_agent(measured_costs& costs)
{
    std::printf("| flows | bytes a flow | with one remembered request each |\n|---|---|---|\n");
    const cluster_state state = make_high_flow_limit_state();
    subscriber_table table;
    table.apply(state.collect_update(0, ""));
    coap_message post;
    post.code = coap_codes::post;
    post.token = "t";
    const std::string datagram = encode_coap(post);
    for (const std::uint32_t flows : {1000U, 4000U, 16000U})
    {
        agent_counters counters;
        null_port port;
        agent_core agent(agent_settings{}, 1, port, counters);
        time_point now{std::chrono::seconds(1000)};
        agent.handle_table(now, table, "service-0", 1);
        agent.server_started(now);
        envelope header;
        header.flow.service = 1;
        header.owner.member = 1;
        const double before = heap_bytes();
        for (std::uint32_t i = 0; i < flows; ++i)
        {
            header.flow.caller = {i + 1, 40000};
            agent.receive_envelope(now, header, datagram);
        }
        const double with_exchanges = heap_bytes() - before;
        now += std::chrono::milliseconds(1500);
        // Remembered requests expire before flows do.
        for (int step = 0; step < 170; ++step)
        {
            now += std::chrono::milliseconds(1500);
            agent.tick(now);
        }
        const double flows_only = heap_bytes() - before;
        std::printf("| %u | %.0f | %.0f |\n", flows, flows_only / flows, with_exchanges / flows);
        costs.agent_bytes_per_flow = flows_only / flows;
        costs.exchange_bytes = (with_exchanges - flows_only) / flows;
    }
    std::printf("\n");
}

daemon_report make_report(std::size_t number)
{
    daemon_report report;
    report.kind = daemon_kind::agent;
    report.name = "agent-" + std::to_string(number);
    report.domain = "domain-" + std::to_string(number % 19);
    report.member = static_cast<member_id>(number);
    report.held = 123456;
    report.state = member_state::warm;
    return report;
}

void measure_leases(measured_costs& costs)
{
    frame one;
    one.lease = pack_report(make_report(7));
    costs.report_bytes = static_cast<double>(encode_frame(one).size());
    costs.report_s = processor_time(
        []
        {
            frame sent;
            sent.lease = pack_report(make_report(7));
            static_cast<void>(encode_frame(sent));
        });
    std::printf(
        "| daemons in a digest | bytes each | write and read, us each | look for lost members, "
        "us each |\n|---|---|---|---|\n");
    for (const std::size_t daemons : {100U, 400U, 1600U})
    {
        const cluster_state state = make_state(daemons / 4, 4);
        lease_table leases(std::chrono::seconds(3));
        const time_point now{std::chrono::seconds(1000)};
        leases.start(now);
        std::string bytes;
        const double spent = processor_time(
            [&]
            {
                frame sent;
                sent.digest = std::make_unique<buffers::lease_digest_object>();
                for (std::size_t i = 1; i <= daemons; ++i)
                {
                    sent.digest->leases.push_back(pack_report(make_report(i)));
                }
                bytes = encode_frame(sent);
                frame read;
                decode_frame(std::string_view(bytes).substr(frame_prefix_bytes), read);
                for (const std::unique_ptr<buffers::daemon_lease_object>& lease :
                     read.digest->leases)
                {
                    leases.note_report(now, unpack_report(*lease));
                }
            });
        const double collect =
            processor_time([&] { static_cast<void>(leases.collect_changes(now, state)); });
        const double count = static_cast<double>(daemons);
        std::printf("| %.0f | %.0f | %.2f | %.2f |\n", count,
                    static_cast<double>(bytes.size()) / count, spent / count * 1e6,
                    collect / count * 1e6);
        costs.digest_bytes_per_daemon = static_cast<double>(bytes.size()) / count;
        costs.digest_s_per_daemon = spent / count;
        costs.collect_s_per_member = collect / count;
    }
    std::printf("\n");
}

/** Returns the edits per second that a log on this disk takes.
    @param edits_per_sync  number of edits that are written with one sync */
double measure_edits(std::size_t edits_per_sync)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "carawayshelf-XXXXXX");
    const std::string folder = ::mkdtemp(pattern.data());
    file_log_store store(folder, 1);
    stored_state stored;
    store.load(stored);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    log_index index = 0;
    double elapsed = 0;
    while (elapsed < 1.0)
    {
        std::vector<log_record> records(edits_per_sync);
        for (log_record& record : records)
        {
            record.index = ++index;
            record.term = 1;
            record.kind = record_kind::payload;
            record.payload.assign(200, 'x');
        }
        store.append(records);
        store.sync();
        elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    }
    std::filesystem::remove_all(folder);
    return static_cast<double>(index) / elapsed;
}

void print_target(const measured_costs& costs)
{
    const double members_per_s =
        (target_failures_per_day * 2 + target_restarts_per_day * 4) / seconds_per_day;
    const double changes_per_s = target_changes_per_day / seconds_per_day + members_per_s;
    const double daemons = target_daemons + target_servers;
    const double daemons_each = daemons / control_instances;
    const double update_out =
        changes_per_s * costs.update_bytes * target_daemons / control_instances;
    const double heartbeat = heartbeats_per_s * costs.report_bytes;
    const double leader_cpu = digests_per_s * (daemons * costs.digest_s_per_daemon +
                                               target_servers * costs.collect_s_per_member);
    std::printf("| role | state | control messages | processor for control |\n|---|---|---|---|\n");
    std::printf("| balancer (one of %.0f) | compact table %.1f MB, copy of the tables %.1f MB | "
                "%.2f KB/s | %.2f %% of a core |\n",
                target_daemons,
                costs.balancer_bytes_per_service * target_services / bytes_per_mebibyte,
                costs.subscriber_bytes_per_service * target_services / bytes_per_mebibyte,
                (heartbeat + changes_per_s * costs.update_bytes) / 1024,
                100 * (heartbeats_per_s * costs.report_s +
                       changes_per_s * costs.build_s_per_service * target_services));
    const double flows_each = target_flows / target_servers;
    std::printf(
        "| agent (one of %.0f) | %.0f flows, %.2f MB; remembered requests %.2f MB | "
        "%.2f KB/s | %.2f %% of a core |\n",
        target_servers, flows_each, flows_each * costs.agent_bytes_per_flow / bytes_per_mebibyte,
        target_new_flows_per_s / target_servers * 247 * costs.exchange_bytes / bytes_per_mebibyte,
        heartbeat / 1024, 100 * heartbeats_per_s * costs.report_s);
    std::printf("| control, follower (one of %.0f) | %.1f MB, snapshot %.1f MB | heartbeats in "
                "%.0f KB/s, updates out %.0f KB/s, digest out %.0f KB/s | %.1f %% of a core |\n",
                control_instances,
                costs.control_bytes_per_service * target_services / bytes_per_mebibyte,
                costs.snapshot_bytes_per_service * target_services / bytes_per_mebibyte,
                daemons_each * heartbeat / 1024, update_out / 1024,
                digests_per_s * daemons_each * costs.digest_bytes_per_daemon / 1024,
                100 * (heartbeats_per_s * daemons_each * costs.digest_s_per_daemon * 2 +
                       changes_per_s * costs.encode_update_s));
    std::printf("| control, leader | the same | digests in %.0f KB/s | %.1f %% of a core |\n",
                digests_per_s * daemons * costs.digest_bytes_per_daemon / 1024, 100 * leader_cpu);
    std::printf(
        "\nchanges at the target: %.3f a second, of %.0f bytes to each balancer, %.0f us to "
        "apply, %.0f us to write an update\n",
        changes_per_s, costs.update_bytes, costs.apply_s * 1e6, costs.encode_update_s * 1e6);
    std::printf("edits a second on this disk: %.0f with a sync each, %.0f with 64 in a sync\n",
                costs.edits_per_s_unbatched, costs.edits_per_s_batched);
}

} // namespace

} // namespace carawayshelf::benchmarks

int main()
{
    using namespace carawayshelf::benchmarks;
    measured_costs costs;
    measure_state(costs);
    measure_change(costs);
    measure_agent(costs);
    measure_leases(costs);
    costs.edits_per_s_unbatched = measure_edits(1);
    costs.edits_per_s_batched = measure_edits(64);
    print_target(costs);
    return 0;
}
