#include "Emulator/Template.h"

#include <vector>

#include <nlohmann/json.hpp>

namespace pollenyoke::emulator
{

namespace
{

using nlohmann::json;

constexpr std::string_view open_mark = "{{";
constexpr std::string_view close_mark = "}}";

/// The current entry of a section; the outermost one holds all fields.
struct scope
{
  const json* value = nullptr;
  std::string key;
  bool is_last = true;
};

const json* find_path(const json& in, std::string_view path)
{
  const json* at = &in;
  while (!path.empty())
  {
    const std::string name(path.substr(0, path.find('.')));
    path.remove_prefix(std::min(name.size() + 1, path.size()));
    if (at->is_array() && !name.empty() &&
        name.find_first_not_of("0123456789") == std::string::npos)
    {
      const std::size_t index = std::stoul(name);
      if (index >= at->size())
      {
        return nullptr;
      }
      at = &at->at(index);
      continue;
    }
    if (!at->is_object() || !at->contains(name))
    {
      return nullptr;
    }
    at = &at->at(name);
  }
  return at;
}

std::string to_text(const json& value)
{
  if (value.is_null())
  {
    return {};
  }
  if (value.is_string())
  {
    return value.get<std::string>();
  }
  if (!value.is_array())
  {
    return value.dump();
  }
  std::string out;
  for (const json& item : value)
  {
    out.append(out.empty() ? "" : ",").append(to_text(item));
  }
  return out;
}

bool is_true(const json* value)
{
  return value != nullptr && !value->is_null() && *value != json(false);
}

class filler
{
public:
  explicit filler(const json& fields)
  {
    m_scopes.push_back({&fields, "", true});
  }

  result<std::string> fill(std::string_view text)
  {
    std::string out;
    while (true)
    {
      const auto begin = text.find(open_mark);
      out.append(text.substr(0, begin));
      if (begin == std::string_view::npos)
      {
        return out;
      }
      const auto end = text.find(close_mark, begin);
      if (end == std::string_view::npos)
      {
        return fail(error_code::malformed, "placeholder does not end");
      }
      const std::string_view name =
          text.substr(begin + open_mark.size(), end - begin - open_mark.size());
      text.remove_prefix(end + close_mark.size());
      if (!name.starts_with('#') && !name.starts_with('^'))
      {
        out += value_of(name);
        continue;
      }
      const auto size = section_size(text, name.substr(1));
      if (!size)
      {
        return tl::unexpected(size.error());
      }
      auto filled = fill_section(name, text.substr(0, *size));
      if (!filled)
      {
        return filled;
      }
      out += *filled;
      text.remove_prefix(*size + name.size() + open_mark.size() + close_mark.size());
    }
  }

private:
  const json* find(std::string_view path) const
  {
    if (path == ".")
    {
      return m_scopes.back().value;
    }
    for (auto inner = m_scopes.rbegin(); inner != m_scopes.rend(); ++inner)
    {
      if (const json* found = find_path(*inner->value, path))
      {
        return found;
      }
    }
    return nullptr;
  }

  std::string value_of(std::string_view name) const
  {
    if (name == "@")
    {
      return m_scopes.back().key;
    }
    if (name == ",")
    {
      return m_scopes.back().is_last ? "" : ",";
    }
    const bool as_json = name.ends_with("|json");
    const json* value = find(name.substr(0, name.find('|')));
    if (value == nullptr)
    {
      return {};
    }
    return as_json ? value->dump() : to_text(*value);
  }

  /// Size of the text before the tag that ends a section, sections of the same name included.
  static result<std::size_t> section_size(std::string_view text, std::string_view name)
  {
    const std::string end_tag = "{{/" + std::string(name) + "}}";
    const std::string begin_tag = "{{#" + std::string(name) + "}}";
    std::size_t depth = 0;
    std::size_t at = 0;
    while (true)
    {
      const auto end = text.find(end_tag, at);
      const auto nested = text.find(begin_tag, at);
      if (end == std::string_view::npos)
      {
        return fail(error_code::malformed, "section " + std::string(name) + " does not end");
      }
      if (nested < end)
      {
        ++depth;
        at = nested + begin_tag.size();
        continue;
      }
      if (depth == 0)
      {
        return end;
      }
      --depth;
      at = end + end_tag.size();
    }
  }

  result<std::string> fill_section(std::string_view name, std::string_view body)
  {
    const json* value = find(name.substr(1));
    if (name.starts_with('^'))
    {
      return is_true(value) ? result<std::string>(std::string{}) : fill(body);
    }
    if (!is_true(value))
    {
      return std::string{};
    }
    if (!value->is_object() && !value->is_array())
    {
      return fill_entry({value, "", true}, body);
    }
    std::string out;
    std::size_t index = 0;
    for (const auto& [key, entry] : value->items())
    {
      auto filled = fill_entry({&entry, key, ++index == value->size()}, body);
      if (!filled)
      {
        return filled;
      }
      out += *filled;
    }
    return out;
  }

  result<std::string> fill_entry(scope entry, std::string_view body)
  {
    m_scopes.push_back(std::move(entry));
    auto filled = fill(body);
    m_scopes.pop_back();
    return filled;
  }

  std::vector<scope> m_scopes;
};

} // namespace

result<std::string> fill_template(std::string_view text, const nlohmann::json& fields)
{
  return filler(fields).fill(text);
}

} // namespace pollenyoke::emulator
