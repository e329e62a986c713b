#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

#include "Common/Result.h"

namespace pollenyoke
{

enum class log_level
{
  debug,
  info,
  warning,
  error,
};

enum class log_category
{
  transport,
  protocol,
  log,
  membership,
  weights,
  requests,
  keys,
  process,
};

/// One key=value pair of a log line.
struct log_field
{
  std::string_view key;
  std::string value;

  log_field(std::string_view k, std::string v) : key(k), value(std::move(v)) {}
  log_field(std::string_view k, const char* v) : key(k), value(v) {}
  log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
  template <typename T>
  requires std::integral<T> || std::floating_point<T> log_field(std::string_view k, T v)
      : key(k), value(std::to_string(v))
  {
  }
};

/// Sets up logging to standard error. `name` (host id) is part of each line.
void initialize_logging(std::string_view name, log_level minimum);

/// Writes one line: time, level, category, message, then the fields.
void write_log(log_level level, log_category category, std::string_view message,
               std::initializer_list<log_field> fields = {});

result<log_level> parse_log_level(std::string_view text);

inline void log_debug(log_category category, std::string_view message,
                      std::initializer_list<log_field> fields = {})
{
  write_log(log_level::debug, category, message, fields);
}

inline void log_info(log_category category, std::string_view message,
                     std::initializer_list<log_field> fields = {})
{
  write_log(log_level::info, category, message, fields);
}

inline void log_warning(log_category category, std::string_view message,
                        std::initializer_list<log_field> fields = {})
{
  write_log(log_level::warning, category, message, fields);
}

inline void log_error(log_category category, std::string_view message,
                      std::initializer_list<log_field> fields = {})
{
  write_log(log_level::error, category, message, fields);
}

} // namespace pollenyoke
