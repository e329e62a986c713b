#pragma once

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "Common/Result.h"

namespace pollenyoke::protocol
{

/// An error message is one line, whatever characters stand in the file's keys.
inline std::string to_one_line(std::string text)
{
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, '?');
  return text;
}

/// What the sections of one document have in common.
struct read_record
{
  std::optional<error> failure;
  /// Full names of all members that were asked for.
  std::vector<std::string> names;
};

/// Reads the members of one YAML mapping and keeps the first error. Members that no call has asked
/// for are unknown keys.
class section
{
public:
  section(const YAML::Node& node, std::string prefix, std::string_view file, read_record& record)
      : m_node(node), m_prefix(std::move(prefix)), m_file(file), m_record(record)
  {
    if (m_node.IsDefined() && !m_node.IsMap())
    {
      reject(m_node, "", "must be a mapping");
    }
  }

  bool has(const std::string& key) const
  {
    return m_node.IsMap() && m_node[key].IsDefined();
  }

  section child(const std::string& key)
  {
    m_known.insert(key);
    return section(has(key) ? m_node[key] : YAML::Node(YAML::NodeType::Map), m_prefix + key + ".",
                   m_file, m_record);
  }

  /// Reads a required member with `parse(text) -> result<T>`.
  template <typename T, typename Parse>
  void require(const std::string& key, T& to, const Parse& parse)
  {
    if (!has(key))
    {
      m_known.insert(key);
      m_record.names.push_back(m_prefix + key);
      reject(m_node, key, "is required");
      return;
    }
    optional(key, to, parse);
  }

  template <typename T, typename Parse>
  void optional(const std::string& key, T& to, const Parse& parse)
  {
    m_known.insert(key);
    m_record.names.push_back(m_prefix + key);
    if (!has(key))
    {
      return;
    }
    const YAML::Node value = m_node[key];
    if (!value.IsScalar())
    {
      reject(value, key, "must be a single value");
      return;
    }
    auto parsed = parse(value.Scalar());
    if (!parsed)
    {
      reject(value, key, parsed.error().message);
      return;
    }
    to = std::move(*parsed);
  }

  void finish()
  {
    if (!m_node.IsMap())
    {
      return;
    }
    std::set<std::string> seen;
    for (const auto& entry : m_node)
    {
      const std::string key = entry.first.Scalar();
      if (!m_known.contains(key))
      {
        reject(entry.first, key, "unknown key");
      }
      if (!seen.insert(key).second)
      {
        reject(entry.first, key, "duplicate key");
      }
    }
  }

  void reject(const std::string& key, const std::string& reason)
  {
    reject(has(key) ? m_node[key] : m_node, key, reason);
  }

private:
  void reject(const YAML::Node& at, const std::string& key, const std::string& reason)
  {
    if (m_record.failure)
    {
      return;
    }
    const int line = at.IsDefined() ? std::max(0, at.Mark().line) + 1 : 1;
    std::string name = m_prefix + key;
    if (key.empty() && !name.empty())
    {
      name.pop_back();
    }
    m_record.failure = error{error_code::invalid_argument,
                             to_one_line(std::string(m_file) + ":" + std::to_string(line) + ": " +
                                         name + ": " + reason)};
  }

  YAML::Node m_node;
  std::string m_prefix;
  std::string_view m_file;
  read_record& m_record;
  std::set<std::string> m_known;
};

template <typename Enum>
auto one_of(std::vector<std::pair<std::string, Enum>> choices)
{
  return [choices = std::move(choices)](const std::string& text) -> result<Enum>
  {
    std::string names;
    for (const auto& [name, value] : choices)
    {
      if (name == text)
      {
        return value;
      }
      names += (names.empty() ? "" : ", ") + name;
    }
    return fail(error_code::invalid_argument, "must be one of " + names);
  };
}

inline auto number(double low, double high)
{
  return [low, high](const std::string& text) -> result<double>
  {
    double value = 0;
    std::size_t used = 0;
    try
    {
      value = std::stod(text, &used);
    }
    catch (const std::exception&)
    {
      used = 0;
    }
    if (used != text.size() || !std::isfinite(value))
    {
      return fail(error_code::invalid_argument, "must be a number");
    }
    if (value < low || value > high)
    {
      return fail(error_code::invalid_argument,
                  "must be between " + std::to_string(low) + " and " + std::to_string(high));
    }
    return value;
  };
}

template <typename Integer>
auto integer(Integer low, Integer high)
{
  return [low, high](const std::string& text) -> result<Integer>
  {
    const auto value = number(static_cast<double>(low), static_cast<double>(high))(text);
    if (!value)
    {
      return tl::unexpected(value.error());
    }
    if (*value != std::floor(*value))
    {
      return fail(error_code::invalid_argument, "must be a whole number");
    }
    return static_cast<Integer>(*value);
  };
}

template <typename Duration>
auto duration_in(std::int64_t low, std::int64_t high)
{
  return [low, high](const std::string& text)
  {
    return integer<std::int64_t>(low, high)(text).map([](std::int64_t value)
                                                      { return Duration(value); });
  };
}

/// Parses one document with `read(root section)`, and rejects unknown keys of the root.
template <typename Read>
result<void> read_document(std::string_view yaml, std::string_view file, const Read& read)
{
  read_record record;
  try
  {
    section root(YAML::Load(std::string(yaml)), "", file, record);
    read(root);
    root.finish();
  }
  catch (const YAML::Exception& e)
  {
    return fail(error_code::malformed,
                to_one_line(std::string(file) + ":" + std::to_string(e.mark.line + 1) +
                            ": yaml: " + e.msg));
  }
  if (record.failure)
  {
    return tl::unexpected(*record.failure);
  }
  return {};
}

} // namespace pollenyoke::protocol
