#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Peers/PeerMessages.h"

namespace pollenyoke::gateway
{

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

// Reports of all entries on one crash arrive within a few ms of each other. Conclusions drawn from
// some of them would blame content that the other reports clear.
constexpr milliseconds crash_settle_time{60};

/// Something that a request holds and under which servers may crash.
struct request_content
{
  /// Hashes of the parts of the prompt that other requests may hold too.
  std::vector<std::uint64_t> parts;
  /// Hash of the whole request.
  std::uint64_t request = 0;

  std::vector<std::uint64_t> keys() const;
};

struct content_source
{
  std::string_view service;
  std::string_view team;
  std::string_view target;
  std::string_view body;
  std::span<const std::string> shared_parts;
};

request_content make_content(const content_source& source);

enum class content_verdict
{
  accepted,
  /// Accepted as the only request with its suspicious content that this process has in flight; see
  /// begin_trial().
  trial,
  refused,
};

/// Finds out under which content of requests servers crash, from the reports of all entries. A
/// server that answers a request without a crash proves its content sound. Time is passed in. Not
/// thread-safe.
class crash_quarantine
{
public:
  /// `owns_trial`: whether this entry, of all entries, tries a quarantined content again.
  explicit crash_quarantine(std::function<bool(std::uint64_t key)> owns_trial);

  content_verdict judge(const request_content& content, time_point now) const;
  /// A request with the verdict `trial` was sent; no other one is accepted until end_trial().
  void begin_trial(const request_content& content);
  void end_trial(const request_content& content);

  /// A server has answered a request without a crash. Returns the keys that were under suspicion,
  /// so that other entries can be told.
  std::vector<std::uint64_t> add_answer(const request_content& content, time_point now);
  /// Another entry has seen an answer.
  void add_clearance(const peers::content_clearance& clearance, time_point now);
  /// All parts of the prompt have been answered lately.
  bool is_proven(const request_content& content, time_point now) const;

  /// Returns the report without the keys that have just been answered; empty if none is left.
  std::optional<peers::crash_report> add_own_crash(peers::crash_report report, time_point now);
  /// A report of another entry. Returns the reported keys that have just been answered here.
  std::vector<std::uint64_t> add_crash(const peers::crash_report& report, time_point now);

  /// Draws conclusions from the crashes of which all reports have arrived. Returns true if content
  /// was quarantined.
  bool evaluate(time_point now);
  /// A later call of evaluate() has more crashes to consider.
  bool has_unsettled_crashes(time_point now) const;
  /// Whether content of the request is known to crash servers.
  bool is_certain(const request_content& content) const;

  /// What is quarantined, for processes that have missed reports.
  std::optional<peers::quarantine_digest> make_digest(time_point now) const;
  /// Returns the keys that have been answered since, of which the sender has not heard.
  std::vector<std::uint64_t> merge(const peers::quarantine_digest& digest, time_point now);

private:
  struct crash
  {
    std::string server;
    std::uint64_t started_ms = 0;
    time_point reported{};
    std::vector<std::vector<std::uint64_t>> suspects;
  };
  struct quarantined_content
  {
    /// False if other content was present in just as many crashes.
    bool certain = false;
    bool in_trial = false;
    time_point last_evidence{};
    milliseconds retrial_delay{};
  };

  bool was_answered_since(std::uint64_t key, time_point since) const;
  /// Whether other entries should hear of an answer that they may not know; true once in a while.
  bool should_tell(std::uint64_t key, time_point now);
  bool may_try(std::uint64_t key, const quarantined_content& entry, bool alone,
               time_point now) const;
  void add_suspects(const peers::crash_report& report, time_point now);
  bool is_explained(const crash& observed) const;
  std::unordered_map<std::uint64_t, std::size_t> count_crashes(time_point now) const;
  void quarantine(std::uint64_t key, bool certain, std::size_t crashes, time_point now);
  /// Returns false if the key was not under suspicion.
  bool clear(std::uint64_t key);
  void forget_old(time_point now);

  std::function<bool(std::uint64_t)> m_owns_trial;
  std::deque<crash> m_crashes;
  std::unordered_map<std::uint64_t, quarantined_content> m_quarantined;
  struct answer
  {
    /// When a request with this content was last answered without a crash.
    time_point at{};
    /// This entry has seen it.
    bool own = false;
    time_point told_at{};
  };

  std::unordered_map<std::uint64_t, answer> m_answered;
  time_point m_answers_swept{};
};

} // namespace pollenyoke::gateway
