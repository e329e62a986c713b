#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "AsyncIo/HttpCaller.h"
#include "Peers/PeerMessages.h"
#include "Rollout/PiecePlan.h"
#include "Rollout/PieceSchedule.h"
#include "Rollout/PieceSet.h"

namespace pollenyoke::rollout
{

/// Fraction of the host's uplink that may carry pieces while its engine serves requests. Engine
/// responses need about 5% of the same link. Pieces are sent one at a time, so a stream event is
/// delayed by 42 ms at most.
constexpr double piece_uplink_fraction = 0.9;

/// Dependencies and host parameters of a fetch.
struct fetch_environment
{
  async_io::event_loop& loop;
  async_io::http_caller& caller;
  std::string self;
  std::uint16_t peer_port = 0;
  /// Uplink rate limit for pieces while this host's engine serves, in bytes per second.
  double uplink_bytes_per_s = 1e6;
  /// Time within which all engines have to serve a version; 0 if there is no limit.
  std::chrono::milliseconds version_limit{8000};
  std::string region;
  std::function<std::vector<rollout_host>()> hosts;
  /// Live entries, which relay pieces. An empty function means that there are none.
  std::function<std::vector<rollout_host>()> relays;
  /// True once every host listed in the store has been heard from. An empty function means false.
  std::function<bool()> has_heard_all;
  std::function<transport::endpoint()> origin;
  /// Engine of this host; its staged pieces are used before others are fetched.
  std::optional<transport::endpoint> engine;
  /// True if engine requests share this host's link with the pieces. An empty function means true.
  std::function<bool()> engine_serves;
  /// Sends an announcement to another host. Delivery is not guaranteed.
  std::function<void(const std::string& ip, const peers::piece_announcement&)> announce;
};

/// Builds the request for a piece from another host.
async_io::http_call peer_piece_call(const transport::endpoint& peer, const std::string& model,
                                    std::uint64_t version, std::uint32_t piece);

/// Builds the request for the manifest from another host.
async_io::http_call peer_manifest_call(const transport::endpoint& peer, const std::string& model,
                                       std::uint64_t version);

/// Number of pieces of a version by source, and of failed reads.
struct fetch_counts
{
  unsigned from_origin = 0;
  unsigned from_entries = 0;
  unsigned from_peers = 0;
  unsigned from_engine = 0;
  /// Reads that timed out or were refused. Corrupt pieces are not counted.
  unsigned failed_origin = 0;
  unsigned failed_peers = 0;
};

/// Fetches the manifest of one version of a model, then its pieces: first those that are staged at
/// the engine, then the others over the network.
class piece_fetcher : public std::enable_shared_from_this<piece_fetcher>
{
public:
  /// Callbacks that run after pieces were verified and stored.
  struct handlers
  {
    std::function<void()> on_first_part;
    std::function<void()> on_complete;
  };

  /// `first_part`: pieces to fetch before the others.
  piece_fetcher(fetch_environment environment, std::string model, std::uint64_t version,
                piece_range first_part, handlers callbacks);

  void start();
  void stop();
  void handle_announcement(const std::string& ip, const peers::piece_announcement& update);
  /// Null until the manifest has been received.
  const piece_set* pieces() const;
  /// Manifest as received; empty before.
  const std::string& manifest() const;
  const fetch_counts& counts() const;
  /// True if the first part is not empty and all its pieces are held.
  bool has_first_part() const;
  peers::piece_announcement announcement() const;

private:
  std::vector<rollout_host> live_relays() const;
  async_io::http_call next_manifest_call();
  void request_manifest();
  void on_manifest_response(const result<async_io::http_response>& answer);
  void apply_manifest(piece_set pieces, const std::string& text);
  void list_staged_pieces();
  void on_staged_list(const result<async_io::http_response>& answer);
  /// Reads the next staged piece, or begins the network reads if there is none or the time is up.
  void read_staged_piece();
  void on_staged_piece(std::uint32_t piece, const result<async_io::http_response>& answer);
  void begin_network_reads();
  /// Calls the handlers that are due now that this piece is held.
  void notify_handlers(std::uint32_t piece);
  void tick();
  void begin_reads();
  void fetch(const piece_read& read);
  void on_piece_response(const piece_read& read, const result<async_io::http_response>& answer);
  read_outcome store_piece(const piece_read& read, const result<async_io::http_response>& answer);
  void announce_if_due();
  /// Hosts that receive the next announcement.
  std::vector<std::string> announcement_targets(bool served_by_relays);
  /// Notifies the entries of this region that this host is fetching the version.
  void notify_relays();

  fetch_environment m_environment;
  std::string m_model;
  std::uint64_t m_version;
  piece_range m_first_part;
  handlers m_handlers;
  std::unique_ptr<piece_set> m_pieces;
  /// Null until the network reads begin.
  std::unique_ptr<piece_schedule> m_schedule;
  /// Staged pieces that have not been read, in the order in which they will be.
  std::deque<std::uint32_t> m_staged;
  async_io::time_point m_staged_reads_end{};
  /// Number of staged pieces in a row that were of no use.
  unsigned m_unusable_staged = 0;
  async_io::timer m_tick_timer;
  async_io::timer m_manifest_timer;
  std::string m_manifest;
  std::vector<rollout_host> m_hosts;
  std::vector<rollout_host> m_relays;
  fetch_counts m_counts;
  std::vector<peers::piece_state> m_announced;
  async_io::time_point m_announced_at{};
  /// Index of the host at which the next round of rotating announcements starts.
  std::size_t m_next_target = 0;
  async_io::time_point m_relays_notified_at{};
  unsigned m_manifest_attempts = 0;
  unsigned m_mismatches = 0;
  bool m_manifest_requested = false;
  bool m_stopped = false;
};

} // namespace pollenyoke::rollout
