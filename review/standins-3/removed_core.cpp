// A core machine is removed without SIGTERM after its successor has been in use for catch_up_s, and
// another one loses its disk at the same moment.
// Usage: removed_core PROGRAM RECORD TROUBLE, where TROUBLE is 1, 0, or one of the two alone:
// removal or disk.
#include "site.hpp"

using namespace stand;

namespace
{

constexpr ms catch_up{4000};
constexpr ms recovery{12000};

int run(const std::string& program, const std::string& record_path, bool removes, bool loses_disk)
{
    record_file record(record_path);
    std::uint32_t network = 100 + static_cast<std::uint32_t>(::getpid()) % 100;
    for (int tries = 0; !site::is_free(network) && tries < 20; ++tries)
    {
        ++network;
    }
    const std::string folder = make_folder();
    if (folder.empty())
    {
        return 2;
    }
    int result = 2;
    {
        site place(program, folder, network);
        place.daemons().log_to(record);
        const auto pause = [](ms span)
        {
            std::this_thread::sleep_for(span);
        };
        for (std::uint32_t i = 1; i <= 3; ++i)
        {
            place.start_core(i, true);
        }
        const address route{place.ip(9, 1), ports::route};
        if (!place.order("Config.Replace", configuration(7, route, "despacho"), ms(15000), record))
        {
            return 2;
        }
        pause(ms(2000));
        place.start_core(4, false);
        record.line("core-4 starts with an empty disk, the successor of core-1");
        pause(catch_up + ms(500));

        const std::string newest = configuration(8, route, "despacho");
        bool is_acknowledged = false;
        for (const moment until = now() + ms(5000); !is_acknowledged && now() < until;)
        {
            is_acknowledged = call_http({place.ip(1, 2), ports::control_plane}, "POST",
                                        "/carawayshelf/Config.Replace", newest, ms(1000)) == 200;
        }
        record.line("version 8 is %s by core-2",
                    is_acknowledged ? "acknowledged" : "not acknowledged");
        if (!is_acknowledged)
        {
            return 2;
        }
        if (removes)
        {
            place.daemons().signal("core-1", SIGKILL);
        }
        if (loses_disk)
        {
            place.daemons().signal("core-2", SIGKILL);
        }
        if (removes)
        {
            place.daemons().wait_end("core-1");
            record.line("core-1 is gone for good, without SIGTERM");
        }
        if (loses_disk)
        {
            place.daemons().wait_end("core-2");
            record.line("core-2 loses its disk");
            pause(ms(1000));
            place.lose_disk(2);
            place.start_core(2, false);
            record.line("core-2 starts with an empty disk");
        }
        const moment back_at = now();

        int right = 0;
        int wrong = 0;
        int none = 0;
        for (bool was_late = false; now() < back_at + recovery + ms(8000); pause(ms(400)))
        {
            const bool is_late = now() > back_at + recovery;
            if (is_late && !was_late)
            {
                record.line("recovery_s has passed since all are back");
            }
            was_late = is_late;
            for (std::uint32_t i = 1; i <= 4; ++i)
            {
                if (removes && i == 1)
                {
                    continue;
                }
                std::string answer;
                const int status = call_http({place.ip(1, i), ports::control_plane}, "GET",
                                             "/carawayshelf/Config.Read", "", ms(1000), &answer);
                const bool is_right = status == 200 && answer == newest;
                right += is_late && is_right;
                wrong += is_late && status == 200 && !is_right;
                none += is_late && status != 200;
                record.line("Config.Read at core-%u: %d%s", i, status,
                            status != 200 ? "" : (is_right ? ", version 8" : ", not version 8"));
            }
        }
        const int replaced = call_http({place.ip(1, 3), ports::control_plane}, "POST",
                                       "/carawayshelf/Config.Replace",
                                       configuration(9, route, "despacho"), ms(1000));
        record.line("Config.Replace of version 9 at core-3: %d", replaced);
        record.line(
            "reads later than recovery_s: %d version 8, %d another one, %d without an answer",
            right, wrong, none);
        int status = 0;
        for (const std::string& name : place.daemons().names())
        {
            if (place.daemons().has_ended(name, status))
            {
                record.line("%s has ended by itself", name.c_str());
            }
        }
        result = wrong != 0 || right == 0 ? 1 : 0;
    }
    std::filesystem::remove_all(folder);
    return result;
}

} // namespace

int main(int count, char** words)
{
    if (count != 4)
    {
        std::fprintf(stderr, "usage: removed_core PROGRAM RECORD TROUBLE\n");
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const std::string trouble = words[3];
    return run(words[1], words[2], trouble == "1" || trouble == "removal",
               trouble == "1" || trouble == "disk");
}
