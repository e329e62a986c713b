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
#include "Common/TokenBucket.h"
#include "Protocol/ServingModel.h"
#include "Rollout/LoadRule.h"
#include "Rollout/PieceFetcher.h"
#include "Rollout/SettleRule.h"

namespace pollenyoke::rollout
{

struct rollout_handlers
{
  /// Called for each report of the engine; `loading` from just before an order until the engine
  /// serves again; `load_in`: time until the planned load, if there is one.
  std::function<void(const protocol::engine_report&, bool loading,
                     std::optional<std::chrono::milliseconds> load_in)>
      on_report;
  /// The engine has not answered for a while.
  std::function<void()> on_engine_lost;
};

/// Brings the engine of this host to the newest named version of its weights and hands pieces to
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
  void name_version(const protocol::named_version& version);
  /// The agent of another host tells which pieces it has.
  void take_announcement(const std::string& ip, const peers::piece_announcement& news);
  /// Answers a request of a peer for the manifest of a version.
  void serve_manifest(const async_io::message_head& head,
                      const async_io::http_listener::responder& respond);
  /// Answers a request of a peer for a piece; 503 if too many are waiting to be sent.
  void serve_piece(const async_io::message_head& head,
                   const async_io::http_listener::responder& respond);

private:
  struct queued_piece
  {
    std::string bytes;
    async_io::http_listener::responder respond;
  };

  /// The engine has weights, so that requests use this host's link.
  bool serves() const;
  /// The engine holds all layers of the version that it reports.
  bool is_whole() const;
  /// Where this host stands among the hosts of its region with an engine.
  std::size_t position_in_region() const;
  std::uint64_t wanted_version() const;
  load_turn turn() const;
  /// The hosts that this process knows have not changed for a while.
  bool has_settled();
  void report_load(bool loading);
  void poll_engine();
  void take_report(const result<async_io::http_response>& answer);
  void fetch_if_needed();
  void first_part_complete(std::uint64_t version);
  void pieces_complete(std::uint64_t version);
  /// Sends a piece to a peer at the pace that leaves room on the link for answers of the engine.
  void send_piece(std::string bytes, const async_io::http_listener::responder& respond);
  void send_next_piece();
  void drop_old_versions();
  void stop_overtaken(std::uint64_t version);
  void serve_staged(std::uint32_t piece, const async_io::http_listener::responder& respond);
  void consider_load();
  load_facts make_load_facts() const;
  void begin_load(std::uint64_t version, const protocol::layer_range& layers);
  /// The engine reports what it was ordered to load.
  bool has_loaded() const;
  const piece_set* ready_pieces() const;
  /// The engine has the whole version, which it loaded before this process held any pieces.
  bool engine_has_staged(std::uint64_t version) const;
  std::optional<peers::piece_announcement> own_pieces(std::uint64_t version) const;
  /// Pieces of the version that is being staged; null if they are no longer held.
  const piece_set* pieces_to_stage() const;
  void stage(std::uint32_t piece);
  void check_staged(std::uint32_t piece);
  void order();
  void load_failed(const std::string& reason);

  fetch_environment m_environment;
  transport::endpoint m_engine;
  rollout_handlers m_handlers;
  async_io::timer m_poll_timer;
  settle_rule m_settle{std::chrono::steady_clock::now()};
  std::string m_model;
  weight_shape m_shape;
  /// Named versions and when this host heard of them.
  std::map<std::uint64_t, async_io::time_point> m_named;
  std::map<std::uint64_t, std::shared_ptr<piece_fetcher>> m_fetchers;
  /// Layers whose pieces the newest fetch brings first; none if the engine had weights by then. The
  /// host's position may change while it fetches.
  protocol::layer_range m_first_layers;
  /// When each host was last told what this one has.
  std::map<std::string, async_io::time_point> m_answered;
  std::deque<queued_piece> m_send_queue;
  async_io::timer m_send_timer;
  token_bucket m_uplink;
  bool m_sending = false;
  std::optional<protocol::engine_report> m_report;
  /// Since when entries are told to send nothing new to the engine, before it loads.
  std::optional<async_io::time_point> m_draining_since;
  /// Version that is being staged and ordered, and which of its layers.
  std::uint64_t m_loading_version = 0;
  protocol::layer_range m_loading_layers;
  /// The engine serves while it loads.
  bool m_loads_beside_work = false;
  /// When the engine accepted an order for that version.
  std::optional<async_io::time_point> m_ordered_since;
  std::optional<async_io::time_point> m_order_unknown_since;
  unsigned m_failed_polls = 0;
};

} // namespace pollenyoke::rollout
