#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "AsyncIo/HttpMessage.h"
#include "AsyncIo/HttpParser.h"
#include "AsyncIo/TcpConnection.h"
#include "Peers/EngineMark.h"
#include "Protocol/ServingModel.h"
#include "Rollout/WeightParts.h"

namespace pollenyoke::test
{

std::string piece_bytes(std::uint64_t version, std::uint32_t piece);

/// HTTP server that answers a call as soon as its handler has an answer. An empty answer closes the
/// connection.
class deferred_http_server
{
public:
  using responder = std::function<void(const std::string& answer)>;
  using handler =
      std::function<void(const async_io::message_head&, const std::string& body, responder)>;

  deferred_http_server(async_io::event_loop& loop, handler on_call);
  ~deferred_http_server();
  deferred_http_server(const deferred_http_server&) = delete;
  deferred_http_server& operator=(const deferred_http_server&) = delete;
  deferred_http_server(deferred_http_server&&) = delete;
  deferred_http_server& operator=(deferred_http_server&&) = delete;

  transport::endpoint address() const;
  void close_connections();

private:
  void accept(const async_io::tcp_connection::pointer& connection);

  async_io::tcp_listener m_listener;
  handler m_on_call;
  std::vector<async_io::tcp_connection::pointer> m_connections;
};

enum class engine_call
{
  report,
  stage_put,
  stage_get,
  order,
};

/// What becomes of a call.
enum class call_fate
{
  answered,
  answer_lost,
  /// It is answered when release_answers() is called.
  answer_held,
  /// It never reaches the engine.
  lost,
  /// It reaches the engine when release() is called, whatever its sender does meanwhile.
  held,
};

/// An engine that loads staged pieces as they are and knows which of its layers were taken from
/// bad ones. For use on the thread of its loop.
class engine_stand_in
{
public:
  engine_stand_in(async_io::event_loop& loop, const rollout::weight_shape& shape);

  transport::endpoint address() const;

  /// Called when a call arrives.
  std::function<call_fate(engine_call, std::uint32_t piece)> on_call;
  /// Called when a call has been executed, before it is answered.
  std::function<void(engine_call, std::uint32_t piece)> on_executed;
  /// Called when the answer has been written.
  std::function<void(engine_call, std::uint32_t piece)> on_answered;

  /// Holds all layers of a version, as an engine that is present at the start.
  void hold(std::uint64_t version);
  /// Executes no call for this long.
  void stand_still(std::chrono::milliseconds time);
  void release();
  void release(engine_call kind);
  void release_answers();
  /// Staged pieces stay unless the host has lost its power.
  void restart(bool loses_staged_pieces);
  void spoil(std::uint32_t piece);
  /// Completes a load that has taken long enough.
  void advance();

  peers::engine_mark mark() const;
  /// The layers that it serves now are of this version; 0 if it serves none.
  std::uint64_t version() const;
  protocol::layer_range layers() const;
  bool holds_all() const;
  bool is_loading() const;
  /// What is wrong with the layers that it serves now; empty if nothing.
  std::string problem() const;
  std::string problem(const protocol::layer_range& layers) const;
  /// What is wrong with the layers that it has held at a mark since its order.
  std::string problem_at(const peers::engine_mark& mark) const;
  std::uint64_t started_ms = 1000;
  std::chrono::milliseconds load_time{60};
  /// Orders that it accepts without executing them.
  unsigned orders_to_ignore = 0;
  unsigned accepted_orders = 0;
  std::vector<unsigned> order_statuses;
  /// Versions of the orders that it has accepted.
  std::vector<std::uint64_t> ordered_versions;
  bool states_layers = true;

private:
  struct staged_piece
  {
    std::string bytes;
    std::optional<std::chrono::steady_clock::time_point> bad_since;
  };
  /// Layers and what is wrong with each.
  using layer_states = std::map<unsigned, std::string>;
  struct load
  {
    std::uint64_t version = 0;
    layer_states layers;
    std::chrono::steady_clock::time_point ends;
  };
  struct waiting_call
  {
    async_io::message_head head;
    std::string body;
    deferred_http_server::responder respond;
  };

  void receive(const async_io::message_head& head, const std::string& body,
               const deferred_http_server::responder& respond);
  void execute(const waiting_call& call, call_fate fate);
  void complete_load();
  std::string execute_order(const std::string& order);
  std::string report() const;
  std::string find_problem(std::uint64_t version, unsigned layer) const;
  static std::string first_problem(const layer_states& layers);

  rollout::weight_shape m_shape;
  std::uint64_t m_orders = 0;
  std::uint64_t m_version = 0;
  layer_states m_layers;
  std::optional<load> m_load;
  std::map<std::uint32_t, staged_piece> m_staged;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> m_problems;
  std::chrono::steady_clock::time_point m_still_until{};
  std::vector<waiting_call> m_waiting;
  std::vector<waiting_call> m_held;
  std::vector<std::function<void()>> m_held_answers;
  deferred_http_server m_server;
};

} // namespace pollenyoke::test
