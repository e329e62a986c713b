#include "Gateway/PermitDesk.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Common/BootClock.h"

namespace pollenyoke::gateway
{

namespace
{

// A round trip between regions takes some ms; meanwhile the request waits.
constexpr milliseconds answer_timeout{50};
constexpr milliseconds silent_owner_delay{300};
// The owner has changed lately.
constexpr milliseconds unsettled_owner_delay{500};

std::uint32_t to_count(milliseconds length)
{
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(length.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

permit_desk::permit_desk(async_io::event_loop& loop, fleet_link link, std::uint64_t random_seed)
    : m_loop(loop), m_link(std::move(link)), m_random(random_seed), m_next_number(m_random())
{
}

void permit_desk::ask(const permit_query& query, handler done)
{
  const auto owner = m_link.permit_owner(query.server);
  if (!owner)
  {
    done(decide(query));
    return;
  }
  const std::uint64_t number = ++m_next_number;
  auto& question = m_open[number];
  question = std::make_unique<open_question>(m_loop);
  question->done = std::move(done);
  question->timeout.start(answer_timeout,
                          [this, number] { finish(number, {.ask_again_in = silent_owner_delay}); });
  m_link.tell_entry(*owner, peers::permit_request{.number = number,
                                                  .server = query.server,
                                                  .started_ms = query.started_ms,
                                                  .limit = query.limit,
                                                  .heard_ago_ms = to_count(query.heard_ago),
                                                  .patience_ms = to_count(query.patience)});
}

permit_decision permit_desk::decide(const permit_query& query)
{
  if (!m_link.may_issue(query.server))
  {
    return {.ask_again_in = unsettled_owner_delay};
  }
  const double fraction = std::uniform_real_distribution<double>(0, 1)(m_random);
  return m_issuer.decide(query, fraction, current_time());
}

void permit_desk::receive(const peers::permit_request& request, const std::string& from)
{
  const permit_decision decision = decide({.asker = from,
                                           .server = request.server,
                                           .started_ms = request.started_ms,
                                           .limit = request.limit,
                                           .heard_ago = milliseconds(request.heard_ago_ms),
                                           .patience = milliseconds(request.patience_ms)});
  const milliseconds after = decision.granted ? decision.send_in : decision.ask_again_in;
  m_link.tell_entry(from, peers::permit_answer{.number = request.number,
                                               .granted = decision.granted,
                                               .after_ms = to_count(after)});
}

void permit_desk::receive(const peers::permit_answer& answer)
{
  const milliseconds after(answer.after_ms);
  finish(answer.number, answer.granted ? permit_decision{.granted = true, .send_in = after}
                                       : permit_decision{.ask_again_in = after});
}

void permit_desk::finish(std::uint64_t number, const permit_decision& decision)
{
  const auto found = m_open.find(number);
  if (found == m_open.end())
  {
    return;
  }
  const auto question = std::move(found->second);
  m_open.erase(found);
  question->done(decision);
}

} // namespace pollenyoke::gateway
