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
#include <unordered_map>
#include <vector>

#include "Gateway/ColdServers.h"
#include "Gateway/PermitIssuer.h"
#include "Gateway/ServerNotices.h"
#include "Peers/PeerMessages.h"
#include "Peers/ReportClock.h"
#include "Protocol/ServingModel.h"

namespace pollenyoke::gateway
{

/// What an attempt revealed about the health of the backend server.
enum class attempt_health
{
  healthy,
  /// Says nothing about the health, for example because the server rejected the request as
  /// overloaded.
  neutral,
  /// Another server uses the address, or the server has other weights than expected.
  misdirected,
  /// The connection was refused or timed out.
  unreachable,
  /// The connection broke, the response was invalid or timed out, or the server returned an error.
  failed,
};

/// Where news of a leaving server comes from.
enum class notice_source
{
  store,
  /// An answer of the server itself.
  answer,
  /// Another entry.
  peer,
  /// The agent on the server's host.
  agent,
};

struct choice_request
{
  std::string service;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  /// Engines with older weights are excluded; 0 allows any version.
  std::uint64_t minimum_version = 0;
  /// Newest known version of the weights. Two engines that each hold some of the layers may serve a
  /// request together only with this version; layers of an older one may be replaced at any time.
  std::uint64_t newest_version = 0;
  std::string own_domain;
  std::set<std::string> excluded;
  /// Leaves out the servers that name a limit.
  bool without_limited = false;
  /// Regions whose servers may run the request; no value if there is no restriction.
  std::optional<std::set<std::string>> allowed_regions;
};

/// Exponentially decaying average of the requests per second to one service.
class arrival_rate
{
public:
  void add(time_point now);
  double per_second(time_point now) const;

private:
  double m_rate = 0;
  time_point m_updated{};
};

struct backend_choice
{
  std::string id;
  transport::endpoint address;
  /// Estimated time to the first byte or event, in milliseconds.
  double first_byte_ms = 0;
  /// Queueing part of `first_byte_ms`.
  double wait_ms = 0;

  /// Version of the server's weights; 0 if unknown.
  std::uint64_t weight_version = 0;
  /// Start of the server, Unix time in ms; 0 if unknown.
  std::uint64_t started_ms = 0;
  /// The server names a limit, so that the request needs a permit.
  bool limited = false;
  /// The server, or one of the pipeline, was cold at the choice, so that the request counts toward
  /// its rate.
  bool cold = false;
  /// Pipeline of engines that run the request together, the chosen server first; empty if one
  /// server runs it alone.
  std::vector<protocol::pipeline_stage> pipeline;
};

/// Server counts of a service as seen by this process.
struct service_view
{
  std::size_t servers = 0;
  /// Servers that accept new requests now.
  std::size_t usable = 0;
};

/// Work of a request at an engine of the service, in tokens of a prompt: reading a prompt token and
/// writing an answer token take different times.
double request_cost(const protocol::service& service, std::uint32_t prompt_tokens,
                    std::uint32_t answer_tokens);

/// Distributes requests over servers by water-filling: servers that receive a share end up with the
/// same estimated wait. Many entries choose by the same load reports; if each picked the best
/// server, all would send to the same one, typically one that has just loaded its weights.
/// `estimates` and `added_wait_ms` are in milliseconds.
std::vector<double> water_filling_shares(std::span<const double> estimates, double requests,
                                         double added_wait_ms);

/// Tracks the backend servers, their health and their load, and selects a server for each request.
/// The caller passes the current time. Not thread-safe.
class backend_table
{
public:
  /// `regions`: region of each failure domain.
  explicit backend_table(std::uint64_t random_seed, std::map<std::string, std::string> regions = {},
                         cold_servers cold = cold_servers());

  /// Counts a request for a service. `entries`: number of entries that send to the same servers.
  void add_request(const std::string& service, std::size_t entries, time_point now);

  void set_services(const std::map<std::string, protocol::service>& services);
  /// The operator wants no new requests at the servers of a failure domain. Both return false if
  /// that was known.
  bool begin_evacuation(const std::string& domain);
  bool end_evacuation(const std::string& domain, time_point now);
  void put(const protocol::backend_entry& entry, time_point now);
  /// `keep_until`: set if the record may merely have expired; the server stays in use until then.
  void remove(const std::string& id, std::optional<time_point> keep_until);
  void update_load(const peers::load_message& load, time_point now);
  /// The proof that an earlier report of the engine held for the mark of this one; empty if there
  /// was none.
  std::optional<peers::layer_proof> find_proof(const peers::load_message& load) const;
  /// The server wants no new requests, whatever its record says. Returns false if it was known.
  bool add_leaving(const std::string& id, std::uint64_t started_ms, notice_source source,
                   time_point now);
  /// The server wants no requests for `length`. Returns false if that was known.
  bool begin_pause(const std::string& id, std::uint64_t started_ms, milliseconds length,
                   time_point now);
  /// The server has said that it stays cold for `remaining`.
  void add_cold(const std::string& id, milliseconds remaining, time_point now);
  /// Whether this entry may send a request to each cold server of a choice now.
  bool may_send_to_cold(const backend_choice& choice, time_point now) const;
  /// Whether servers that could take the request are cold and take no request from this entry now.
  bool has_cold(const choice_request& request, time_point now) const;
  /// See server_notices.
  bool name_limit(const std::string& id, std::uint64_t started_ms, double per_second,
                  time_point asked, time_point now);
  bool end_limit(const std::string& id, std::uint64_t started_ms, time_point asked);
  /// False if one of the servers of a choice has said since that it leaves or wants no requests, or
  /// if its failure domain is evacuated.
  bool wants_requests(const backend_choice& choice, time_point now) const;
  /// False if the engines of a choice are not known to hold their layers any more.
  bool holds_layers(const backend_choice& choice, time_point now) const;
  /// Engines that were about to load when their last report was made, too long ago to know what
  /// they hold by now.
  std::set<std::string> engines_that_may_have_loaded(time_point now) const;
  /// What an entry says when it asks for a permit; empty if the server names no limit.
  std::optional<permit_query> make_permit_query(const backend_choice& choice, time_point now) const;
  /// See server_notices.
  void put_off(const backend_choice& choice, time_point until);
  /// Whether a server that names no limit can take the request.
  bool has_unlimited(const choice_request& request, time_point now) const;
  /// Shortest time until a server takes requests again that only has a pause, a limit that is used
  /// up, or is cold.
  std::optional<milliseconds> shortest_pause(const choice_request& request, time_point now) const;
  /// Whether servers of the service that could take the request name limits.
  bool has_limited(const choice_request& request, time_point now) const;
  std::optional<transport::endpoint> address_of(const std::string& id) const;

  std::optional<backend_choice> choose(const choice_request& request, time_point now);
  service_view view(const std::string& service, time_point now) const;

  void begin_attempt(const backend_choice& choice, time_point now);
  /// `at_fault`: id or address of the server named as the cause; defaults to the first server.
  void end_attempt(const backend_choice& choice, attempt_health health, time_point now,
                   const std::string& at_fault = {});

private:
  struct server
  {
    protocol::backend_entry entry;
    time_point record_received{};
    std::optional<time_point> expires_at;
    /// Unfinished attempts of this process.
    unsigned in_flight = 0;
    std::optional<peers::load_message> load;
    time_point load_received{};
    peers::report_clock report_clock;
    /// When the engine held the layers that the last load report names; earlier than its arrival if
    /// the report was delayed.
    time_point layers_confirmed{};
    /// Start times of attempts that the last load report may not include.
    std::deque<time_point> unreported;
    /// Exponential moving average of the share of failed attempts.
    double failure_share = 0;
    unsigned consecutive_failures = 0;
    unsigned times_ejected = 0;
    time_point ejected_until{};
    bool probing = false;
    /// Its connections failed, so that it has probably started again if it is restored.
    bool was_unreachable = false;
    /// After a misdirected request the server is not chosen until then, as its record is out of
    /// date.
    time_point avoid_until{};
  };

  /// Whether agents load the weights of the service, so that only layers with a proof are used.
  static bool needs_proof(const protocol::service* service);
  bool is_cold(const server& backend, time_point now) const;
  /// The server is cold and takes no request of this entry now; when it does.
  std::optional<time_point> next_cold_send(const server& backend, time_point now) const;
  /// The server has started again, or may have: it is cold for as long as its service says.
  void add_cold_start(const server& backend, time_point now);
  /// Whether the layers that the report names may be used for requests to the service.
  bool may_use_layers(const peers::load_message& load, const protocol::service* service) const;
  /// Version of which the server holds all layers; 0 if there is none that may be used.
  std::uint64_t known_version(const server& backend, const protocol::service* service,
                              time_point now) const;
  const protocol::service* find_service(const std::string& name) const;
  bool is_leaving(const server& backend) const;
  bool is_limited(const server& backend) const;
  /// Nothing but a pause that the server asked for keeps requests from it.
  bool is_willing(const server& backend, const choice_request& request, time_point now) const;
  bool is_allowed_region(const server& backend, const choice_request& request) const;
  /// The server accepts requests now, whatever weights it has loaded.
  bool accepts_requests(const server& backend, const choice_request& request, time_point now) const;
  /// The server can run the request alone.
  bool is_usable(const server& backend, const choice_request& request, time_point now) const;
  /// Layers that the server can run as a stage of a pipeline; empty if none.
  protocol::layer_range usable_layers(const server& backend, const choice_request& request,
                                      time_point now) const;
  bool is_present(const server& backend, time_point now) const;
  static void log_leaving(const server& backend, notice_source source, time_point now);
  struct estimate
  {
    double first_byte_ms = 0;
    double wait_ms = 0;
    /// Sort key: the time to first byte, plus the delay that the request adds to a pending load of
    /// new weights on the engine.
    double rank_ms = 0;
  };
  /// `share`: share of the model's layers that the server runs.
  static estimate estimate_latency(const server& backend, const choice_request& request,
                                   const protocol::service* service, double share, time_point now);
  struct candidate
  {
    const server* backend = nullptr;
    estimate expected;
    /// Empty if the server runs the request alone.
    protocol::layer_range part;
  };
  std::vector<candidate> find_candidates(const choice_request& request, time_point now) const;
  static void drop_expired_candidates(std::vector<candidate>& candidates);
  static void drop_unneeded_partial_candidates(std::vector<candidate>& candidates);
  /// The second engine holds the layers that follow those of the first one.
  static bool can_follow(const candidate& first, const candidate& second);
  /// Removes from the list the candidates that cannot run the first layers and the partial ones
  /// without a matching follower. Returns the candidates that can only run as the second stage.
  static std::vector<candidate> extract_followers(std::vector<candidate>& candidates);
  const candidate& pick(const std::vector<candidate>& candidates, const choice_request& request,
                        time_point now);
  void end_attempt_at(const std::string& id, attempt_health health, time_point now);
  /// Wait that one more request adds at a server, in milliseconds.
  static double added_wait_ms(const protocol::service* service);
  void eject(server& backend, time_point now);
  void remove_from_index(const server& backend);
  std::size_t ejected_servers(const std::string& service, time_point now) const;

  std::map<std::string, std::string> m_regions;
  std::set<std::string> m_evacuated_domains;
  std::map<std::string, server> m_servers;
  /// Ids of the servers by `IP:PORT`, as load reports name engines by their address.
  std::unordered_multimap<std::string, std::string> m_ids_by_address;
  /// Last proven mark of each engine, by its `IP:PORT`.
  std::unordered_map<std::string, peers::engine_mark> m_proven_marks;
  server_notices m_notices;
  cold_servers m_cold;
  std::map<std::string, protocol::service> m_services;
  std::map<std::string, arrival_rate> m_arrivals;
  std::size_t m_entries = 1;
  /// Average time that load reports were held by an entry that forwards them, in seconds.
  double m_held_s = 0;
  std::mt19937_64 m_random;
};

} // namespace pollenyoke::gateway
