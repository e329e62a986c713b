#include "Membership/HostListPoller.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "Common/Log.h"

namespace pollenyoke::membership
{

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Two whole lists of 3,700 hosts (0.9 MB each): a change is fetched at once, also when a second one
// follows it and the platform does not compress.
constexpr double pace_burst = 2e6;
// Head of a request and of its answer.
constexpr std::size_t head_bytes = 300;
// The backup normally receives a change from the primary before it would fetch it itself.
constexpr int backup_factor = 4;
constexpr milliseconds first_backoff{100};

std::size_t wire_bytes(const transport::http_response& answer)
{
  // The body has been decompressed; only the header tells what was transferred.
  const std::string_view length = transport::find_header(answer.headers, "Content-Length");
  std::size_t out = 0;
  const auto [end, failure] = std::from_chars(length.begin(), length.end(), out);
  return head_bytes + (length.empty() || failure != std::errc() ? answer.body.size() : out);
}

} // namespace

milliseconds poll_interval(const protocol::control_settings& control, polling mode)
{
  return control.host_list_interval * (mode == polling::backup ? backup_factor : 1);
}

host_list_poller::host_list_poller(dependencies with)
    : m_with(std::move(with)), m_client(m_with.settings.platform.host_list),
      m_pace(m_with.settings.control.host_list_bytes_per_s, pace_burst, clock::now())
{
}

host_list_poller::~host_list_poller()
{
  stop();
}

void host_list_poller::start()
{
  m_thread = std::thread([this] { run(); });
}

void host_list_poller::stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  if (m_thread.joinable())
  {
    m_thread.join();
  }
}

void host_list_poller::set_mode(polling mode)
{
  {
    const std::lock_guard lock(m_mutex);
    m_mode = mode;
  }
  m_wake.notify_all();
}

polling host_list_poller::mode() const
{
  const std::lock_guard lock(m_mutex);
  return m_mode;
}

void host_list_poller::run()
{
  milliseconds backoff = first_backoff;
  bool reachable = true;
  std::unique_lock lock(m_mutex);
  while (!m_stopping)
  {
    lock.unlock();
    const bool has_list = m_with.current()->version != 0;
    lock.lock();
    if (has_list && m_mode == polling::off)
    {
      m_wake.wait(lock, [this] { return m_stopping || m_mode != polling::off; });
      continue;
    }
    const polling mode = m_mode;
    lock.unlock();
    std::size_t bytes = 0;
    const bool answered = poll_once(bytes);
    if (answered != reachable)
    {
      reachable = answered;
      reachable ? log_info(log_category::membership, "host list is reachable again")
                : log_warning(log_category::membership,
                              "host list is not reachable; the last list stays valid");
    }
    const bool still_empty = m_with.current()->version == 0;
    const auto paced =
        std::chrono::ceil<milliseconds>(m_pace.reserve(static_cast<double>(bytes), clock::now()));
    lock.lock();
    milliseconds wait = std::max(poll_interval(m_with.settings.control, m_mode), paced);
    if (still_empty)
    {
      wait = std::min(wait, std::exchange(backoff, backoff * 2));
    }
    // A backup that becomes primary does not wait for the end of its longer interval.
    const bool may_hurry = paced.count() == 0;
    m_wake.wait_for(lock, wait, [&] { return m_stopping || (may_hurry && m_mode != mode); });
  }
}

bool host_list_poller::poll_once(std::size_t& bytes)
{
  const auto known = m_with.current();
  transport::http_request request{.path = "/hosts",
                                  .query = {{"region", m_with.settings.region}},
                                  .headers = {{"Accept-Encoding", "gzip"}}};
  if (!known->etag.empty())
  {
    request.headers.push_back({"If-None-Match", known->etag});
  }
  const auto answer = m_client.send(request);
  if (!answer)
  {
    return false;
  }
  bytes = wire_bytes(*answer);
  m_with.metrics.add("host_list_polls");
  m_with.metrics.add("host_list_poll_bytes", bytes);
  if (answer->status == 304)
  {
    m_with.metrics.add("host_list_unchanged");
    return true;
  }
  return answer->status == 200 && take_answer(*answer, *known);
}

bool host_list_poller::take_answer(const transport::http_response& answer, const host_list& known)
{
  auto list = parse_host_list(answer.body);
  if (!list)
  {
    log_warning(log_category::membership, "host list was refused",
                {{"reason", list.error().message}});
    return false;
  }
  list->etag = std::string(transport::find_header(answer.headers, "ETag"));
  const bool older = list->version < known.version;
  if (older && !m_older_list_reported)
  {
    log_warning(log_category::membership,
                "host list has a lower version than before and is ignored",
                {{"version", list->version}, {"known_version", known.version}});
  }
  m_older_list_reported = older;
  m_with.take(*list);
  return true;
}

} // namespace pollenyoke::membership
