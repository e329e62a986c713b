#include "Emulator/StoreService.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Emulator/PlatformMessages.h"
#include "platform/Names.h"

namespace pollenyoke::emulator
{

namespace
{

using async_io::query_parameter;
using std::chrono::milliseconds;

constexpr milliseconds usual_delay{4};
constexpr milliseconds slow_delay{400};
constexpr milliseconds max_wait{30000};
constexpr std::size_t default_read_bytes = 1U << 20U;
constexpr std::string_view json_type = platform::names::json_type;
constexpr milliseconds copy_interval{500};
// The oldest copy from which the store can come back.
constexpr std::size_t max_copies = 40;
// The operator and the backend servers notice the loss, and write what was lost again, in this
// time.
constexpr milliseconds first_rewrite{50};
constexpr milliseconds rewrite_spread{1500};

std::uint64_t number_parameter(const http_request& request, std::string_view name,
                               std::uint64_t fallback)
{
  std::uint64_t value = fallback;
  (void)async_io::parse_number(query_parameter(request.head.target, name), value);
  return value;
}

/// Calls that count towards the limit of writes.
bool is_write(std::string_view path)
{
  return path == "/v1/log-append" || path == "/v1/log-trim";
}

} // namespace

store_service::store_service(async_io::event_loop& loop, const store_limits& limits,
                             std::uint64_t seed)
    : m_loop(loop),
      m_reads(limits.reads_per_s, limits.reads_per_s, std::chrono::steady_clock::now()),
      m_writes(limits.writes_per_s, limits.writes_per_s, std::chrono::steady_clock::now()),
      m_random(seed), m_later(loop)
{
  keep_copies();
}

void store_service::keep_copies()
{
  const auto now = std::chrono::steady_clock::now();
  m_copies.push_back({now, m_log});
  if (m_copies.size() > max_copies)
  {
    m_copies.pop_front();
  }
  while (!m_journal.empty() && m_journal.front().at < m_copies.front().at)
  {
    m_journal.pop_front();
  }
  m_later.after(copy_interval, [this] { keep_copies(); });
}

void store_service::restore(milliseconds copy_age)
{
  const auto now = std::chrono::steady_clock::now();
  while (m_copies.size() > 1 && m_copies.back().at > now - copy_age)
  {
    m_copies.pop_back();
  }
  m_log = m_copies.back().log;
  ++m_era;
  for (const pending_read& read : std::exchange(m_pending, {}))
  {
    read.reply->reset();
  }
  const auto lost_from = m_copies.back().at;
  std::uniform_int_distribution<std::int64_t> spread(0, rewrite_spread.count());
  m_later.after(first_rewrite + milliseconds(spread(m_random)),
                [this, lost_from, now] { write_again(lost_from, now); });
}

/// Each key gets what was written last, unless it was written since.
void store_service::write_again(std::chrono::steady_clock::time_point from,
                                std::chrono::steady_clock::time_point to)
{
  std::map<std::pair<std::string, std::string>, journal_entry> last;
  for (const journal_entry& entry : m_journal)
  {
    last.insert_or_assign({entry.topic, entry.key}, entry);
  }
  for (const auto& [name, entry] : last)
  {
    if (from <= entry.at && entry.at <= to && !put(entry.topic, entry.key, entry.value))
    {
      m_later.after(rewrite_spread, [this, from, to] { write_again(from, to); });
      return;
    }
  }
}

std::string store_service::fields(std::string_view more) const
{
  std::string out;
  async_io::append_field(out, platform::names::store_era, std::to_string(m_era));
  if (!more.empty())
  {
    async_io::append_field(out, "Content-Type", more);
  }
  return out;
}

result<void> store_service::add_machine(const std::string& machine,
                                        const transport::endpoint& address)
{
  machine_state& state = m_machines[machine];
  state.server = std::make_unique<http_server>(
      m_loop, [this, machine](const http_request& request, const std::shared_ptr<http_reply>& reply)
      { handle(machine, request, reply); });
  return state.server->listen(address);
}

void store_service::set_fault(const std::string& machine, store_fault fault, double share)
{
  m_machines.at(machine).fault = fault;
  m_machines.at(machine).share = share;
}

void store_service::set_fault_for_all(store_fault fault, double share)
{
  m_all.fault = fault;
  m_all.share = share;
}

void store_service::set_connection_fault(const std::string& machine, connection_fault fault)
{
  m_machines.at(machine).server->set_fault(fault);
}

void store_service::silence_open_connections(const std::string& machine, bool only_waiting)
{
  if (!only_waiting)
  {
    m_machines.at(machine).server->silence_open_connections();
    return;
  }
  for (const pending_read& read : m_pending)
  {
    if (read.machine == machine)
    {
      read.reply->silence();
    }
  }
}

void store_service::forget_history()
{
  m_log.forget_history();
}

void store_service::set_resetting_topic(std::string topic)
{
  m_resetting_topic = std::move(topic);
}

bool store_service::is_away() const
{
  return m_all.fault != store_fault::none && m_all.fault != store_fault::slow;
}

result<std::uint64_t> store_service::put(const std::string& topic, std::string_view key,
                                         const std::optional<std::string>& value)
{
  if (is_away())
  {
    return fail(error_code::unavailable, "store is away");
  }
  return m_log.partition(topic, 0)
      .append({make_keyed_content(key, value)})
      .map(
          [this, &topic, key, &value](std::uint64_t offset)
          {
            m_journal.push_back({std::chrono::steady_clock::now(), topic, std::string(key), value});
            notify(topic, 0);
            return offset;
          });
}

store_fault store_service::fault_of(const machine_state& machine)
{
  const auto applies = [this](const machine_state& state)
  {
    return state.fault != store_fault::none &&
           std::uniform_real_distribution<double>(0, 1)(m_random) < state.share;
  };
  if (applies(m_all))
  {
    return m_all.fault;
  }
  return applies(machine) ? machine.fault : store_fault::none;
}

void store_service::handle(const std::string& machine, const http_request& request,
                           const std::shared_ptr<http_reply>& reply)
{
  token_bucket& limit = is_write(async_io::path_of(request.head.target)) ? m_writes : m_reads;
  if (!limit.try_take(1, std::chrono::steady_clock::now()))
  {
    reply->send(429, fields(), {});
    return;
  }
  const store_fault fault = fault_of(m_machines.at(machine));
  switch (fault)
  {
  case store_fault::refuses:
    reply->send(503, fields(), {});
    return;
  case store_fault::busy:
    reply->send(429, fields(), {});
    return;
  case store_fault::silent:
    return;
  case store_fault::resets:
    reply->reset();
    return;
  case store_fault::loses_answers:
  case store_fault::slow:
  case store_fault::none:
    break;
  }
  m_later.after(fault == store_fault::slow ? slow_delay : usual_delay,
                [this, machine, request, reply, fault]
                { execute(machine, request, reply, fault != store_fault::loses_answers); });
}

void store_service::execute(const std::string& machine, const http_request& request,
                            const std::shared_ptr<http_reply>& reply, bool answer)
{
  const auto path = async_io::path_of(request.head.target);
  if (path == "/v1/log-append")
  {
    append(request, reply, answer);
    return;
  }
  if (!answer)
  {
    reply->reset();
    return;
  }
  if (path == "/v1/log-read")
  {
    read(machine, request, reply);
    return;
  }
  if (path == "/v1/log-newest")
  {
    newest(request, reply);
    return;
  }
  if (path == "/v1/log-trim")
  {
    const std::string topic = query_parameter(request.head.target, "topic");
    m_log.partition(topic, static_cast<unsigned>(number_parameter(request, "part", 0)))
        .trim(number_parameter(request, "before", 0));
    reply->send(200, fields(json_type), "{}");
    return;
  }
  reply->send(404, fields(), {});
}

void store_service::append(const http_request& request, const std::shared_ptr<http_reply>& reply,
                           bool answer)
{
  const std::string topic = query_parameter(request.head.target, "topic");
  if (topic == platform::names::operator_topic || topic == platform::names::backend_topic)
  {
    reply->send(403, fields(), {});
    return;
  }
  const auto part = static_cast<unsigned>(number_parameter(request, "part", 0));
  log_partition& partition = m_log.partition(topic, part);
  const std::uint64_t at = number_parameter(request, "at", partition.end());
  if (at != partition.end())
  {
    reply->send(412, fields(json_type), nlohmann::json{{"end", partition.end()}}.dump());
    return;
  }
  const auto offset = split_records(request.body)
                          .and_then([&partition](std::vector<std::string> records)
                                    { return partition.append(std::move(records)); });
  if (!offset)
  {
    reply->send(400, fields(), {});
    return;
  }
  notify(topic, part);
  if (!answer)
  {
    reply->reset();
    return;
  }
  reply->send(200, fields(json_type),
              nlohmann::json{{"offset", *offset}, {"end", partition.end()}}.dump());
}

void store_service::newest(const http_request& request, const std::shared_ptr<http_reply>& reply)
{
  const std::string topic = query_parameter(request.head.target, "topic");
  const auto part = static_cast<unsigned>(number_parameter(request, "part", 0));
  const newest_page page =
      m_log.partition(topic, part).newest(query_parameter(request.head.target, "after"));
  reply->send(200, fields(json_type), encode_newest_page(page));
}

void store_service::read(const std::string& machine, const http_request& request,
                         const std::shared_ptr<http_reply>& reply)
{
  const std::string topic = query_parameter(request.head.target, "topic");
  const pending_read wanted{
      .machine = machine,
      .topic = topic,
      .part = static_cast<unsigned>(number_parameter(request, "part", 0)),
      .from = number_parameter(request, "from", 0),
      .max_bytes = std::min<std::size_t>(
          number_parameter(request, "max_kilobytes", default_read_bytes / 1024) * 1024,
          default_read_bytes),
      .reply = reply,
      .number = ++m_next_read};
  const milliseconds wait = std::min(
      max_wait, milliseconds(static_cast<std::int64_t>(number_parameter(request, "wait_ms", 0))));
  const log_partition& partition = m_log.partition(topic, wanted.part);
  if (wait.count() == 0 || wanted.from != partition.end())
  {
    answer_read(wanted);
    return;
  }
  if (topic == m_resetting_topic)
  {
    reply->reset();
    return;
  }
  m_pending.push_back(wanted);
  m_later.after(wait,
                [this, number = wanted.number]
                {
                  const auto found = std::find_if(m_pending.begin(), m_pending.end(),
                                                  [number](const pending_read& read)
                                                  { return read.number == number; });
                  if (found != m_pending.end())
                  {
                    const pending_read expired = *found;
                    m_pending.erase(found);
                    answer_read(expired);
                  }
                });
}

void store_service::answer_read(const pending_read& read)
{
  const log_partition& partition = m_log.partition(read.topic, read.part);
  const auto body = partition.read(read.from, read.max_bytes);
  if (!body)
  {
    read.reply->send(410, fields(json_type), nlohmann::json{{"first", partition.first()}}.dump());
    return;
  }
  read.reply->send(200, fields(), *body);
}

void store_service::notify(const std::string& topic, unsigned part)
{
  std::vector<pending_read> due;
  std::erase_if(m_pending,
                [&](const pending_read& read)
                {
                  const bool concerned = read.topic == topic && read.part == part;
                  if (concerned)
                  {
                    due.push_back(read);
                  }
                  return concerned;
                });
  for (const pending_read& read : due)
  {
    const store_fault fault = fault_of(m_machines.at(read.machine));
    if (fault == store_fault::none || fault == store_fault::slow)
    {
      answer_read(read);
    }
    else if (fault != store_fault::silent)
    {
      read.reply->reset();
    }
  }
}

} // namespace pollenyoke::emulator
