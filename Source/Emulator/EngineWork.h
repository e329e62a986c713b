#pragma once

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Emulator/BackendServer.h"
#include "Emulator/WeightSource.h"

namespace pollenyoke::emulator
{

class engine_work;

/// The engines of a run by their address, for requests that run through several of them.
using engine_directory = std::map<transport::endpoint, engine_work*>;

/// Steps of a load in their order, as its engine sees them.
enum class load_step
{
  piece_staged,
  piece_read_back,
  /// The report is asked for when all pieces that were staged have been read back.
  report_after_check,
  order_received,
  /// The pieces are taken, and the order is not yet answered.
  order_accepted,
  load_begun,
  /// The first one after the load.
  report_after_load,
  request_after_load,
};

enum class answer_fate
{
  sent,
  /// The caller waits for it on an open connection.
  lost,
  /// The connection is reset in its place.
  reset,
};

/// What becomes of a call that belongs to a step.
struct step_effect
{
  /// Orders: the step ends this much later. Other calls are answered meanwhile.
  std::chrono::milliseconds delay{0};
  answer_fate answer = answer_fate::sent;
};

/// `progress`: pieces that were staged, as a share of all pieces, or that were read back, as a
/// share of those that were staged; 0 for other steps.
using load_observer = std::function<step_effect(load_step step, double progress)>;

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
  /// Of the pieces that were read back after they had been staged, those that `random` selects turn
  /// bad; one at least.
  void spoil_read_back(double share, std::uint64_t random);
  /// Called at each step of each load, before the call is answered.
  void observe_loads(load_observer observer);
  /// Named with each problem of layers that the next order takes.
  void set_disturbance(std::string name);
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
  struct layer_problem
  {
    std::string text;
    std::string disturbance;
  };
  /// What is wrong with layers, by their number.
  using layer_problems = std::map<unsigned, layer_problem>;
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
  void put_piece(std::uint32_t number, const std::string& content,
                 const std::shared_ptr<http_reply>& reply);
  void answer_report(const std::shared_ptr<http_reply>& reply);
  void receive_order(const http_request& request, const std::shared_ptr<http_reply>& reply);
  void answer_order(const load_order& order, const std::shared_ptr<http_reply>& reply);
  void accept_order(const load_order& order, const protocol::layer_range& layers,
                    const std::shared_ptr<http_reply>& reply);
  step_effect pass_step(load_step step, double progress = 0);
  load take_staged(const load_order& order, const protocol::layer_range& layers) const;
  void spoil(std::uint32_t number);
  /// Empty if the pieces of the layer are whole, or have turned bad only lately.
  std::string find_staging_problem(std::uint64_t version, unsigned layer) const;
  /// Null if all of these layers are whole.
  const layer_problem* find_layer_problem(const protocol::layer_range& layers) const;
  /// Records what is wrong with the layers that a token of this request is made with.
  void judge_layers(const sequence& writer);
  void begin_load();
  void finish_load();
  void refuse_outdated();
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
  /// Pieces that were staged since the last load, and those of them that were read back.
  std::set<std::uint32_t> m_put_pieces;
  std::set<std::uint32_t> m_read_back;
  load_observer m_load_observer;
  std::string m_disturbance;
  bool m_reported_load = true;
  bool m_used_load = true;
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
