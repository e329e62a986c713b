#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "Peers/PeerMessages.h"
#include "Protocol/ServingModel.h"

namespace pollenyoke::gateway
{

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// How an attempt at a backend server ended, as far as it says something about the server.
enum class attempt_health
{
  good,
  /// The server answered that it is full.
  full,
  /// Another server has the address, or the weights are others than expected.
  misdirected,
  /// The connection was refused or not established.
  unreachable,
  /// Broken off, spoilt, silent for too long, or an error of the server.
  failed,
};

struct choice_request
{
  std::string service;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  /// Engines with older weights are not chosen; 0 for any.
  std::uint64_t minimum_version = 0;
  /// Newest named version of the weights. Only of this one may two engines with a part of the
  /// layers each serve a request together: an older part may be replaced at any time.
  std::uint64_t newest_version = 0;
  std::string own_domain;
  std::set<std::string> excluded;
};

/// Requests per second to one service, as a moving mean.
class arrival_rate
{
public:
  void add(time_point now);
  double per_second(time_point now) const;

private:
  double m_level = 0;
  time_point m_updated{};
};

struct backend_choice
{
  std::string id;
  transport::endpoint address;
  /// Expected time to the first byte, or the first event, in milliseconds.
  double first_byte_ms = 0;
  /// Part of it that the request waits for others.
  double wait_ms = 0;

  /// Version of the server's weights, as far as known; 0 if unknown.
  std::uint64_t weight_version = 0;
  /// Engines that run the request together, the chosen server first; empty if it runs it alone.
  std::vector<protocol::pipeline_stage> pipeline;
};

/// What a service looks like to this process.
struct service_view
{
  std::size_t servers = 0;
  /// Servers that take new requests now.
  std::size_t usable = 0;
};

/// Shares in which requests spread over servers with these expected waits, so that all that get
/// some end up with the same wait. Load pattern: many entries that choose by the same reports;
/// choosing the best server sends them all to the same one, most of all one that has just loaded
/// weights.
std::vector<double> fill_shares(std::span<const double> estimates, double requests,
                                double added_wait_ms);

/// The backend servers with their load, as this process knows it, and the choice among them. Time
/// is passed in. Not thread-safe.
class backend_table
{
public:
  explicit backend_table(std::uint64_t random_seed);

  /// Counts a request for a service. `entries`: entries that send to the same servers.
  void add_request(const std::string& service, std::size_t entries, time_point now);

  void set_services(const std::map<std::string, protocol::service>& services);
  void put(const protocol::backend_entry& entry, time_point now);
  /// `lapse_until`: the record may only have lapsed; the server stays in use until then.
  void remove(const std::string& id, std::optional<time_point> lapse_until);
  void take_load(const peers::load_message& load, time_point now);

  std::optional<backend_choice> choose(const choice_request& request, time_point now);
  service_view view(const std::string& service, time_point now) const;

  void begin_attempt(const backend_choice& choice, time_point now);
  /// `at_fault`: id or address of the server that the answer blames; otherwise it is the first one.
  void end_attempt(const backend_choice& choice, attempt_health health, time_point now,
                   const std::string& at_fault = {});

private:
  struct server
  {
    protocol::backend_entry entry;
    std::optional<time_point> gone_at;
    /// Attempts of this process that have not ended.
    unsigned in_flight = 0;
    std::optional<peers::load_message> load;
    time_point load_received{};
    /// Attempts of this process that the last load report may not show.
    std::deque<time_point> unreported;
    /// Moving share of attempts that failed.
    double failure_share = 0;
    unsigned consecutive_failures = 0;
    unsigned times_ejected = 0;
    time_point ejected_until{};
    bool on_trial = false;
    /// What is known of the server is out of date until then, or until news of it.
    time_point doubtful_until{};
  };

  static std::uint64_t known_version(const server& backend, const protocol::service* service);
  const protocol::service* find_service(const std::string& name) const;
  /// The server takes requests now, whatever weights it holds.
  bool is_open(const server& backend, const choice_request& request, time_point now) const;
  /// The server can run the request alone.
  bool is_usable(const server& backend, const choice_request& request, time_point now) const;
  /// The layers that the server can run as a part of a pipeline; empty if none.
  protocol::layer_range usable_part(const server& backend, const choice_request& request,
                                    time_point now) const;
  static bool is_present(const server& backend, time_point now);
  struct estimate
  {
    double first_byte_ms = 0;
    double wait_ms = 0;
    /// For the order among servers: the first byte, and what the request adds to an engine's pause
    /// for loading weights.
    double rank_ms = 0;
  };
  /// `share`: part of the layers that the server runs.
  static estimate expect(const server& backend, const choice_request& request,
                         const protocol::service* service, double share, time_point now);
  struct candidate
  {
    const server* backend = nullptr;
    estimate expected;
    /// Empty if the server runs the request alone.
    protocol::layer_range part;
  };
  std::vector<candidate> find_candidates(const choice_request& request, time_point now) const;
  static void drop_parts_if_needless(std::vector<candidate>& candidates);
  /// The second engine holds the layers behind those of the first one.
  static bool can_follow(const candidate& first, const candidate& second);
  /// The candidates that can only follow others, which are taken out of the list; so are those that
  /// none of them can follow.
  static std::vector<candidate> split_followers(std::vector<candidate>& candidates);
  const candidate& draw(const std::vector<candidate>& candidates, const choice_request& request,
                        time_point now);
  void end_attempt_at(const std::string& id, attempt_health health, time_point now);
  /// Time that one more request adds to the wait at a server, in milliseconds.
  static double added_wait_ms(const protocol::service* service);
  void eject(server& backend, time_point now);
  std::size_t ejected_servers(const std::string& service, time_point now) const;

  std::map<std::string, server> m_servers;
  std::map<std::string, protocol::service> m_services;
  std::map<std::string, arrival_rate> m_arrivals;
  std::size_t m_entries = 1;
  std::mt19937_64 m_random;
};

} // namespace pollenyoke::gateway
