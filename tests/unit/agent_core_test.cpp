/** @file
    Tests of agent_core, one request at a time.
*/
#include "carawayshelf_admission/agent_core.hpp"
#include "carawayshelf_catalogue/cluster_state.hpp"
#include "recording_port.hpp"

#include <boost/test/unit_test.hpp>

namespace carawayshelf
{

namespace
{

const endpoint balancer{0x7F000201, 7101};
const std::string name = "ordering";

/** An agent whose server has no ramp, and one caller. */
struct fixture
{
    fixture()
    {
        put_service put;
        put.entry.name = name;
        put.entry.owner = "hielo";
        put.entry.address = {0x7F000901, 5683};
        put.entry.limits.ramp_ms = 0;
        put.entry.limits.server_queue = 2;
        put.entry.traffic_class = service_class::critical;
        state.apply(1, put);
        announce_member announce{"agent-1", "cuyo-a", name, {0x7F000401, 7201}, 1};
        self = state.apply(2, announce).member;
        agent.server_started(now);
        sync();
        flow.service = state.find_service(name)->id;
        flow.caller = {0x7F000301, 40000};
    }

    void sync()
    {
        subscriber_table table;
        table.apply(state.collect_update(0, name));
        agent.handle_table(now, table, name, self);
    }

    /** Passes a caller's datagram to the agent as a balancer relays it. */
    void receive(const coap_message& sent)
    {
        const bucket_row& row = state.find_service(name)->rows[bucket_of(flow)];
        envelope header;
        header.flow = flow;
        header.reply_to = balancer;
        header.row_generation = row.changed_at;
        header.owner.member = row.owner;
        agent.receive_envelope(now, header, encode_coap(sent));
    }

    void answer_from_server(const coap_message& answer)
    {
        agent.receive_from_server(now, flow, encode_coap(answer));
    }

    coap_message request(std::uint8_t code, std::uint16_t id) const
    {
        coap_message message;
        message.code = code;
        message.message_id = id;
        message.token = "t" + std::to_string(id);
        return message;
    }

    coap_message answer_to(const coap_message& sent_request) const
    {
        coap_message message = make_empty(coap_type::acknowledgement, sent_request.message_id);
        message.code = coap_codes::content;
        message.token = sent_request.token;
        message.payload = "answer to " + sent_request.token;
        return message;
    }

    /** Returns a POST with an Echo value that this agent issued. */
    coap_message post_with_echo(std::uint16_t id)
    {
        receive(request(coap_codes::post, id));
        coap_message post = request(coap_codes::post, static_cast<std::uint16_t>(id + 1));
        post.add_option(coap_options::echo, *port.last_reply().find_option(coap_options::echo));
        return post;
    }

    time_point now{std::chrono::seconds(1000)};
    cluster_state state;
    member_id self = 0;
    agent_counters counters;
    fakes::recording_port port;
    agent_core agent{agent_settings{}, 77, port, counters};
    flow_key flow;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent, fixture)

BOOST_AUTO_TEST_CASE(a_get_is_forwarded_and_its_answer_reaches_the_caller)
{
    const coap_message get = request(coap_codes::get, 1);
    receive(get);
    BOOST_REQUIRE(port.to_server.size() == 1U);
    answer_from_server(answer_to(get));
    BOOST_TEST(port.last_reply().payload == "answer to t1");
    BOOST_TEST(to_string(port.envelopes.back().to) == to_string(balancer));
    BOOST_TEST(counters.served == 1U);
}

BOOST_AUTO_TEST_CASE(a_duplicate_gets_the_same_answer_and_no_second_run)
{
    const coap_message get = request(coap_codes::get, 1);
    receive(get);
    receive(get);
    answer_from_server(answer_to(get));
    receive(get);
    BOOST_TEST(port.to_server.size() == 1U);
    BOOST_TEST(port.last_reply().payload == "answer to t1");
    BOOST_TEST(counters.drops.get(agent_drop::duplicate_in_flight) == 1U);
    BOOST_TEST(counters.retries.get(agent_retry::answered_from_memory) == 1U);
}

BOOST_AUTO_TEST_CASE(a_post_runs_only_with_an_echo_of_this_epoch)
{
    const coap_message post = post_with_echo(1);
    BOOST_TEST(int{port.last_reply().code} == int{coap_codes::unauthorized});
    BOOST_TEST(port.to_server.empty());
    receive(post);
    BOOST_TEST(port.to_server.size() == 1U);

    coap_message foreign = request(coap_codes::post, 9);
    foreign.add_option(coap_options::echo, echo_issuer(78).issue(now, flow));
    receive(foreign);
    BOOST_TEST(port.to_server.size() == 1U);
    BOOST_TEST(int{port.last_reply().code} == int{coap_codes::gateway_timeout});
}

BOOST_AUTO_TEST_CASE(an_expired_echo_is_answered_with_outcome_unknown)
{
    const coap_message post = post_with_echo(1);
    now += echo_issuer::lifetime;
    agent.tick(now);
    sync();
    receive(post);
    BOOST_TEST(port.to_server.empty());
    BOOST_TEST(int{port.last_reply().code} == int{coap_codes::gateway_timeout});
}

BOOST_AUTO_TEST_CASE(requests_beyond_slots_and_queue_are_refused_as_not_run)
{
    for (std::uint16_t id = 1; id <= 5; ++id)
    {
        receive(request(coap_codes::get, id));
    }
    BOOST_TEST(port.to_server.size() == 2U);
    BOOST_TEST(port.last_reply().payload == "not run: queue_full");
    BOOST_TEST(port.last_reply().find_uint(coap_options::max_age).value_or(0) == 1U);
    BOOST_TEST(counters.refusals.get(refusal_reason::queue_full) == 1U);
    answer_from_server(answer_to(request(coap_codes::get, 1)));
    BOOST_TEST(port.to_server.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_request_whose_deadline_passed_in_the_queue_is_refused)
{
    receive(request(coap_codes::get, 1));
    receive(request(coap_codes::get, 2));
    coap_message short_deadline = request(coap_codes::get, 3);
    short_deadline.add_uint(coap_options::deadline, 100);
    receive(short_deadline);
    now += std::chrono::milliseconds(101);
    agent.tick(now);
    BOOST_TEST(port.last_reply().payload == "not run: deadline_passed");
    answer_from_server(answer_to(request(coap_codes::get, 1)));
    BOOST_TEST(port.to_server.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_queued_request_carries_its_remaining_deadline)
{
    receive(request(coap_codes::get, 1));
    receive(request(coap_codes::get, 2));
    coap_message with_deadline = request(coap_codes::get, 3);
    with_deadline.add_uint(coap_options::deadline, 1000);
    receive(with_deadline);
    now += std::chrono::milliseconds(400);
    answer_from_server(answer_to(request(coap_codes::get, 1)));
    const coap_message run = *parse_coap(port.to_server.back().second);
    BOOST_TEST(run.find_uint(coap_options::deadline).value_or(0) == 600U);
}

BOOST_AUTO_TEST_CASE(a_datagram_of_another_service_is_dropped)
{
    envelope header;
    header.flow = {flow.service + 1, flow.caller};
    agent.receive_envelope(now, header, encode_coap(request(coap_codes::get, 1)));
    BOOST_TEST(port.to_server.empty());
    BOOST_TEST(counters.drops.get(agent_drop::wrong_service) == 1U);
}

BOOST_AUTO_TEST_CASE(an_unmatched_answer_is_dropped)
{
    receive(request(coap_codes::get, 1));
    coap_message unmatched = answer_to(request(coap_codes::get, 7));
    answer_from_server(unmatched);
    BOOST_TEST(port.envelopes.empty());
    BOOST_TEST(counters.drops.get(agent_drop::unmatched_answer) == 1U);
}

BOOST_AUTO_TEST_CASE(observations_end_when_their_server_restarts)
{
    coap_message observe = request(coap_codes::get, 1);
    observe.add_uint(coap_options::observe, 0);
    receive(observe);
    coap_message first = answer_to(observe);
    first.add_uint(coap_options::observe, 1);
    answer_from_server(first);
    BOOST_TEST(!agent.is_idle());
    agent.server_started(now);
    BOOST_TEST(int{port.last_reply().code} == int{coap_codes::unavailable});
    BOOST_TEST(port.last_reply().token == observe.token);
    BOOST_TEST(agent.is_idle());
}

BOOST_AUTO_TEST_CASE(a_running_request_of_a_crashed_server_has_an_unknown_outcome)
{
    receive(post_with_echo(1));
    agent.server_down(now);
    BOOST_TEST(int{port.last_reply().code} == int{coap_codes::gateway_timeout});
    receive(request(coap_codes::get, 5));
    BOOST_TEST(port.last_reply().payload == "not run: server_down");
}

BOOST_AUTO_TEST_CASE(a_message_of_a_lost_flow_gets_a_reset)
{
    receive(make_empty(coap_type::confirmable, 5));
    BOOST_TEST(static_cast<int>(port.last_reply().type) == static_cast<int>(coap_type::reset));
    BOOST_TEST(port.last_reply().message_id == 5);
}

BOOST_AUTO_TEST_CASE(a_draining_agent_serves_known_flows_and_refuses_new_ones)
{
    const coap_message get = request(coap_codes::get, 1);
    receive(get);
    answer_from_server(answer_to(get));
    agent.set_draining(true);
    receive(request(coap_codes::get, 2));
    BOOST_TEST(port.to_server.size() == 2U);
    ++flow.caller.port;
    receive(request(coap_codes::get, 3));
    BOOST_TEST(port.to_server.size() == 2U);
    BOOST_TEST(port.last_reply().payload == "not run: draining");
}

BOOST_AUTO_TEST_CASE(an_agent_that_was_frozen_serves_nothing_until_control_confirms_it)
{
    agent.tick(now);
    now += std::chrono::seconds(4);
    receive(request(coap_codes::get, 1));
    BOOST_TEST(port.to_server.empty());
    BOOST_TEST(counters.drops.get(agent_drop::unconfirmed) == 1U);
    sync();
    receive(request(coap_codes::get, 1));
    BOOST_TEST(port.to_server.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_failure_domain_that_is_out_gets_no_request)
{
    receive(request(coap_codes::get, 1));
    set_domain_state domain_change;
    domain_change.domain = "cuyo-a";
    domain_change.out = true;
    domain_change.expected_version = state.data().domains.at("cuyo-a").changed_at;
    state.apply(3, domain_change);
    sync();
    receive(request(coap_codes::get, 2));
    BOOST_TEST(port.to_server.size() == 1U);
    answer_from_server(answer_to(request(coap_codes::get, 1)));
    BOOST_TEST(port.last_reply().payload == "answer to t1");
}

BOOST_AUTO_TEST_CASE(notifications_use_another_balancer_if_theirs_is_unreachable)
{
    coap_message observe = request(coap_codes::get, 1);
    observe.add_uint(coap_options::observe, 0);
    receive(observe);
    coap_message notification = answer_to(observe);
    notification.add_uint(coap_options::observe, 1);
    answer_from_server(notification);
    BOOST_TEST(to_string(port.envelopes.back().to) == to_string(balancer));

    // The agent must know another balancer: it relays a datagram of another flow.
    const endpoint other{0x7F000202, 7101};
    envelope header;
    header.flow = {flow.service, {0x7F000301, 40001}};
    header.reply_to = other;
    header.owner.member = self;
    agent.receive_envelope(now, header, encode_coap(request(coap_codes::get, 2)));
    notification.type = coap_type::non_confirmable;
    notification.message_id = 77;
    answer_from_server(notification);
    BOOST_TEST(to_string(port.envelopes.back().to) == to_string(balancer));
    agent.balancer_unreachable(balancer);
    answer_from_server(notification);
    BOOST_TEST(to_string(port.envelopes.back().to) == to_string(other));
}

BOOST_AUTO_TEST_CASE(a_planned_stop_finishes_running_and_queued_requests)
{
    for (std::uint16_t id = 1; id <= 3; ++id)
    {
        receive(request(coap_codes::get, id));
    }
    agent.begin_export();
    BOOST_TEST(!agent.is_ready_for_export());
    for (std::uint16_t id = 1; id <= 3; ++id)
    {
        BOOST_TEST(!agent.is_ready_for_export());
        answer_from_server(answer_to(request(coap_codes::get, id)));
        BOOST_TEST(port.last_reply().payload == "answer to t" + std::to_string(id));
    }
    BOOST_TEST(agent.is_ready_for_export());
    receive(request(coap_codes::get, 4));
    BOOST_TEST(port.to_server.size() == 3U);

    // The next process has the answers, and serves once it has a table from control.
    agent_counters successor_counters;
    agent_core successor(agent_settings{}, 99, port, successor_counters);
    successor.restore(now, *decode_restart_state(encode_restart_state(agent.export_state(now))));
    BOOST_TEST(successor.is_unconfirmed());
    subscriber_table table;
    table.apply(state.collect_update(0, name));
    successor.handle_table(now, table, name, self);
    envelope header;
    header.flow = flow;
    header.reply_to = balancer;
    header.owner.member = self;
    successor.receive_envelope(now, header, encode_coap(request(coap_codes::get, 2)));
    BOOST_TEST(port.last_reply().payload == "answer to t2");
    BOOST_TEST(port.to_server.size() == 3U);
}

BOOST_AUTO_TEST_CASE(every_datagram_is_counted_exactly_once)
{
    receive(request(coap_codes::get, 1));
    receive(request(coap_codes::post, 2));
    receive(make_empty(coap_type::confirmable, 5));
    agent.receive_envelope(now, envelope{}, "garbage");
    BOOST_TEST(counters.received ==
               counters.relayed + counters.answered + counters.passed + counters.dropped);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
