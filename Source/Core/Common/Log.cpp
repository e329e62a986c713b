#include "Common/Log.h"

#include <array>
#include <atomic>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace pollenyoke
{

namespace
{

// Before initialize_logging only warnings and errors are written, so that unit tests stay quiet.
std::atomic<log_level> minimum_level{log_level::warning};

constexpr std::array<const char*, 8> category_names = {
    "transport", "protocol", "log", "membership", "weights", "requests", "keys", "process"};

bool needs_quotes(std::string_view value)
{
  return value.empty() || value.find_first_of(" =\"\n") != std::string_view::npos;
}

void append_field(std::string& line, const log_field& field)
{
  line.append(" ").append(field.key).append("=");
  if (!needs_quotes(field.value))
  {
    line.append(field.value);
    return;
  }
  line.push_back('"');
  for (const char c : field.value)
  {
    line.push_back(c == '"' || c == '\n' ? '\'' : c);
  }
  line.push_back('"');
}

void write_line(log_level level, const char* category, const std::string& line)
{
  el::Logger* logger = el::Loggers::getLogger(category);
  switch (level)
  {
  case log_level::debug:
    logger->debug("%v", line);
    break;
  case log_level::info:
    logger->info("%v", line);
    break;
  case log_level::warning:
    logger->warn("%v", line);
    break;
  case log_level::error:
    logger->error("%v", line);
    break;
  }
}

} // namespace

void initialize_logging(std::string_view name, log_level minimum)
{
  minimum_level = minimum;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level host=" + std::string(name) +
                                " category=%logger %msg");
  el::Loggers::setDefaultConfigurations(configuration, true);
  for (const char* category : category_names)
  {
    el::Loggers::reconfigureLogger(category, configuration);
  }
}

void write_log(log_level level, log_category category, std::string_view message,
               std::initializer_list<log_field> fields)
{
  if (level < minimum_level.load(std::memory_order_relaxed))
  {
    return;
  }
  std::string line(message);
  for (const log_field& field : fields)
  {
    append_field(line, field);
  }
  write_line(level, category_names.at(static_cast<std::size_t>(category)), line);
}

result<log_level> parse_log_level(std::string_view text)
{
  constexpr std::array<std::string_view, 4> names = {"debug", "info", "warning", "error"};
  for (std::size_t i = 0; i < names.size(); ++i)
  {
    if (names.at(i) == text)
    {
      return static_cast<log_level>(i);
    }
  }
  return fail(error_code::invalid_argument, "must be one of debug, info, warning, error");
}

} // namespace pollenyoke
