#pragma once

#include <string>

namespace carawayshelf::platform
{

/** A valid configuration in the platform's format. */
inline const std::string good_configuration =
    R"({"version":7,"routes":[)"
    R"({"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8443/","route_type":"idempotent",)"
    R"("timeout_ms":1500,"target_latency_ms":100,"priority":2,"weighted_backends":[)"
    R"({"backend":"a","weight":90},{"backend":"b","weight":10}],"max_attempts":2},)"
    R"({"name":"r-2","hostname":"198.18.0.1","path_prefix":"/8080/","route_type":"non_idempotent",)"
    R"("timeout_ms":2000,"target_latency_ms":120,"priority":1,"backend":"a","max_attempts":2}],)"
    R"("services":[{"name":"a","max_connections":2000,"warmup_per_s":1.5},)"
    R"({"name":"b","max_connections":2000}],"limits":{"idle_timeout_ms":15000}})";

/** A valid heartbeat in the platform's format. */
inline const std::string good_heartbeat =
    R"({"backend":"a","address":"10.128.0.9:8080","zone":"z","version":"v1","capacity_slots":2,)"
    R"("state":"ready","warmup_left_ms":250,"seq":4,"born":1700000000000})";

} // namespace carawayshelf::platform
