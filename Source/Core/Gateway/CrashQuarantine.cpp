#include "Gateway/CrashQuarantine.h"

#include <algorithm>
#include <unordered_set>

#include "Common/Log.h"
#include "Common/Rendezvous.h"

namespace pollenyoke::gateway
{

namespace
{

// Crashes after which content that was present in more of them than any other is quarantined.
constexpr std::size_t min_crashes = 2;
// Crashes after which content is quarantined although other content was present in as many.
constexpr std::size_t min_crashes_ambiguous = 3;
// An answer speaks for its content in a crash that follows within this time.
constexpr milliseconds recent_answer_time{1000};
// How long an answer counts as proof when a request has lost its server.
constexpr milliseconds proof_lifetime{10000};
constexpr milliseconds crash_lifetime{60000};
constexpr std::size_t max_crashes = 128;
constexpr std::size_t max_suspects_per_crash = 256;
// Parts of a prompt that are told apart, and the whole request.
constexpr std::size_t max_keys_per_suspect = 129;
constexpr std::size_t max_quarantined = 256;
// Content that is quarantined with certainty is tried again by one entry after this time, then
// after twice as long and so on: it may have been blamed wrongly, and weights or servers change.
constexpr milliseconds first_retrial_delay{30000};
// Content that is always present together is tried together after this time, then after three times
// as long and so on: each trial that fails costs another server, and a request that crashes servers
// may reach them three more times only.
constexpr milliseconds joint_trial_delay{5000};
constexpr int joint_trial_growth = 3;
constexpr int retrial_growth = 2;
// An entry tells the others of the same answer at most this often.
constexpr milliseconds tell_interval{200};
constexpr milliseconds max_retrial_delay{3600000};
// Quarantined content that fits into one datagram.
constexpr std::size_t max_digest_entries = 64;

std::uint64_t hash_part(std::string_view service, std::string_view part)
{
  return stable_hash(part, stable_hash(service));
}

} // namespace

std::vector<std::uint64_t> request_content::keys() const
{
  std::vector<std::uint64_t> out = parts;
  out.push_back(request);
  return out;
}

request_content make_content(const content_source& source)
{
  request_content out;
  for (const std::string& part : source.shared_parts)
  {
    out.parts.push_back(hash_part(source.service, part));
  }
  out.request =
      stable_hash(source.body, stable_hash(source.target,
                                           stable_hash(source.team, stable_hash(source.service))));
  return out;
}

crash_quarantine::crash_quarantine(std::function<bool(std::uint64_t)> owns_trial)
    : m_owns_trial(std::move(owns_trial))
{
}

bool crash_quarantine::may_try(std::uint64_t key, const quarantined_content& entry, bool alone,
                               time_point now) const
{
  if (entry.in_trial)
  {
    return false;
  }
  // A crash under two suspicious contents does not tell which of them caused it, so one entry tries
  // them together, and only if neither came alone for a while.
  return (alone && !entry.certain) ||
         (now - entry.last_evidence >= entry.retrial_delay && m_owns_trial(key));
}

content_verdict crash_quarantine::judge(const request_content& content, time_point now) const
{
  std::vector<std::uint64_t> suspicious;
  for (const std::uint64_t key : content.keys())
  {
    if (m_quarantined.contains(key))
    {
      suspicious.push_back(key);
    }
  }
  if (suspicious.empty())
  {
    return content_verdict::accepted;
  }
  const std::uint64_t owned = *std::min_element(suspicious.begin(), suspicious.end());
  const bool allowed =
      std::all_of(suspicious.begin(), suspicious.end(),
                  [&](std::uint64_t key)
                  { return may_try(owned, m_quarantined.at(key), suspicious.size() == 1, now); });
  return allowed ? content_verdict::trial : content_verdict::refused;
}

void crash_quarantine::begin_trial(const request_content& content)
{
  for (const std::uint64_t key : content.keys())
  {
    if (const auto found = m_quarantined.find(key); found != m_quarantined.end())
    {
      found->second.in_trial = true;
    }
  }
}

void crash_quarantine::end_trial(const request_content& content)
{
  for (const std::uint64_t key : content.keys())
  {
    if (const auto found = m_quarantined.find(key); found != m_quarantined.end())
    {
      found->second.in_trial = false;
    }
  }
}

std::vector<std::uint64_t> crash_quarantine::add_answer(const request_content& content,
                                                        time_point now)
{
  forget_old(now);
  std::vector<std::uint64_t> cleared;
  for (const std::uint64_t key : content.keys())
  {
    answer& known = m_answered[key];
    known.at = now;
    known.own = true;
    if (clear(key))
    {
      known.told_at = now;
      cleared.push_back(key);
    }
  }
  return cleared;
}

void crash_quarantine::add_clearance(const peers::content_clearance& clearance, time_point now)
{
  for (const std::uint64_t key : clearance.keys)
  {
    answer& known = m_answered[key];
    known.own = known.own && now - known.at < recent_answer_time;
    known.at = now;
    clear(key);
  }
}

bool crash_quarantine::clear(std::uint64_t key)
{
  bool suspected = false;
  for (crash& observed : m_crashes)
  {
    for (auto& suspect : observed.suspects)
    {
      suspected = std::erase(suspect, key) > 0 || suspected;
    }
  }
  if (m_quarantined.erase(key) > 0)
  {
    suspected = true;
    log_info(log_category::requests, "content released: a server has answered it",
             {{"content", key}});
  }
  return suspected;
}

bool crash_quarantine::was_answered_since(std::uint64_t key, time_point since) const
{
  const auto found = m_answered.find(key);
  return found != m_answered.end() && found->second.at >= since;
}

bool crash_quarantine::should_tell(std::uint64_t key, time_point now)
{
  const auto found = m_answered.find(key);
  if (found == m_answered.end() || !found->second.own ||
      now - found->second.told_at < tell_interval)
  {
    return false;
  }
  found->second.told_at = now;
  return true;
}

bool crash_quarantine::is_proven(const request_content& content, time_point now) const
{
  return std::all_of(content.parts.begin(), content.parts.end(),
                     [this, now](std::uint64_t part)
                     { return was_answered_since(part, now - proof_lifetime); });
}

std::optional<peers::crash_report> crash_quarantine::add_own_crash(peers::crash_report report,
                                                                   time_point now)
{
  for (auto& suspect : report.suspects)
  {
    std::erase_if(suspect, [this, now](std::uint64_t key)
                  { return was_answered_since(key, now - recent_answer_time); });
  }
  std::erase_if(report.suspects, [](const auto& suspect) { return suspect.empty(); });
  if (report.suspects.empty())
  {
    return std::nullopt;
  }
  add_suspects(report, now);
  return report;
}

std::vector<std::uint64_t> crash_quarantine::add_crash(const peers::crash_report& report,
                                                       time_point now)
{
  std::vector<std::uint64_t> answered;
  peers::crash_report rest = report;
  for (auto& suspect : rest.suspects)
  {
    std::erase_if(suspect,
                  [this, now, &answered](std::uint64_t key)
                  {
                    const bool recently = was_answered_since(key, now - recent_answer_time);
                    if (recently && should_tell(key, now))
                    {
                      answered.push_back(key);
                    }
                    return recently;
                  });
  }
  add_suspects(rest, now);
  return answered;
}

void crash_quarantine::add_suspects(const peers::crash_report& report, time_point now)
{
  forget_old(now);
  auto found =
      std::find_if(m_crashes.begin(), m_crashes.end(),
                   [&report](const crash& known) {
                     return known.server == report.server && known.started_ms == report.started_ms;
                   });
  if (found == m_crashes.end())
  {
    m_crashes.push_back({report.server, report.started_ms, now, {}});
    found = std::prev(m_crashes.end());
  }
  for (const auto& suspect : report.suspects)
  {
    for (const std::uint64_t key : suspect)
    {
      if (const auto known = m_quarantined.find(key); known != m_quarantined.end())
      {
        // Of the reports of one failed trial only the first one counts.
        if (now - known->second.last_evidence >= known->second.retrial_delay)
        {
          const int growth = known->second.certain ? retrial_growth : joint_trial_growth;
          known->second.retrial_delay =
              std::min(known->second.retrial_delay * growth, max_retrial_delay);
        }
        known->second.last_evidence = now;
      }
    }
    if (found->suspects.size() < max_suspects_per_crash && suspect.size() <= max_keys_per_suspect)
    {
      found->suspects.push_back(suspect);
    }
  }
}

/// The crash needs no other cause than content that is known to crash servers.
bool crash_quarantine::is_explained(const crash& observed) const
{
  return std::any_of(observed.suspects.begin(), observed.suspects.end(),
                     [this](const std::vector<std::uint64_t>& suspect)
                     {
                       return std::any_of(suspect.begin(), suspect.end(),
                                          [this](std::uint64_t key)
                                          {
                                            const auto found = m_quarantined.find(key);
                                            return found != m_quarantined.end() &&
                                                   found->second.certain;
                                          });
                     });
}

std::unordered_map<std::uint64_t, std::size_t> crash_quarantine::count_crashes(time_point now) const
{
  std::unordered_map<std::uint64_t, std::size_t> counts;
  for (const crash& observed : m_crashes)
  {
    if (now - observed.reported < crash_settle_time || is_explained(observed))
    {
      continue;
    }
    std::unordered_set<std::uint64_t> present;
    for (const auto& suspect : observed.suspects)
    {
      present.insert(suspect.begin(), suspect.end());
    }
    for (const std::uint64_t key : present)
    {
      ++counts[key];
    }
  }
  return counts;
}

bool crash_quarantine::evaluate(time_point now)
{
  bool changed = false;
  for (;;)
  {
    const auto counts = count_crashes(now);
    std::size_t most = 0;
    std::vector<std::uint64_t> keys;
    for (const auto& [key, crashes] : counts)
    {
      if (crashes > most)
      {
        most = crashes;
        keys.clear();
      }
      if (crashes == most)
      {
        keys.push_back(key);
      }
    }
    const bool certain = keys.size() == 1;
    if (most < (certain ? min_crashes : min_crashes_ambiguous))
    {
      break;
    }
    for (const std::uint64_t key : keys)
    {
      quarantine(key, certain, most, now);
    }
    changed = true;
    // Other content may have caused the crashes that this one does not explain.
    if (!certain)
    {
      break;
    }
  }
  return changed;
}

bool crash_quarantine::has_unsettled_crashes(time_point now) const
{
  return std::any_of(m_crashes.begin(), m_crashes.end(),
                     [now](const crash& known)
                     { return now - known.reported < crash_settle_time; });
}

void crash_quarantine::quarantine(std::uint64_t key, bool certain, std::size_t crashes,
                                  time_point now)
{
  const auto [entry, added] = m_quarantined.try_emplace(key);
  if (added || (certain && !entry->second.certain))
  {
    log_warning(log_category::requests, "content quarantined: servers crash under it",
                {{"content", key}, {"crashes", crashes}, {"certain", certain}});
    entry->second.last_evidence = now;
    entry->second.retrial_delay = certain ? first_retrial_delay : joint_trial_delay;
  }
  entry->second.certain = entry->second.certain || certain;
}

bool crash_quarantine::is_certain(const request_content& content) const
{
  const auto keys = content.keys();
  return std::any_of(keys.begin(), keys.end(),
                     [this](std::uint64_t key)
                     {
                       const auto found = m_quarantined.find(key);
                       return found != m_quarantined.end() && found->second.certain &&
                              !found->second.in_trial;
                     });
}

void crash_quarantine::forget_old(time_point now)
{
  while (!m_crashes.empty() &&
         (now - m_crashes.front().reported > crash_lifetime || m_crashes.size() > max_crashes))
  {
    m_crashes.pop_front();
  }
  while (m_quarantined.size() > max_quarantined)
  {
    m_quarantined.erase(std::min_element(m_quarantined.begin(), m_quarantined.end(),
                                         [](const auto& a, const auto& b) {
                                           return a.second.last_evidence < b.second.last_evidence;
                                         }));
  }
  if (now - m_answers_swept > proof_lifetime)
  {
    m_answers_swept = now;
    std::erase_if(m_answered,
                  [now](const auto& item) { return now - item.second.at > proof_lifetime; });
  }
  std::erase_if(m_quarantined,
                [now](const auto& item) {
                  return !item.second.certain && now - item.second.last_evidence > crash_lifetime;
                });
}

std::optional<peers::quarantine_digest> crash_quarantine::make_digest(time_point now) const
{
  peers::quarantine_digest digest;
  for (const auto& [key, entry] : m_quarantined)
  {
    if (digest.entries.size() < max_digest_entries)
    {
      const auto age = std::chrono::duration_cast<milliseconds>(now - entry.last_evidence).count();
      digest.entries.push_back({key, static_cast<std::uint64_t>(age), entry.certain});
    }
  }
  return digest.entries.empty() ? std::nullopt : std::optional(std::move(digest));
}

std::vector<std::uint64_t> crash_quarantine::merge(const peers::quarantine_digest& digest,
                                                   time_point now)
{
  std::vector<std::uint64_t> answered;
  for (const auto& received : digest.entries)
  {
    const auto age = std::min<std::uint64_t>(received.age_ms, max_retrial_delay.count());
    const auto last_evidence = now - milliseconds(age);
    if (was_answered_since(received.key, last_evidence))
    {
      if (should_tell(received.key, now))
      {
        answered.push_back(received.key);
      }
      continue;
    }
    const auto [entry, added] = m_quarantined.try_emplace(received.key);
    if (added)
    {
      log_warning(log_category::requests, "content quarantined by another entry",
                  {{"content", received.key}, {"certain", received.certain}});
    }
    if (added || (received.certain && !entry->second.certain))
    {
      entry->second.retrial_delay = received.certain ? first_retrial_delay : joint_trial_delay;
    }
    entry->second.certain = entry->second.certain || received.certain;
    entry->second.last_evidence = std::max(entry->second.last_evidence, last_evidence);
  }
  return answered;
}

} // namespace pollenyoke::gateway
