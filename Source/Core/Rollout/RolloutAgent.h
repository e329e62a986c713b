#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/HttpListener.h"
#include "Common/BootClock.h"
#include "Common/TokenBucket.h"
#include "Peers/EngineMark.h"
#include "Protocol/ServingModel.h"
#include "Rollout/LoadRule.h"
#include "Rollout/PieceFetcher.h"
#include "Rollout/ProvenLayers.h"
#include "Rollout/SettleRule.h"
#include "Rollout/StagedCheck.h"

namespace pollenyoke::rollout
{

/// What the agent adds to a report of its engine.
struct engine_state
{
  /// Set from just before a load order until the engine serves again.
  bool loading = false;
  /// The layers that the engine holds are known to be made of whole pieces.
  bool proven = false;
  /// Time until the planned load, if there is one.
  std::optional<std::chrono::milliseconds> load_in;
  /// When the engine was asked for the report.
  boot_clock::time_point asked;
};

struct rollout_handlers
{
  /// Called for each report of the engine, and when what the agent does with it changes.
  std::function<void(const protocol::engine_report&, const engine_state&)> on_report;
  /// Called once the engine has failed several polls in a row.
  std::function<void()> on_engine_lost;
  /// Called when all layers that the engine holds at a mark have been proven by a load.
  std::function<void(const peers::engine_mark&)> on_proven = nullptr;
};

/// Updates the engine of this host to the newest known version of its weights and serves pieces to
/// other hosts.
class rollout_agent
{
public:
  rollout_agent(fetch_environment environment, transport::endpoint engine,
                rollout_handlers handlers);
  ~rollout_agent();
  rollout_agent(const rollout_agent&) = delete;
  rollout_agent& operator=(const rollout_agent&) = delete;
  rollout_agent(rollout_agent&&) = delete;
  rollout_agent& operator=(rollout_agent&&) = delete;

  void start();
  void set_model(const std::string& model, const weight_shape& shape);
  void add_version(const protocol::named_version& version);
  /// An earlier run of this process has proven the layers of the engine at this mark.
  void add_proof(const peers::engine_mark& mark);
  /// Handles the announcement of another agent about the pieces it holds.
  void handle_announcement(const std::string& ip, const peers::piece_announcement& received);
  /// Answers a peer's request for the manifest of a version.
  void serve_manifest(const async_io::message_head& head,
                      const async_io::http_listener::responder& respond);
  /// Answers a peer's request for a piece; 503 if the send queue is full.
  void serve_piece(const async_io::message_head& head,
                   const async_io::http_listener::responder& respond);

private:
  /// What the engine held before an order.
  struct load_base
  {
    peers::engine_mark mark;
    std::uint64_t version = 0;
    /// It held nothing, or proven layers.
    bool sound = false;
  };
  /// A load order without an answer. The engine may accept it at any later moment of its run.
  struct unanswered_order
  {
    load_step step;
    load_base base;
    bool check_is_lasting = false;
    async_io::time_point lost_at{};
    /// Pieces were staged again since, so that they do not show what such an order took.
    bool restaged = false;
  };
  /// Orders by which the engine drops layers and loads them again.
  struct reload
  {
    std::deque<load_step> steps;
    /// Mark of the engine after the last order that is complete.
    peers::engine_mark mark;
  };
  struct queued_piece
  {
    std::string bytes;
    async_io::http_listener::responder respond;
  };

  /// Whether the engine has weights, so that its answers use this host's link.
  bool engine_has_weights() const;
  /// Whether the engine holds all layers of the version that it reports.
  bool engine_holds_all_layers() const;
  /// Index of this host among the hosts of its region that have an engine.
  std::size_t position_in_region() const;
  std::uint64_t target_version() const;
  load_slot own_load_slot() const;
  load_plan make_load_plan(std::uint64_t version) const;
  /// Whether the set of known hosts is stable, so that a fetch can be planned.
  bool has_settled();
  bool is_proven() const;
  /// Whether no piece may arrive at the engine any more that was sent before. It would replace one
  /// that is staged by now.
  bool is_staging_known() const;
  /// Whether entries have to stop sending new requests to the engine.
  bool is_loading() const;
  void publish_report(bool loading);
  /// Notes how long the layers that the engine reports have been without a proof.
  void watch_proof();
  /// The engine holds layers whose proof this process neither has nor may still get.
  bool needs_reload() const;
  void poll_engine();
  void handle_report(const result<async_io::http_response>& answer);
  void start_fetch_if_needed();
  void on_first_part_complete(std::uint64_t version);
  void on_pieces_complete(std::uint64_t version);
  /// Sends a piece to a peer, rate-limited to leave link capacity for the engine's answers.
  void send_piece(std::string bytes, const async_io::http_listener::responder& respond);
  void send_next_piece();
  void drop_old_fetchers();
  void stop_superseded_fetches(std::uint64_t version);
  void serve_piece_from_engine(std::uint32_t piece,
                               const async_io::http_listener::responder& respond);
  void start_load_if_due();
  load_inputs make_load_inputs() const;
  void start_load(const load_step& step);
  /// Whether the engine reports the version and layers that it was ordered to load.
  bool has_loaded() const;
  /// The engine has taken whole pieces for the current load.
  void settle_doubt();
  /// Whether the engine holds no unproven layer once it has loaded those of the current load.
  bool may_prove_load() const;
  void prove_load();
  /// Forgets all that belongs to the start of the engine that has ended.
  void forget_engine_state();
  /// Ends the load if the engine has completed it or has not begun it in time.
  void update_load();
  void finish_load();
  /// Handles an order without an answer that the engine has accepted after all.
  void resolve_unanswered_order();
  const piece_set* ready_pieces() const;
  /// Whether the engine holds all of a version, so that pieces that this process does not hold can
  /// be read from it.
  bool engine_can_serve_pieces(std::uint64_t version) const;
  std::optional<peers::piece_announcement> own_announcement(std::uint64_t version) const;
  /// Pieces of a version; null unless this host holds all of those layers.
  const piece_set* held_pieces(std::uint64_t version, const protocol::layer_range& layers) const;
  /// Pieces of the version that is being staged; null if they are no longer held.
  const piece_set* pieces_to_stage() const;
  void stage_piece(std::uint32_t piece);
  void begin_check();
  void verify_staged_piece(std::uint32_t piece);
  /// Asks the engine for its state right before the order.
  void confirm_engine();
  void handle_confirmation(const result<async_io::http_response>& answer,
                           std::shared_ptr<async_io::call_session> session);
  void send_load_order(std::shared_ptr<async_io::call_session> session);
  void handle_order_answer(const result<async_io::http_response>& answer);
  /// Reads pieces back that the engine has already taken, as they may have been spoilt then.
  void recheck_load();
  void recheck_taken_piece(std::uint32_t piece);
  /// Ends the current load, whose pieces may have been bad; the layers are loaded again.
  void reject_load();
  /// Has an engine whose layers are without proof load a version that replaces them, or the same
  /// one again.
  void replace_unproven_layers();
  void begin_reload();
  void abort_load(const std::string& reason);
  /// A handler that does nothing once the current load has ended.
  async_io::http_caller::handler for_current_load(async_io::http_caller::handler handle);

  fetch_environment m_environment;
  transport::endpoint m_engine;
  rollout_handlers m_handlers;
  async_io::timer m_poll_timer;
  settle_rule m_settle{current_time()};
  std::string m_model;
  weight_shape m_shape;
  /// Known versions and the time at which this host learned of each.
  std::map<std::uint64_t, async_io::time_point> m_named_versions;
  std::map<std::uint64_t, std::shared_ptr<piece_fetcher>> m_fetchers;
  /// Age of each version when this host held all of its pieces.
  std::map<std::uint64_t, std::chrono::milliseconds> m_ready_after;
  /// Layers whose pieces the newest fetch requests first; empty if the engine had weights when the
  /// fetch started. Stored because the host's position may change during the fetch.
  protocol::layer_range m_first_layers;
  /// When this host last replied to each host's announcement.
  std::map<std::string, async_io::time_point> m_last_replies;
  std::deque<queued_piece> m_send_queue;
  async_io::timer m_send_timer;
  token_bucket m_uplink;
  bool m_sending = false;
  /// Empty while the engine does not report.
  std::optional<protocol::engine_report> m_report;
  /// Start of the engine that reported last; 0 before the first report.
  std::uint64_t m_engine_started_ms = 0;
  /// When the engine was asked for that report, and for the one that is on its way.
  boot_clock::time_point m_report_asked;
  boot_clock::time_point m_poll_begun;
  /// When entries were told to send no new requests to the engine, before it loads.
  std::optional<async_io::time_point> m_draining_since;
  /// What is being staged and loaded; the version is 0 if there is no load.
  load_step m_load;
  load_base m_load_base;
  /// Whether the engine keeps serving during the current load.
  bool m_loads_while_serving = false;
  /// Changes with each load, so that answers to calls of an earlier one are recognized.
  std::uint64_t m_load_attempt = 0;
  std::optional<staged_check> m_check;
  /// No piece was on its way to the engine when that check began.
  bool m_check_is_lasting = false;
  /// Passes over the staged pieces in the current load.
  unsigned m_checks = 0;
  /// Reports that were asked for since the last of these passes.
  unsigned m_confirmations = 0;
  bool m_order_in_flight = false;
  /// When the engine accepted the load order for that version.
  std::optional<async_io::time_point> m_order_accepted_at;
  /// Its answer was read; otherwise only a report tells that the engine has accepted it.
  bool m_order_answered = false;
  /// The engine may have taken pieces later than the check of them allows, or other ones.
  bool m_load_in_doubt = false;
  bool m_rechecking = false;
  std::optional<unanswered_order> m_unanswered_order;
  unsigned m_unanswered_stagings = 0;
  /// This process has seen the start of the engine, and had an answer for each piece that it sent
  /// since, but for those that it still waits for.
  bool m_staging_is_known = false;
  proven_layers m_proven;
  /// Mark without a proof that the engine reported last, and when it did so first.
  std::optional<peers::engine_mark> m_unproven_mark;
  async_io::time_point m_unproven_since{};
  /// No proof can come: the layers were not taken from pieces that this process has found whole.
  bool m_rejected = false;
  std::optional<reload> m_reload;
  unsigned m_failed_polls = 0;
};

} // namespace pollenyoke::rollout
