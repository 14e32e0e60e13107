#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/frame_counters.hpp"
#include "carawayshelf_io/http_server.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayshelf
{

/** One value of a metric, optionally with the labels reason and class. */
struct metric_sample
{
    std::string metric;
    std::string reason; ///< Value of the label `reason`; empty for none.
    double value = 0;
    bool is_counter = true;
    std::string request_class{}; ///< Value of the label `class`; empty for none.
};

/** Appends one sample per value of an enumeration, with its name as the reason. */
template <typename Names, typename Counters>
void add_reason_samples(std::vector<metric_sample>& samples, const std::string& metric,
                        const Names& names, const Counters& counters)
{
    for (std::size_t i = 0; i < Names::size(); ++i)
    {
        using enum_type = std::decay_t<decltype(*names.find(""))>;
        const enum_type reason = static_cast<enum_type>(i);
        samples.push_back(
            {metric, std::string(names.name(reason)), static_cast<double>(counters.get(reason))});
    }
}

/** Appends the number and bytes of the frames that this process has sent, by kind. */
inline void add_frame_samples(std::vector<metric_sample>& samples, const std::string& role)
{
    add_reason_samples(samples, role + "_sent_frames_total", frame_kind_names,
                       sent_frames().messages);
    add_reason_samples(samples, role + "_sent_frame_bytes_total", frame_kind_names,
                       sent_frames().bytes);
}

/** Appends the responses of an HTTP server by status. Call on the io_context's thread. */
inline void add_http_status_samples(std::vector<metric_sample>& samples, const std::string& metric,
                                    const http_server& server)
{
    for (const auto& [status, count] : server.response_counts())
    {
        samples.push_back({metric, std::to_string(status), static_cast<double>(count)});
    }
}

/** Serves the metrics of a daemon over HTTP in the Prometheus text format, on the io_context's
    thread. */
class metrics_page
{
public:
    using source = std::function<std::vector<metric_sample>()>;

    explicit metrics_page(boost::asio::io_context& io);

    /** Starts serving; does nothing if the address is none.
        @param read  called for each request
        Errors: invalid_settings if the address can't be bound. */
    failure start(const endpoint& address, source read);

private:
    source read_samples_;
    http_server server_;
};

} // namespace carawayshelf
