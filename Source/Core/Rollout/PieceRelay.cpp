#include "Rollout/PieceRelay.h"

#include <algorithm>
#include <optional>

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

// Of each model the version that engines serve and the next one: hosts that come later ask for
// either.
constexpr std::size_t kept_versions = 2;
// Reads that fall due or may be tried again begin this late at most: half of the origin's pace.
constexpr milliseconds tick_interval{13};
// After the last request or announcement the share is read on for this long; hosts that want pieces
// announce themselves twice a second.
constexpr milliseconds demand_lifetime{3000};
// A caller that waits longer is told to come back, so that it can tell a waiting entry from a dead
// one.
constexpr milliseconds longest_hold{400};
// A manifest of 3.3 KB takes a few ms, but waits behind the pieces that the origin's link sends, 26
// ms each. An origin that has not answered by then hangs; the next source is asked.
constexpr milliseconds manifest_timeout{300};
constexpr milliseconds manifest_retry{50};
// The origin's link sends two pieces for each of 20 entries in 1.05 s.
constexpr milliseconds origin_timeout{1500};
// Another entry holds a request for 0.4 s before it answers "not yet".
constexpr milliseconds entry_timeout{1000};
// Two pieces may leave at once.
constexpr double uplink_burst_bytes = 2 * 49152;
// Spoilt pieces in a row point to a spoilt manifest.
constexpr unsigned mismatches_per_manifest = 3;

} // namespace

/// One version of a model at this entry.
struct piece_relay::weights : std::enable_shared_from_this<piece_relay::weights>
{
  struct waiting_caller
  {
    std::uint32_t piece = 0;
    /// Waits for the manifest, not for a piece.
    bool for_manifest = false;
    bool from_origin = false;
    async_io::time_point expires;
    async_io::http_listener::responder respond;
  };

  weights(relay_environment& environment, token_bucket& uplink_of_all, std::string of_model,
          std::uint64_t of_version)
      : with(environment), uplink(uplink_of_all), model(std::move(of_model)), version(of_version),
        timer(with.loop)
  {
  }

  relay_environment& with;
  token_bucket& uplink;
  std::string model;
  std::uint64_t version;
  std::string manifest;
  std::optional<piece_set> pieces;
  std::optional<relay_schedule> schedule;
  std::vector<plan_host> entries;
  std::vector<waiting_caller> waiting;
  async_io::timer timer;
  async_io::time_point demanded{};
  async_io::time_point manifest_due{};
  unsigned manifest_tries = 0;
  unsigned mismatches = 0;
  bool asking_manifest = false;
  bool ticking = false;
  bool stopped = false;

  void demand()
  {
    demanded = std::chrono::steady_clock::now();
    if (!ticking)
    {
      tick();
    }
  }

  void wait_for(waiting_caller caller)
  {
    caller.expires = std::chrono::steady_clock::now() + longest_hold;
    waiting.push_back(std::move(caller));
    answer_waiting();
    begin_reads();
    demand();
  }

  void tick()
  {
    const auto now = std::chrono::steady_clock::now();
    ticking = !stopped && now - demanded < demand_lifetime;
    if (!ticking)
    {
      return;
    }
    if (manifest.empty() && now >= manifest_due)
    {
      ask_manifest();
    }
    answer_waiting();
    begin_reads();
    timer.start(tick_interval, [self = shared_from_this()] { self->tick(); });
  }

  async_io::http_call manifest_source()
  {
    const relay_plan plan(with.entries(), with.region, with.origin().region);
    const auto sources = plan.manifest_sources(with.self);
    const std::string& source = sources[manifest_tries++ % sources.size()];
    auto call = source.empty() ? platform::manifest_call(with.origin().address, model, version)
                               : peer_manifest_call({source, with.peer_port}, model, version);
    call.timeout = source.empty() ? manifest_timeout : entry_timeout;
    return call;
  }

  void ask_manifest()
  {
    if (asking_manifest || with.entries().empty())
    {
      return;
    }
    asking_manifest = true;
    with.caller.call(manifest_source(),
                     [self = shared_from_this()](const result<async_io::http_response>& answer)
                     { self->take_manifest(answer); });
  }

  void take_manifest(const result<async_io::http_response>& answer)
  {
    asking_manifest = false;
    manifest_due = std::chrono::steady_clock::now() + manifest_retry;
    if (stopped)
    {
      return;
    }
    auto read = answer && answer->head.status == 200
                    ? platform::decode_manifest(answer->body).and_then(piece_set::make)
                    : result<piece_set>(fail(error_code::unavailable, "no manifest"));
    if (!read || read->version() != version || read->size() == 0)
    {
      log_warning(log_category::weights, "no usable manifest",
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
    schedule.emplace(pieces->size(), with.self, std::chrono::steady_clock::now());
    log_info(log_category::weights, "entry hands on pieces",
             {{"version", version}, {"pieces", pieces->size()}});
    answer_waiting();
    begin_reads();
  }

  void begin_reads()
  {
    if (!schedule)
    {
      return;
    }
    auto live = with.entries();
    if (live != entries)
    {
      entries = std::move(live);
      schedule->set_plan(relay_plan(entries, with.region, with.origin().region));
    }
    for (const piece_read& read : schedule->begin_reads(std::chrono::steady_clock::now()))
    {
      fetch(read);
    }
  }

  void fetch(const piece_read& read)
  {
    auto call = read.from_origin()
                    ? platform::piece_call(with.origin().address, model, version, read.piece)
                    : peer_piece_call({read.peer, with.peer_port}, model, version, read.piece);
    call.target += read.from_origin() ? "" : "&from_origin=1";
    call.timeout = read.from_origin() ? origin_timeout : entry_timeout;
    with.caller.call(std::move(call), [self = shared_from_this(),
                                       read](const result<async_io::http_response>& answer)
                     { self->take_piece(read, answer); });
  }

  void take_piece(const piece_read& read, const result<async_io::http_response>& answer)
  {
    if (stopped)
    {
      return;
    }
    read_end end = read_end::failed;
    if (answer && answer->head.status == 200)
    {
      end = pieces->put(read.piece, answer->body) ? read_end::received : read_end::spoilt;
    }
    else if (answer && answer->head.status == 503 && !read.from_origin())
    {
      end = read_end::busy;
    }
    if (end == read_end::spoilt)
    {
      log_warning(log_category::weights, "piece does not match its digest",
                  {{"version", version}, {"piece", read.piece}, {"origin", read.from_origin()}});
      if (++mismatches % mismatches_per_manifest == 0)
      {
        ask_manifest();
      }
    }
    if (end == read_end::failed)
    {
      log_debug(log_category::weights, "piece not received",
                {{"version", version},
                 {"piece", read.piece},
                 {"source", read.from_origin() ? "origin" : read.peer},
                 {"reason", answer ? "status " + std::to_string(answer->head.status)
                                   : answer.error().message}});
    }
    schedule->read_ended(read, end, std::chrono::steady_clock::now());
    answer_waiting();
    begin_reads();
  }

  /// Answers the callers whose piece is there, those that have waited long enough, and those that
  /// ask for a piece that does not exist.
  void answer_waiting()
  {
    const auto now = std::chrono::steady_clock::now();
    auto callers = std::move(waiting);
    waiting.clear();
    // An entry of another region waits for all hosts there.
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
        schedule->want(caller.piece, caller.from_origin);
      }
    }
    if (now < caller.expires)
    {
      return false;
    }
    if (!caller.for_manifest && pieces)
    {
      schedule->forget(caller.piece);
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
      m_uplink(m_environment.uplink_bytes_per_s, uplink_burst_bytes,
               std::chrono::steady_clock::now())
{
}

piece_relay::~piece_relay()
{
  // Pending timers keep a version alive.
  for (const auto& [model, versions] : m_models)
  {
    for (const auto& [number, version] : versions)
    {
      version->stop();
    }
  }
}

/// Null for a version that is older than those kept of the model.
std::shared_ptr<piece_relay::weights> piece_relay::open(const std::string& model,
                                                        std::uint64_t version)
{
  auto& versions = m_models[model];
  auto& found = versions[version];
  if (!found)
  {
    found = std::make_shared<weights>(m_environment, m_uplink, model, version);
    while (versions.size() > kept_versions)
    {
      versions.begin()->second->stop();
      versions.erase(versions.begin());
    }
  }
  const auto kept = versions.find(version);
  return kept == versions.end() ? nullptr : kept->second;
}

void piece_relay::take_announcement(const peers::piece_announcement& news)
{
  if (!news.wants_answer || m_environment.origin().address.port == 0)
  {
    return;
  }
  if (const auto version = open(news.model, news.version))
  {
    version->demand();
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
  const auto held = m_environment.origin().address.port == 0 ? nullptr : open(model, version);
  if (!held)
  {
    respond({.status = 404});
    return;
  }
  held->wait_for({.piece = static_cast<std::uint32_t>(piece),
                  .for_manifest = for_manifest,
                  .from_origin = !async_io::query_parameter(head.target, "from_origin").empty(),
                  .expires = {},
                  .respond = respond});
}

} // namespace pollenyoke::rollout
