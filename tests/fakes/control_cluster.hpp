#pragma once

#include "carawayshelf_io/control_client.hpp"
#include "carawayshelf_io/control_server.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>

namespace carawayshelf::fakes
{

inline constexpr std::uint32_t first_address = 0x7F000C01;

/** Returns a currently free port, so that parallel test runs don't collide. */
inline std::uint16_t free_port()
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor probe(
        io, {boost::asio::ip::address_v4(first_address), std::uint16_t{0}});
    return probe.local_endpoint().port();
}

/** Control instances in one io_context, each with its own address and data folder: three that start
    together, and others that are added later. */
struct cluster
{
    explicit cluster(std::uint32_t snapshot_every = control_settings{}.snapshot_every)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "carawayshelf-XXXXXX");
        folder = ::mkdtemp(pattern.data());
        for (std::uint32_t i = 0; i < 3; ++i)
        {
            control_settings settings;
            settings.discovers_peers = true;
            settings.is_first_start = true;
            settings.slot = first_address + i;
            settings.address = {first_address + i, control_port};
            settings.data_folder = folder + "/" + std::to_string(i);
            settings.domains = {"cuyo-a"};
            settings.snapshot_every = snapshot_every;
            for (std::uint32_t j = 0; j < 3; ++j)
            {
                settings.peers.push_back({first_address + j, control_port});
            }
            all_settings.push_back(settings);
            servers.emplace_back();
            start(i);
        }
    }

    ~cluster()
    {
        servers.clear();
        std::filesystem::remove_all(folder);
    }

    void start(std::size_t index)
    {
        servers[index] = std::make_unique<control_server>(io, all_settings[index]);
        BOOST_REQUIRE(!servers[index]->start());
    }

    /** Starts another instance with an empty data folder, and waits until it votes. Returns its
        index. */
    std::size_t add_instance()
    {
        control_settings settings = all_settings.front();
        settings.is_first_start = false;
        settings.slot = first_address + static_cast<std::uint32_t>(all_settings.size());
        settings.address = {settings.slot, control_port};
        settings.data_folder = folder + "/" + std::to_string(all_settings.size());
        all_settings.push_back(settings);
        servers.emplace_back();
        start(servers.size() - 1);
        BOOST_REQUIRE(run_until([this, &settings] { return is_voter(settings.slot); }));
        return servers.size() - 1;
    }

    /** Ends an instance for good, without a planned stop. */
    void kill(std::size_t index)
    {
        servers[index].reset();
    }

    /** Slots of the voters, as the leader reports them. */
    std::set<instance_slot> voters()
    {
        std::set<instance_slot> slots;
        const std::unique_ptr<buffers::reply_object> reply = call(leader(), request_kind::status);
        if (reply && reply->state)
        {
            for (const std::unique_ptr<buffers::instance_status_object>& instance :
                 reply->state->instances)
            {
                slots.insert(instance->slot);
            }
        }
        return slots;
    }

    bool is_voter(instance_slot slot)
    {
        return voters().count(slot) != 0;
    }

    /** Runs for a while. */
    void run_for(std::chrono::milliseconds span)
    {
        io.restart();
        io.run_for(span);
    }

    /** Runs until a condition holds, for about 10 s at most. Returns whether it holds. */
    bool run_until(const std::function<bool()>& condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i)
        {
            io.restart();
            io.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    operator_result replace(std::size_t at, std::uint64_t version, const std::string& content)
    {
        traffic_configuration configuration;
        configuration.version = version;
        configuration.content = content;
        operator_result outcome;
        bool is_done = false;
        servers[at]->replace(configuration,
                             [&](const operator_result& result)
                             {
                                 outcome = result;
                                 is_done = true;
                             });
        BOOST_TEST(run_until([&is_done] { return is_done; }));
        return outcome;
    }

    /** Repeats a replacement until it is accepted, as operators do. */
    bool replace_until_accepted(std::size_t at, std::uint64_t version, const std::string& content)
    {
        for (int i = 0; i < 200; ++i)
        {
            if (replace(at, version, content).error == error_kind::none)
            {
                return true;
            }
            io.restart();
            io.run_for(std::chrono::milliseconds(20));
        }
        return false;
    }

    /** Waits until an instance is the leader and returns its index. */
    std::size_t leader()
    {
        std::size_t found = 0;
        BOOST_REQUIRE(run_until(
            [this, &found]
            {
                for (std::size_t i = 0; i < servers.size(); ++i)
                {
                    if (!servers[i])
                    {
                        continue;
                    }
                    for (const metric_sample& sample : servers[i]->samples())
                    {
                        if (sample.metric == "control_is_leader" && sample.value == 1.0)
                        {
                            found = i;
                            return true;
                        }
                    }
                }
                return false;
            }));
        return found;
    }

    /** Makes each later snapshot of a follower fail, as on a full disk, and replaces the
        configuration so that it notices. Precondition: each record is followed by a snapshot.
        Returns the follower's index. */
    std::size_t fill_disk_of_follower(std::uint64_t version)
    {
        const std::size_t leading = leader();
        const std::size_t follower = (leading + 1) % 3;
        const std::uint64_t failures_before = storage_failures(follower);
        const std::string& data_folder = all_settings[follower].data_folder;
        std::filesystem::rename(data_folder, data_folder + ".kept");
        std::ofstream(data_folder) << "not a folder";
        BOOST_TEST(replace_until_accepted(leading, version, "full"));
        BOOST_REQUIRE(run_until([&] { return storage_failures(follower) > failures_before; }));
        return follower;
    }

    /** Reverses fill_disk_of_follower(). */
    void empty_disk(std::size_t index)
    {
        const std::string& data_folder = all_settings[index].data_folder;
        std::filesystem::remove(data_folder);
        std::filesystem::rename(data_folder + ".kept", data_folder);
    }

    std::uint64_t storage_failures(std::size_t index) const
    {
        for (const metric_sample& sample : servers[index]->samples())
        {
            if (sample.metric == "control_storage_failures_total")
            {
                return static_cast<std::uint64_t>(sample.value);
            }
        }
        return 0;
    }

    /** Opens a connection to an instance, as a daemon or an operator does. */
    std::shared_ptr<frame_connection> connect(std::size_t index,
                                              frame_connection::frame_handler on_frame,
                                              frame_connection::close_handler on_close)
    {
        boost::asio::ip::tcp::socket socket(io);
        socket.connect(to_asio(all_settings[index].address));
        std::shared_ptr<frame_connection> connection =
            std::make_shared<frame_connection>(std::move(socket));
        connection->start(std::move(on_frame), std::move(on_close));
        return connection;
    }

    /** Sends a request to an instance and returns its reply; nothing if there is none within 1 s.
     */
    std::unique_ptr<buffers::reply_object> call(std::size_t index, request_kind kind)
    {
        std::unique_ptr<buffers::reply_object> reply;
        const std::shared_ptr<frame_connection> connection = connect(
            index, [&reply](frame& received) { reply = std::move(received.client_reply); },
            [](const failure& /*why*/) {});
        frame sent;
        sent.client_request = std::make_unique<buffers::request_object>();
        sent.client_request->kind = static_cast<std::uint8_t>(kind);
        connection->send(sent);
        for (int i = 0; i < 100 && !reply; ++i)
        {
            io.restart();
            io.run_for(std::chrono::milliseconds(10));
        }
        connection->close({});
        return reply;
    }

    /** Sends an order about a failure domain to an instance over HTTP's interface, and repeats it
        until it is accepted. Returns whether it is. */
    bool order_until_accepted(std::size_t at, const std::string& domain, bool out)
    {
        for (int i = 0; i < 200; ++i)
        {
            operator_result outcome;
            bool is_done = false;
            servers[at]->set_domain_out(
                domain, out, [] { return true; },
                [&](const operator_result& result)
                {
                    outcome = result;
                    is_done = true;
                });
            BOOST_TEST(run_until([&is_done] { return is_done; }));
            if (outcome.error == error_kind::none)
            {
                return true;
            }
            io.restart();
            io.run_for(std::chrono::milliseconds(20));
        }
        return false;
    }

    /** Whether a failure domain is out of service. */
    bool is_out(const std::string& domain)
    {
        const std::unique_ptr<buffers::reply_object> reply =
            call(leader(), request_kind::list_domains);
        BOOST_REQUIRE(reply);
        return std::any_of(reply->domains.begin(), reply->domains.end(),
                           [&domain](const std::unique_ptr<buffers::domain_state_object>& known)
                           { return known->name == domain && known->out; });
    }

    /** Sends a frame to an instance and runs for a while. Returns the reply to its request, if
        there is one. */
    std::unique_ptr<buffers::reply_object> exchange(std::size_t index, const frame& sent)
    {
        std::unique_ptr<buffers::reply_object> reply;
        const std::shared_ptr<frame_connection> connection = connect(
            index,
            [&reply](frame& received)
            {
                if (received.client_reply)
                {
                    reply = std::move(received.client_reply);
                }
                if (received.forwarded_reply)
                {
                    reply = std::move(received.forwarded_reply);
                }
            },
            [](const failure& /*why*/) {});
        connection->send(sent);
        for (int i = 0; i < 100 && !reply; ++i)
        {
            io.restart();
            io.run_for(std::chrono::milliseconds(10));
        }
        connection->close({});
        return reply;
    }

    bool is_safe_to_lose_one(std::size_t index)
    {
        const std::unique_ptr<buffers::reply_object> reply = call(index, request_kind::status);
        return reply && reply->state && reply->state->safe_to_lose_one;
    }

    operator_result read(std::size_t at)
    {
        operator_result outcome;
        bool is_done = false;
        servers[at]->read(
            [&](const operator_result& result)
            {
                outcome = result;
                is_done = true;
            });
        BOOST_TEST(run_until([&is_done] { return is_done; }));
        return outcome;
    }

    boost::asio::io_context io;
    std::uint16_t control_port = free_port();
    std::string folder;
    std::vector<control_settings> all_settings;
    std::vector<std::unique_ptr<control_server>> servers;
};

/** Several balancers, each of which starts at a random one of the given control instances. */
class daemon_fleet
{
public:
    static constexpr std::size_t size = 16;

    /** @param held  generation that they hold from an earlier connection */
    daemon_fleet(boost::asio::io_context& io, const std::vector<endpoint>& instances,
                 generation held)
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            const auto report = [i, held]
            {
                daemon_report value;
                value.name = "balancer-" + std::to_string(i);
                value.held = held;
                return value;
            };
            const auto on_update = [this](const table_update& update)
            {
                ++updates_;
                complete_tables_ += update.complete ? 1 : 0;
            };
            clients_.push_back(std::make_unique<control_client>(io, instances, report, on_update));
            clients_.back()->set_confirmation_handler(
                [this, i](time_point asked_at)
                {
                    const duration age = steady_now() - asked_at;
                    if (age >= duration(0) && age < std::chrono::minutes(1))
                    {
                        confirmed_.insert(i);
                    }
                });
        }
    }

    void start()
    {
        for (const std::unique_ptr<control_client>& client : clients_)
        {
            client->start();
        }
    }

    void set_configured_instances(const std::vector<endpoint>& instances)
    {
        for (const std::unique_ptr<control_client>& client : clients_)
        {
            client->set_configured_instances(instances);
        }
    }

    void set_unreachable_handler(const std::function<void()>& on_unreachable)
    {
        for (const std::unique_ptr<control_client>& client : clients_)
        {
            client->set_unreachable_handler(on_unreachable);
        }
    }

    /** Number of tables and changes of them received. */
    std::size_t updates() const
    {
        return updates_;
    }

    /** Number of complete tables received. */
    std::size_t complete_tables() const
    {
        return complete_tables_;
    }

    /** Number of daemons whose instance confirmed contact with a leader. */
    std::size_t confirmed() const
    {
        return confirmed_.size();
    }

private:
    std::size_t updates_ = 0;
    std::size_t complete_tables_ = 0;
    std::set<std::size_t> confirmed_;
    std::vector<std::unique_ptr<control_client>> clients_; ///< Last: their handlers use the above.
};

} // namespace carawayshelf::fakes
