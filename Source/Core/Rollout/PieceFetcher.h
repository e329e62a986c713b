#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "AsyncIo/HttpCaller.h"
#include "Peers/PeerMessages.h"
#include "Rollout/PiecePlan.h"
#include "Rollout/PieceSchedule.h"
#include "Rollout/PieceSet.h"

namespace pollenyoke::rollout
{

/// Part of the host's link for pieces while its engine serves. The engine's answers use the same
/// link, about a twentieth of it; pieces are sent one at a time, so that an event waits 42 ms at
/// most.
constexpr double piece_link_share = 0.9;

/// Calls and facts that a fetch depends on.
struct fetch_environment
{
  async_io::event_loop& loop;
  async_io::http_caller& caller;
  std::string self;
  std::uint16_t peer_port = 0;
  /// Bytes per second that pieces may use of this host's link while its engine serves.
  double uplink_bytes_per_s = 1e6;
  std::string region;
  std::function<std::vector<plan_host>()> hosts;
  /// Live entries, which hand pieces on; none if empty.
  std::function<std::vector<plan_host>()> relays;
  /// All hosts that the store lists were heard of. Counts as false if empty.
  std::function<bool()> has_heard_all;
  std::function<transport::endpoint()> origin;
  /// Requests of the engine share this host's link with the pieces. Counts as true if empty.
  std::function<bool()> engine_serves;
  /// Sends an announcement to another host; it may be lost.
  std::function<void(const std::string& ip, const peers::piece_announcement&)> announce;
};

/// The call with which a host asks another one for a piece.
async_io::http_call peer_piece_call(const transport::endpoint& peer, const std::string& model,
                                    std::uint64_t version, std::uint32_t piece);

/// The call with which a host asks another one for the manifest.
async_io::http_call peer_manifest_call(const transport::endpoint& peer, const std::string& model,
                                       std::uint64_t version);

/// How the pieces of a version came.
struct fetch_counts
{
  unsigned from_origin = 0;
  unsigned from_entries = 0;
  unsigned from_peers = 0;
  /// Reads without a piece: timed out, refused or spoilt.
  unsigned failed_origin = 0;
  unsigned failed_peers = 0;
};

/// Fetches one version of a model: its manifest, then its pieces.
class piece_fetcher : public std::enable_shared_from_this<piece_fetcher>
{
public:
  /// What is called when pieces were checked and kept.
  struct handlers
  {
    std::function<void()> on_first_part;
    std::function<void()> on_complete;
  };

  /// `first_part`: pieces that are fetched before the others.
  piece_fetcher(fetch_environment environment, std::string model, std::uint64_t version,
                piece_range first_part, handlers callbacks);

  void start();
  void stop();
  void take_announcement(const std::string& ip, const peers::piece_announcement& news);
  /// Null until the manifest is known.
  const piece_set* pieces() const;
  /// The manifest as it was received; empty until it is known.
  const std::string& manifest() const;
  const fetch_counts& counts() const;
  /// All pieces of the first part are held, and there is one.
  bool has_first_part() const;
  peers::piece_announcement announcement() const;

private:
  std::vector<plan_host> live_relays() const;
  async_io::http_call manifest_source();
  void ask_manifest();
  void take_manifest(const result<async_io::http_response>& answer);
  void adopt_manifest(piece_set pieces, const std::string& text);
  void tick();
  void begin_reads();
  void fetch(const piece_read& read);
  void take_piece(const piece_read& read, const result<async_io::http_response>& answer);
  read_end keep_piece(const piece_read& read, const result<async_io::http_response>& answer);
  void announce_if_due();
  /// Who is told of this host's pieces now.
  std::vector<std::string> announcement_targets(bool served_by_relays);
  /// Tells the entries of this region that this host fetches the version.
  void ask_relays();

  fetch_environment m_environment;
  std::string m_model;
  std::uint64_t m_version;
  piece_range m_first_part;
  handlers m_handlers;
  std::unique_ptr<piece_set> m_pieces;
  std::unique_ptr<piece_schedule> m_schedule;
  async_io::timer m_tick_timer;
  async_io::timer m_manifest_timer;
  std::string m_manifest;
  std::vector<plan_host> m_hosts;
  std::vector<plan_host> m_relays;
  fetch_counts m_counts;
  std::vector<peers::piece_state> m_announced;
  async_io::time_point m_announced_at{};
  /// Host with which the next round of announcements goes on.
  std::size_t m_next_target = 0;
  async_io::time_point m_relays_asked_at{};
  unsigned m_manifest_tries = 0;
  unsigned m_mismatches = 0;
  bool m_asking_manifest = false;
  bool m_stopped = false;
};

} // namespace pollenyoke::rollout
