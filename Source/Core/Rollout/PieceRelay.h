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

/// Fraction of an entry's uplink that may carry relayed pieces. The rest is for responses to
/// callers, which need about 10% of the slowest links (28 Mbit/s).
constexpr double relay_uplink_fraction = 0.7;

/// Address and region of the weight store.
struct weight_origin
{
  transport::endpoint address;
  std::string region;
};

/// Dependencies and parameters of an entry that relays pieces.
struct relay_environment
{
  async_io::event_loop& loop;
  async_io::http_caller& caller;
  std::string self;
  std::string region;
  std::uint16_t peer_port = 0;
  /// Uplink rate limit for pieces, in bytes per second.
  double uplink_bytes_per_s = 1e9;
  /// Live entries, including this one; empty until this process knows the others.
  std::function<std::vector<rollout_host>()> entries;
  /// The port is 0 until the origin is known.
  std::function<weight_origin()> origin;
};

/// Relays weight pieces from the origin to the hosts of this region. Holds only pieces that are
/// assigned to this entry or were requested, of the two newest versions of each model.
class piece_relay
{
public:
  explicit piece_relay(relay_environment environment);
  ~piece_relay();
  piece_relay(const piece_relay&) = delete;
  piece_relay& operator=(const piece_relay&) = delete;
  piece_relay(piece_relay&&) = delete;
  piece_relay& operator=(piece_relay&&) = delete;

  /// Reads the pieces assigned to this entry for a host of this region that fetches a version.
  void handle_announcement(const peers::piece_announcement& update);
  /// Answers `GET /piece` and `GET /manifest` once the data is available, or with 503 on timeout.
  void serve(const async_io::message_head& head, const async_io::http_listener::responder& respond);

private:
  struct relayed_version;

  std::shared_ptr<relayed_version> find_or_create(const std::string& model, std::uint64_t version);

  relay_environment m_environment;
  token_bucket m_uplink;
  std::map<std::string, std::map<std::uint64_t, std::shared_ptr<relayed_version>>> m_models;
};

} // namespace pollenyoke::rollout
