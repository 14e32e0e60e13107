#include "carawayshelf_io/json_log.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>

#include <memory>

namespace carawayshelf
{

namespace
{

log4cxx::LoggerPtr& shared_logger()
{
    static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("carawayshelf");
    return logger;
}

} // namespace

void start_json_log(const std::string& role, const std::string& instance)
{
    const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::JSONLayout>();
    const std::shared_ptr<log4cxx::ConsoleAppender> appender =
        std::make_shared<log4cxx::ConsoleAppender>(layout);
    appender->setTarget(LOG4CXX_STR("System.err"));
    log4cxx::helpers::Pool pool;
    appender->activateOptions(pool);
    log4cxx::LogManager::getLoggerRepository()->setConfigured(true);
    log4cxx::Logger::getRootLogger()->addAppender(appender);
    shared_logger() = log4cxx::Logger::getLogger("carawayshelf." + role + "." + instance);
}

void log_info(const std::string& text)
{
    LOG4CXX_INFO(shared_logger(), text);
}

void log_warning(const std::string& text)
{
    LOG4CXX_WARN(shared_logger(), text);
}

void log_error(const std::string& text)
{
    LOG4CXX_ERROR(shared_logger(), text);
}

} // namespace carawayshelf
