#pragma once

#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Common/Metrics.h"
#include "LogFollower/LogClient.h"
#include "Membership/Membership.h"
#include "Protocol/Messages.h"
#include "Protocol/Settings.h"

namespace pollenyoke::keys
{

/// The complete response to a request that ran under a key, kept for repeated requests.
struct stored_response
{
  std::uint16_t status = 0;
  transport::http_headers headers;
  std::string content_type;
  std::string body;
};

enum class key_action
{
  /// Dispatch the request now, once; then call finished(), failed() or not_dispatched().
  run,
  /// The key already ran on this agent: respond with `response`.
  replay,
  /// The request has not run under this key and this attempt will not run it: see `reason`.
  refuse,
  /// The key may have run, or it ran and its response is not stored: see `failure`.
  unknown,
};

struct key_decision
{
  key_action action = key_action::refuse;
  protocol::refusal_reason reason = protocol::refusal_reason::log_unavailable;
  protocol::failure_kind failure = protocol::failure_kind::key_unknown;
  /// For not_owner: the owner of the key's slot, empty if there is none.
  host_id owner;
  std::uint32_t retry_after_ms = 0;
  stored_response response;
};

/// Decides for one plain service whether a request with an idempotency key may run on this agent.
/// Owns slots of the key space, claims keys in the log before they run and stores the responses.
/// Thread-safe.
class key_owner
{
public:
  struct dependencies
  {
    const protocol::settings& settings;
    incarnation_id incarnation;
    log_follower::log_client& log;
    membership::membership& members;
    metrics_registry& metrics;
  };

  explicit key_owner(dependencies deps);
  ~key_owner();
  key_owner(const key_owner&) = delete;
  key_owner& operator=(const key_owner&) = delete;
  key_owner(key_owner&&) = delete;
  key_owner& operator=(key_owner&&) = delete;

  void start();
  /// Joins the threads without releasing the slots.
  void stop();

  using decision_callback = std::function<void(key_decision)>;
  /// Decides about a request. The callback is called exactly once, possibly before return, and must
  /// not block. A second request with a key that is running gets its decision when the first ends.
  void begin(const std::string& key, const digest& body, decision_callback decided);
  /// The request of a `run` decision ended with a complete response.
  void finished(const std::string& key, stored_response response);
  /// The request of a `run` decision was dispatched and ended without a complete response.
  void failed(const std::string& key);
  /// The request of a `run` decision was certainly not dispatched; the key may run later.
  void not_dispatched(const std::string& key);

  /// Issues a key in the current epoch of one of the slots that this agent owns; empty if it owns
  /// none.
  std::string mint_key();
  /// Planned stop: releases all slots after the running keys have ended and `done` is recorded for
  /// them.
  void release_slots();
  /// Allows this agent to own slots again after release_slots(). Returns false while the release is
  /// incomplete.
  bool resume();

  nlohmann::json dump() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_impl;
};

} // namespace pollenyoke::keys
