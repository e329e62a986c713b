#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/HttpListener.h"
#include "Common/TokenBucket.h"
#include "Peers/PeerMessages.h"
#include "Rollout/PieceSet.h"
#include "Rollout/RelaySchedule.h"

namespace pollenyoke::rollout
{

/// Part of an entry's link for the pieces that it hands on. Answers to callers need the rest: on
/// the narrowest links, of 28 Mbit/s, about a tenth.
constexpr double relay_link_share = 0.7;

/// Where the weights come from.
struct weight_origin
{
  transport::endpoint address;
  std::string region;
};

/// Calls and facts that an entry needs to hand pieces on.
struct relay_environment
{
  async_io::event_loop& loop;
  async_io::http_caller& caller;
  std::string self;
  std::string region;
  std::uint16_t peer_port = 0;
  /// Bytes per second that pieces may use of this entry's link.
  double uplink_bytes_per_s = 1e9;
  /// Live entries, this one included; empty until this process knows the others.
  std::function<std::vector<plan_host>()> entries;
  /// Its port is 0 until it is known.
  std::function<weight_origin()> origin;
};

/// Hands the pieces of weights that hosts of this region fetch on to them. Holds only the pieces
/// that were its share or that somebody asked for, of the two newest versions.
class piece_relay
{
public:
  explicit piece_relay(relay_environment environment);
  ~piece_relay();
  piece_relay(const piece_relay&) = delete;
  piece_relay& operator=(const piece_relay&) = delete;
  piece_relay(piece_relay&&) = delete;
  piece_relay& operator=(piece_relay&&) = delete;

  /// A host of this region has begun to fetch a version; this entry reads its share.
  void take_announcement(const peers::piece_announcement& news);
  /// Answers `GET /piece` and `GET /manifest`, when it can or after a while with 503.
  void serve(const async_io::message_head& head, const async_io::http_listener::responder& respond);

private:
  struct weights;

  std::shared_ptr<weights> open(const std::string& model, std::uint64_t version);

  relay_environment m_environment;
  token_bucket m_uplink;
  std::map<std::string, std::map<std::uint64_t, std::shared_ptr<weights>>> m_models;
};

} // namespace pollenyoke::rollout
