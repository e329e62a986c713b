#include "Rollout/PieceRelay.h"

#include <algorithm>
#include <optional>

#include "Common/BootClock.h"
#include "Common/Log.h"
#include "Common/Rendezvous.h"
#include "Rollout/PieceFetcher.h"
#include "platform/Decode.h"
#include "platform/EngineCalls.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// The version that engines serve and the next one: hosts that join later request either.
constexpr std::size_t max_versions_per_model = 2;
// Maximum delay before a due read or retry starts: half of the origin's read interval.
constexpr milliseconds tick_interval{13};
// Assigned pieces are read for this long after the last request or announcement. Hosts that want
// pieces announce themselves twice per second.
constexpr milliseconds demand_lifetime{3000};
// After this time a request is answered with 503, so that the caller can tell an entry that waits
// for the origin from one that is down.
constexpr milliseconds max_request_hold{400};
// A 3.3 KB manifest takes a few ms, but queues behind pieces on the origin's link, which take 26 ms
// each. An origin that has not answered by then is considered hung, and the next source is tried.
constexpr milliseconds manifest_timeout{300};
constexpr milliseconds manifest_retry_delay{50};
// The origin's link needs 1.05 s to send two pieces to each of 20 entries, and serves them all at
// once.
constexpr milliseconds origin_timeout{1500};
// A piece that is arriving is not given up. After an outage all entries read at once, and reads
// that start anew would keep the origin's link full.
constexpr milliseconds origin_transfer_timeout{6000};
// Another entry holds a request for 0.4 s before it answers with 503.
constexpr milliseconds entry_timeout{1000};
// Two pieces may be sent back to back.
constexpr double uplink_burst_bytes = 2 * 49152;
// Repeated digest mismatches suggest that the manifest itself is corrupt.
constexpr unsigned mismatches_before_manifest_retry = 3;

} // namespace

/// State of one version of a model at this entry.
struct piece_relay::relayed_version : std::enable_shared_from_this<piece_relay::relayed_version>
{
  struct waiting_caller
  {
    std::uint32_t piece = 0;
    /// The request is for the manifest, not for a piece.
    bool for_manifest = false;
    bool from_origin = false;
    async_io::time_point expires;
    async_io::http_listener::responder respond;
  };

  relayed_version(relay_environment& environment, token_bucket& shared_uplink,
                  std::string model_name, std::uint64_t version_number)
      : env(environment), uplink(shared_uplink), model(std::move(model_name)),
        version(version_number), timer(env.loop)
  {
  }

  relay_environment& env;
  token_bucket& uplink;
  std::string model;
  std::uint64_t version;
  std::string manifest;
  std::optional<piece_set> pieces;
  std::optional<relay_schedule> schedule;
  std::vector<rollout_host> entries;
  std::vector<waiting_caller> waiting;
  async_io::timer timer;
  async_io::time_point last_demand{};
  async_io::time_point manifest_retry_at{};
  unsigned manifest_attempts = 0;
  unsigned mismatches = 0;
  bool manifest_requested = false;
  bool ticking = false;
  bool stopped = false;

  void refresh_demand()
  {
    last_demand = current_time();
    if (!ticking)
    {
      tick();
    }
  }

  void add_caller(waiting_caller caller)
  {
    caller.expires = current_time() + max_request_hold;
    waiting.push_back(std::move(caller));
    answer_waiting_callers();
    begin_reads();
    refresh_demand();
  }

  void tick()
  {
    const auto now = current_time();
    ticking = !stopped && now - last_demand < demand_lifetime;
    if (!ticking)
    {
      return;
    }
    if (manifest.empty() && now >= manifest_retry_at)
    {
      request_manifest();
    }
    answer_waiting_callers();
    begin_reads();
    timer.start(tick_interval, [self = shared_from_this()] { self->tick(); });
  }

  async_io::http_call next_manifest_call()
  {
    const relay_plan plan(env.entries(), env.region, env.origin().region);
    const auto sources = plan.manifest_sources(env.self);
    const std::string& source = sources[manifest_attempts++ % sources.size()];
    auto call = source.empty() ? platform::manifest_call(env.origin().address, model, version)
                               : peer_manifest_call({source, env.peer_port}, model, version);
    call.timeout = source.empty() ? manifest_timeout : entry_timeout;
    return call;
  }

  void request_manifest()
  {
    if (manifest_requested || env.entries().empty())
    {
      return;
    }
    manifest_requested = true;
    env.caller.call(next_manifest_call(),
                    [self = shared_from_this()](const result<async_io::http_response>& answer)
                    { self->on_manifest_response(answer); });
  }

  void on_manifest_response(const result<async_io::http_response>& answer)
  {
    manifest_requested = false;
    manifest_retry_at = current_time() + manifest_retry_delay;
    if (stopped)
    {
      return;
    }
    auto read = answer && answer->head.status == 200
                    ? platform::decode_manifest(answer->body).and_then(piece_set::make)
                    : result<piece_set>(fail(error_code::unavailable, "no manifest"));
    if (!read || read->version() != version || read->size() == 0)
    {
      log_warning(log_category::weights, "failed to fetch a valid manifest",
                  {{"model", model},
                   {"version", version},
                   {"reason", !answer ? answer.error().message
                                      : "status " + std::to_string(answer->head.status)}});
      return;
    }
    manifest = answer->body;
    if (pieces)
    {
      pieces->replace_digests(*read);
      for (std::uint32_t piece = 0; piece < pieces->size(); ++piece)
      {
        if (pieces->get(piece) == nullptr)
        {
          schedule->drop(piece);
        }
      }
      return;
    }
    pieces = std::move(*read);
    schedule.emplace(pieces->size(), env.self, current_time());
    log_info(log_category::weights, "relaying weight pieces",
             {{"version", version}, {"pieces", pieces->size()}});
    answer_waiting_callers();
    begin_reads();
  }

  void begin_reads()
  {
    if (!schedule)
    {
      return;
    }
    auto live = env.entries();
    if (live != entries)
    {
      entries = std::move(live);
      schedule->set_plan(relay_plan(entries, env.region, env.origin().region));
    }
    for (const piece_read& read : schedule->begin_reads(current_time()))
    {
      fetch(read);
    }
  }

  void fetch(const piece_read& read)
  {
    auto call = read.from_origin()
                    ? platform::piece_call(env.origin().address, model, version, read.piece)
                    : peer_piece_call({read.peer, env.peer_port}, model, version, read.piece);
    call.target += read.from_origin() ? "" : "&from_origin=1";
    call.timeout = read.from_origin() ? origin_timeout : entry_timeout;
    call.transfer_timeout = origin_transfer_timeout;
    env.caller.call(std::move(call),
                    [self = shared_from_this(), read](const result<async_io::http_response>& answer)
                    { self->on_piece_response(read, answer); });
  }

  void on_piece_response(const piece_read& read, const result<async_io::http_response>& answer)
  {
    if (stopped)
    {
      return;
    }
    read_outcome outcome = read_outcome::failed;
    if (answer && answer->head.status == 200)
    {
      outcome =
          pieces->put(read.piece, answer->body) ? read_outcome::received : read_outcome::corrupt;
    }
    else if (answer && answer->head.status == 503 && !read.from_origin())
    {
      outcome = read_outcome::busy;
    }
    if (outcome == read_outcome::corrupt)
    {
      log_warning(log_category::weights, "piece does not match its digest",
                  {{"version", version}, {"piece", read.piece}, {"origin", read.from_origin()}});
      if (++mismatches % mismatches_before_manifest_retry == 0)
      {
        request_manifest();
      }
    }
    if (outcome == read_outcome::failed)
    {
      log_debug(log_category::weights, "failed to fetch piece",
                {{"version", version},
                 {"piece", read.piece},
                 {"source", read.from_origin() ? "origin" : read.peer},
                 {"reason", answer ? "status " + std::to_string(answer->head.status)
                                   : answer.error().message}});
    }
    schedule->on_read_finished(read, outcome, current_time());
    answer_waiting_callers();
    begin_reads();
  }

  /// Answers callers whose data is available, whose wait has expired, or whose piece number is out
  /// of range.
  void answer_waiting_callers()
  {
    const auto now = current_time();
    auto callers = std::move(waiting);
    waiting.clear();
    // Entries of other regions go first, as each waits on behalf of all hosts of its region.
    std::stable_partition(callers.begin(), callers.end(),
                          [](const waiting_caller& caller) { return caller.from_origin; });
    for (const waiting_caller& caller : callers)
    {
      if (!answer(caller, now))
      {
        waiting.push_back(caller);
      }
    }
  }

  bool answer(const waiting_caller& caller, async_io::time_point now)
  {
    if (caller.for_manifest && !manifest.empty())
    {
      caller.respond({200, "application/json", manifest});
      return true;
    }
    if (!caller.for_manifest && pieces)
    {
      if (caller.piece >= pieces->size())
      {
        caller.respond({.status = 404});
        return true;
      }
      const std::string* bytes = pieces->get(caller.piece);
      if (bytes != nullptr && uplink.try_take(static_cast<double>(bytes->size()), now))
      {
        caller.respond({200, "application/octet-stream", *bytes});
        return true;
      }
      if (bytes == nullptr)
      {
        schedule->request_piece(caller.piece, caller.from_origin);
      }
    }
    if (now < caller.expires)
    {
      return false;
    }
    if (!caller.for_manifest && pieces)
    {
      schedule->cancel_request(caller.piece);
    }
    caller.respond({.status = 503});
    return true;
  }

  void stop()
  {
    stopped = true;
    timer.cancel();
    const auto callers = std::move(waiting);
    waiting.clear();
    for (const waiting_caller& caller : callers)
    {
      caller.respond({.status = 404});
    }
  }
};

piece_relay::piece_relay(relay_environment environment)
    : m_environment(std::move(environment)),
      m_uplink(m_environment.uplink_bytes_per_s, uplink_burst_bytes, current_time())
{
}

piece_relay::~piece_relay()
{
  // Pending timers would keep the versions alive.
  for (const auto& [model, versions] : m_models)
  {
    for (const auto& [number, version] : versions)
    {
      version->stop();
    }
  }
}

/// Returns null for a version that is older than those kept for the model.
std::shared_ptr<piece_relay::relayed_version> piece_relay::find_or_create(const std::string& model,
                                                                          std::uint64_t version)
{
  auto& versions = m_models[model];
  auto& found = versions[version];
  if (!found)
  {
    found = std::make_shared<relayed_version>(m_environment, m_uplink, model, version);
    while (versions.size() > max_versions_per_model)
    {
      versions.begin()->second->stop();
      versions.erase(versions.begin());
    }
  }
  const auto kept = versions.find(version);
  return kept == versions.end() ? nullptr : kept->second;
}

void piece_relay::handle_announcement(const peers::piece_announcement& update)
{
  if (!update.wants_answer || m_environment.origin().address.port == 0)
  {
    return;
  }
  if (const auto version = find_or_create(update.model, update.version))
  {
    version->refresh_demand();
  }
}

void piece_relay::serve(const async_io::message_head& head,
                        const async_io::http_listener::responder& respond)
{
  std::uint64_t version = 0;
  std::uint64_t piece = 0;
  const bool for_manifest = async_io::path_of(head.target) == "/manifest";
  const std::string model = async_io::query_parameter(head.target, "model");
  if (model.empty() ||
      !async_io::parse_number(async_io::query_parameter(head.target, "version"), version) ||
      (!for_manifest &&
       !async_io::parse_number(async_io::query_parameter(head.target, "number"), piece)))
  {
    respond({.status = 400});
    return;
  }
  const auto requested_version =
      m_environment.origin().address.port == 0 ? nullptr : find_or_create(model, version);
  if (!requested_version)
  {
    respond({.status = 404});
    return;
  }
  requested_version->add_caller(
      {.piece = static_cast<std::uint32_t>(piece),
       .for_manifest = for_manifest,
       .from_origin = !async_io::query_parameter(head.target, "from_origin").empty(),
       .expires = {},
       .respond = respond});
}

} // namespace pollenyoke::rollout
