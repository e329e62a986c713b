#pragma once

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "Emulator/BackendServer.h"
#include "Emulator/WeightSource.h"

namespace pollenyoke::emulator
{

class engine_work;

/// The engines of a run by their address, for requests that run through several of them.
using engine_directory = std::map<transport::endpoint, engine_work*>;

/// The work of a model engine: passes over the requests in its batch, staged pieces, and orders to
/// load them.
class engine_work
{
public:
  /// `first_version`: weights that it holds at its first start; 0 for none.
  engine_work(const server_environment& environment, std::string model, const engine_model& traits,
              const engine_directory& engines, std::uint64_t first_version);

  void accept(const std::shared_ptr<server_job>& job);
  bool answer_call(const http_request& request, const std::shared_ptr<http_reply>& reply);
  void fill_record(server_record& record) const;
  void lose_power();
  /// Loses the staged pieces as well.
  void lose_staged();
  /// Some staged pieces turn bad: each one that the share of `random` selects.
  void spoil_staged(double share, std::uint64_t random);
  /// Called once, when the engine has handed out this many staged pieces.
  void after_staged_reads(unsigned count, std::function<void()> action);
  unsigned piece_count() const
  {
    return m_traits.pieces;
  }
  /// Multiplies the time of each pass.
  void set_slowness(double factor);

private:
  struct sequence
  {
    std::shared_ptr<server_job> job;
    std::vector<protocol::pipeline_stage> pipeline;
    double prompt_tokens = 0;
    unsigned next_event = 1;
    unsigned event_count = 0;
    unsigned priority = 5;
    std::uint64_t version = 0;
  };
  /// What is wrong with layers, by their number.
  using layer_problems = std::map<unsigned, std::string>;
  struct load
  {
    load_order order;
    /// Layers that the engine holds afterwards.
    protocol::layer_range layers;
    /// Those that it takes from the staged pieces, and how they were when the order was accepted.
    unsigned taken_layers = 0;
    layer_problems problems;
  };

  bool holds(const protocol::layer_range& layers) const;
  /// Status of a refusal, 0 if the request can be served.
  unsigned refusal(const server_job& job, const std::vector<protocol::pipeline_stage>& pipeline,
                   transport::endpoint& at_fault) const;
  engine_state current_state() const;
  void answer_stage(const http_request& request, const std::shared_ptr<http_reply>& reply);
  void answer_order(const http_request& request, const std::shared_ptr<http_reply>& reply);
  load take_staged(const load_order& order, const protocol::layer_range& layers) const;
  /// Empty if the pieces of the layer are whole, or have turned bad only lately.
  std::string find_staging_problem(std::uint64_t version, unsigned layer) const;
  std::string weight_problem() const;
  void begin_load();
  void finish_load();
  void drop(const std::shared_ptr<server_job>& job);
  void admit();
  void start_pass();
  void finish_pass();
  void send_event(sequence& writer);
  bool cut_broken_pipeline(const sequence& writer);

  recorder& m_record;
  delayed_calls m_later;
  std::string m_model;
  engine_model m_traits;
  const engine_directory& m_engines;
  std::uint64_t m_started_ms = 0;
  std::map<std::uint32_t, std::string> m_staged;
  std::map<std::uint32_t, std::chrono::steady_clock::time_point> m_spoilt_at;
  unsigned m_staged_reads_left = 0;
  std::function<void()> m_after_staged_reads;
  protocol::layer_range m_layers;
  std::uint64_t m_version = 0;
  layer_problems m_layer_problems;
  std::uint64_t m_orders = 0;
  std::optional<load> m_load;
  bool m_loading = false;
  bool m_in_pass = false;
  double m_slowness = 1;
  std::list<sequence> m_waiting;
  std::list<sequence> m_running;
};

} // namespace pollenyoke::emulator
