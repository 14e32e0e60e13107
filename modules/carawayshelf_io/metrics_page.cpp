#include "carawayshelf_io/metrics_page.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <utility>

namespace carawayshelf
{

namespace
{

/** Converts samples to the metric families of prometheus-cpp. */
std::vector<prometheus::MetricFamily> collect_families(const std::vector<metric_sample>& samples)
{
    std::map<std::string, prometheus::MetricFamily> families;
    for (const metric_sample& sample : samples)
    {
        prometheus::MetricFamily& family = families[sample.metric];
        family.name = "carawayshelf_" + sample.metric;
        family.type =
            sample.is_counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
        prometheus::ClientMetric metric;
        if (!sample.reason.empty())
        {
            metric.label.push_back({"reason", sample.reason});
        }
        if (!sample.request_class.empty())
        {
            metric.label.push_back({"class", sample.request_class});
        }
        metric.counter.value = sample.value;
        metric.gauge.value = sample.value;
        family.metric.push_back(metric);
    }
    std::vector<prometheus::MetricFamily> collected;
    collected.reserve(families.size());
    for (const auto& [name, family] : families)
    {
        collected.push_back(family);
    }
    return collected;
}

} // namespace

metrics_page::metrics_page(boost::asio::io_context& io)
    : server_(io,
              [this](const http_request& /*request*/, const http_responder& respond)
              {
                  respond(
                      {200, "text/plain; version=0.0.4",
                       prometheus::TextSerializer().Serialize(collect_families(read_samples_()))});
              })
{
}

failure metrics_page::start(const endpoint& address, source read)
{
    if (address.is_none())
    {
        return {};
    }
    read_samples_ = std::move(read);
    if (const failure failed = server_.start(address))
    {
        return make_failure(error_kind::invalid_settings, "[metrics] address: " + failed.detail);
    }
    return {};
}

} // namespace carawayshelf
