#include "Emulator/LogStore.h"

#include <algorithm>

namespace pollenyoke::emulator
{

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_newest_items = 500;
constexpr std::size_t max_newest_bytes = 1U << 20U;
constexpr std::string_view keyed_prefix = "keyed.";

std::string big_endian(std::uint64_t value, unsigned bytes)
{
  std::string out;
  for (unsigned shift = 8 * bytes; shift > 0; shift -= 8)
  {
    out.push_back(static_cast<char>(value >> (shift - 8) & 0xffU));
  }
  return out;
}

std::uint64_t read_big_endian(std::string_view bytes)
{
  std::uint64_t value = 0;
  for (const char c : bytes)
  {
    value = value << 8U | static_cast<unsigned char>(c);
  }
  return value;
}

std::optional<keyed_record> parse_keyed(std::string_view content, std::uint64_t offset)
{
  const std::size_t key_size =
      content.empty() ? content.size() : static_cast<unsigned char>(content.front());
  if (content.size() < 1 + key_size || key_size == 0)
  {
    return std::nullopt;
  }
  keyed_record out{std::string(content.substr(1, key_size)), std::nullopt, offset};
  if (content.size() > 1 + key_size)
  {
    out.value = content.substr(1 + key_size);
  }
  return out;
}

} // namespace

result<std::uint64_t> log_partition::append(std::vector<std::string> records)
{
  std::vector<keyed_record> changes;
  const std::uint64_t offset = end();
  for (const std::string& content : records)
  {
    auto change = m_keyed ? parse_keyed(content, offset + changes.size()) : keyed_record{};
    if (!change)
    {
      return fail(error_code::malformed, "record has no key");
    }
    changes.push_back(std::move(*change));
  }
  std::move(records.begin(), records.end(), std::back_inserter(m_records));
  for (keyed_record& change : changes)
  {
    if (!m_keyed)
    {
      break;
    }
    const std::string key = change.key;
    m_newest.erase(key);
    if (change.value)
    {
      m_newest.emplace(key, std::move(change));
    }
  }
  return offset;
}

std::uint64_t log_partition::end() const
{
  return m_first + m_records.size();
}

result<std::string> log_partition::read(std::uint64_t from, std::size_t max_bytes) const
{
  if (from < m_first || from > end())
  {
    return fail(error_code::expired, "records were deleted");
  }
  std::string out = big_endian(end(), 8) + big_endian(m_first, 8);
  for (std::uint64_t offset = from; offset < end(); ++offset)
  {
    const std::string& content = m_records[offset - m_first];
    if (offset > from && out.size() + content.size() > max_bytes)
    {
      break;
    }
    out.append(big_endian(content.size(), length_bytes)).append(content);
  }
  return out;
}

newest_page log_partition::newest(std::string_view after) const
{
  newest_page page{{}, false, end()};
  std::size_t bytes = 0;
  for (auto next = m_newest.upper_bound(after); next != m_newest.end(); ++next)
  {
    bytes += next->second.value->size();
    if (!page.items.empty() && (page.items.size() == max_newest_items || bytes > max_newest_bytes))
    {
      page.has_more = true;
      break;
    }
    page.items.push_back(next->second);
  }
  return page;
}

void log_partition::trim(std::uint64_t before)
{
  while (m_first < before && !m_records.empty())
  {
    m_records.pop_front();
    ++m_first;
  }
}

result<std::vector<std::string>> split_records(std::string_view body)
{
  std::vector<std::string> records;
  while (!body.empty())
  {
    const std::size_t size =
        body.size() < length_bytes ? body.size() : read_big_endian(body.substr(0, length_bytes));
    if (body.size() < length_bytes + size)
    {
      return fail(error_code::malformed, "length of a record does not fit");
    }
    records.emplace_back(body.substr(length_bytes, size));
    body.remove_prefix(length_bytes + size);
  }
  return records;
}

std::string make_keyed_content(std::string_view key, const std::optional<std::string>& value)
{
  std::string out(1, static_cast<char>(key.size()));
  return out.append(key).append(value.value_or(""));
}

log_partition& log_store::partition(const std::string& topic, unsigned part)
{
  return m_partitions.try_emplace({topic, part}, topic.starts_with(keyed_prefix)).first->second;
}

void log_store::forget_history()
{
  for (auto& [name, partition] : m_partitions)
  {
    partition.trim(partition.end());
  }
}

} // namespace pollenyoke::emulator
