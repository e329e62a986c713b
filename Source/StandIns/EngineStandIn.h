#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "StandIns/PrefixCache.h"
#include "StandIns/StandIn.h"

namespace pollenyoke::stand_ins
{

/// The first 8 hex digits of SHA-256 of version, newline, prompt; token K is `HASH-K`.
std::string token_prefix(std::string_view version, std::string_view prompt);

/// A model engine with continuous batching and a prompt-prefix cache.
class engine_stand_in final : public stand_in
{
public:
  static result<std::unique_ptr<engine_stand_in>> start(const transport::endpoint& at,
                                                        std::uint32_t slots = 8);
  ~engine_stand_in() override;

  nlohmann::json counters() const override;

protected:
  transport::http_response handle(const transport::http_request& request) override;
  void read_faults(fault_reader& from) override;
  void forget_state() override;

private:
  using model_key = std::pair<std::string, std::string>;

  struct loaded_model
  {
    std::string manifest;
    std::string content;
    std::uint64_t fence = 0;
    std::string state;
  };

  struct order
  {
    model_key key;
    std::string manifest;
    std::string content;
    std::uint64_t fence = 0;
    std::string source;
  };

  struct generation_request
  {
    std::string id;
    model_key key;
    std::string prompt;
    std::uint64_t max_tokens = 0;
    std::uint64_t resume_from = 0;
    bool batch = false;
    /// Generation of the engine process in which it began.
    std::uint64_t process = 0;
    std::string hash;
    double cached = 0;
  };

  /// Waiting requests run in this order: priority, then arrival.
  using ticket = std::pair<int, std::uint64_t>;
  class slot;

  explicit engine_stand_in(std::uint32_t slots);

  transport::http_response answer_status();
  transport::http_response answer_order(const std::string& body);
  transport::http_response unload_locked(const model_key& key);
  transport::http_response answer_generate(const std::string& body);
  transport::http_response answer_cancel(const std::string& body);
  transport::http_response answer_events(const transport::http_request& request);
  std::shared_ptr<slot> wait_for_slot(const generation_request& request);
  bool begin_run(generation_request& request);
  bool generate(const generation_request& request, const transport::body_writer& write);
  bool pause_for_token(const generation_request& request, std::uint64_t token);
  void load(const order& what, std::uint64_t process);
  std::string download_digest(const std::string& source, std::uint64_t process);
  void note_load_locked();
  std::chrono::nanoseconds token_time_locked() const;

  const std::uint32_t m_slots;
  std::string m_boot;
  std::map<model_key, loaded_model> m_models;
  std::map<model_key, std::uint64_t> m_fences;
  std::uint32_t m_running = 0;
  std::uint64_t m_next_ticket = 0;
  std::set<ticket> m_waiting;
  std::set<std::string> m_active;
  std::set<std::string> m_cancelled;
  std::deque<std::tuple<clock::time_point, std::uint32_t, std::size_t>> m_load_history;
  prefix_cache m_cache;
  std::vector<std::thread> m_loaders;

  bool m_down = false;
  bool m_hang = false;
  bool m_check_fence = true;
  std::string m_crash_on;
  std::int64_t m_restart_ms = 1000;
  std::int64_t m_load_ms = 50;
  double m_first_token_ms = 20;
  double m_token_ms = 5;
  std::size_t m_queue = 64;
  std::int64_t m_report_lag_ms = 300;
  std::int64_t m_event_lag_ms = 500;

  std::uint64_t m_orders = 0;
  std::uint64_t m_refused_orders = 0;
  std::uint64_t m_wrong_content = 0;
  std::uint64_t m_crashes = 0;
  std::uint64_t m_tokens = 0;
  std::uint64_t m_rejected = 0;
  double m_prefix_hits = 0;
  std::uint64_t m_prefix_lookups = 0;
  std::map<std::string, std::uint64_t> m_runs;
  std::map<std::string, std::uint64_t> m_prompt_runs;
  nlohmann::json m_served = nlohmann::json::array();
};

} // namespace pollenyoke::stand_ins
