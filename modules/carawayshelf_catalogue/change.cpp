#include "carawayshelf_catalogue/change.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carawayshelf
{

namespace
{

constexpr std::uint64_t change_id_seed = 0x6564697473ULL;

/** Serializes an operator's change; the text differs if content, operator or expected version do.
 */
struct canonical_text
{
    std::string operator()(const put_service& edit) const
    {
        const service_entry& entry = edit.entry;
        const service_limits& limits = entry.limits;
        std::string text = "put|" + edit.operator_name + '|' +
                           std::to_string(edit.expected_version) + '|' + entry.name + '|' +
                           entry.owner + '|' + to_string(entry.address) + '|' +
                           std::to_string(static_cast<int>(entry.traffic_class));
        for (const std::uint32_t limit :
             {limits.max_in_flight, limits.server_slots, limits.server_queue, limits.server_flows,
              limits.ramp_start_per_s, limits.ramp_ms})
        {
            text += '|' + std::to_string(limit);
        }
        return text;
    }

    std::string operator()(const remove_service& edit) const
    {
        return "remove|" + edit.operator_name + '|' + std::to_string(edit.expected_version) + '|' +
               edit.name;
    }

    std::string operator()(const set_domain_state& edit) const
    {
        return std::string(edit.out ? "out|" : "in|") + edit.operator_name + '|' +
               std::to_string(edit.expected_version) + '|' + edit.domain;
    }

    template <typename Other>
    std::string operator()(const Other& /*edit*/) const
    {
        return {};
    }
};

} // namespace

change_id id_of(const change& edit)
{
    if (const put_service* put = std::get_if<put_service>(&edit))
    {
        return put->id;
    }
    if (const remove_service* remove = std::get_if<remove_service>(&edit))
    {
        return remove->id;
    }
    if (const set_domain_state* domain_change = std::get_if<set_domain_state>(&edit))
    {
        return domain_change->id;
    }
    return 0;
}

void derive_id(change& edit)
{
    const std::string text = std::visit(canonical_text{}, edit);
    const change_id id = XXH3_64bits_withSeed(text.data(), text.size(), change_id_seed);
    if (put_service* put = std::get_if<put_service>(&edit))
    {
        put->id = id;
    }
    if (remove_service* remove = std::get_if<remove_service>(&edit))
    {
        remove->id = id;
    }
    if (set_domain_state* domain_change = std::get_if<set_domain_state>(&edit))
    {
        domain_change->id = id;
    }
}

} // namespace carawayshelf
