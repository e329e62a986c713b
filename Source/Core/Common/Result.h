#pragma once

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace pollenyoke
{

/// Classes of failure that callers tell apart.
enum class error_code
{
  invalid_argument,
  malformed,
  not_found,
  expired,
  conflict,
  unavailable,
  timeout,
  limit_exceeded,
  corrupt,
  closed,
};

/// A failure as a value: a class for the program and one line for the reader.
struct error
{
  error_code code = error_code::invalid_argument;
  std::string message;
};

template <typename T>
using result = tl::expected<T, error>;

inline tl::unexpected<error> fail(error_code code, std::string message)
{
  return tl::unexpected<error>(error{code, std::move(message)});
}

} // namespace pollenyoke
