#include "carawayshelf_io/json_log.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <memory>

namespace carawayshelf
{

namespace
{

std::shared_ptr<spdlog::logger>& shared_logger()
{
    static std::shared_ptr<spdlog::logger> logger;
    return logger;
}

void write(spdlog::level::level_enum level, const std::string& text)
{
    if (const std::shared_ptr<spdlog::logger>& logger = shared_logger())
    {
        // An spdlog pattern can't escape text, so the message is passed as a JSON string.
        logger->log(level, nlohmann::json(text).dump(-1, ' ', false,
                                                     nlohmann::json::error_handler_t::replace));
    }
}

} // namespace

void start_json_log(const std::string& role, const std::string& instance)
{
    const std::shared_ptr<spdlog::sinks::stdout_sink_mt> sink =
        std::make_shared<spdlog::sinks::stdout_sink_mt>();
    const std::shared_ptr<spdlog::logger> logger =
        std::make_shared<spdlog::logger>("carawayshelf." + role + "." + instance, sink);
    logger->set_pattern(
        R"({"timestamp":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","logger":"%n","message":%v})");
    logger->flush_on(spdlog::level::trace);
    shared_logger() = logger;
}

void log_info(const std::string& text)
{
    write(spdlog::level::info, text);
}

void log_warning(const std::string& text)
{
    write(spdlog::level::warn, text);
}

void log_error(const std::string& text)
{
    write(spdlog::level::err, text);
}

} // namespace carawayshelf
