#include "carawayshelf_io/metrics_page.hpp"

#include <prometheus/collectable.h>
#include <prometheus/exposer.h>
#include <prometheus/metric_family.h>

#include <map>
#include <utility>

namespace carawayshelf
{

/** Turns samples into the library's metric families. */
class metrics_page::collector : public prometheus::Collectable
{
public:
    explicit collector(source read) : read_(std::move(read))
    {
    }

    std::vector<prometheus::MetricFamily> Collect() const override
    {
        std::map<std::string, prometheus::MetricFamily> families;
        for (const metric_sample& sample : read_())
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

private:
    source read_;
};

struct metrics_page::exposer_holder
{
    explicit exposer_holder(const std::string& address) : exposer(address, 1)
    {
    }

    prometheus::Exposer exposer;
};

metrics_page::metrics_page() = default;
metrics_page::~metrics_page() = default;

failure metrics_page::start(const endpoint& address, source read)
{
    if (address.is_none())
    {
        return {};
    }
    try
    {
        exposer_ = std::make_unique<exposer_holder>(to_string(address));
    }
    catch (const std::exception& error)
    {
        return make_failure(error_kind::invalid_settings,
                            "[metrics] address is '" + to_string(address) + "', which can't be " +
                                "bound: choose a free one (" + error.what() + ")");
    }
    collector_ = std::make_shared<collector>(std::move(read));
    exposer_->exposer.RegisterCollectable(collector_);
    return {};
}

} // namespace carawayshelf
