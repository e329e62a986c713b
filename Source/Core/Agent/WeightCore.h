#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Agent/OriginGrants.h"
#include "Agent/OriginReader.h"
#include "Agent/UplinkQueue.h"
#include "Common/TokenBucket.h"
#include "Distribution/Placement.h"
#include "Distribution/Selection.h"
#include "Distribution/SwitchOver.h"
#include "Fleet/FleetState.h"
#include "Membership/Membership.h"
#include "Protocol/Messages.h"
#include "Protocol/Settings.h"
#include "Transport/MessageNode.h"
#include "Weights/ChunkStore.h"
#include "Weights/Transfer.h"

namespace pollenyoke::agent
{

using weights::time_point;

/// A frame to send. `connection` 0 means the own link to the host.
struct outgoing_frame
{
  host_id to;
  transport::connection_id connection = 0;
  transport::frame message;
};

/// A record to append to stream `fleet`.
struct append_order
{
  std::uint64_t id = 0;
  protocol::record_body body;
};

struct core_output
{
  std::vector<outgoing_frame> frames;
  std::vector<fetch_order> fetches;
  std::vector<append_order> appends;
};

/// A release as the engine control sees it.
struct held_release
{
  protocol::release_key key;
  const protocol::release_item* item = nullptr;
  /// The manifest, once it is known and checked.
  const protocol::manifest* manifest = nullptr;
  /// All chunks and the whole content are verified.
  bool complete = false;
};

/// The transfers of one agent as a state machine without I/O: events and time in, frames, fetches
/// and appends out. Not thread-safe; the chunk store is.
class weight_core
{
public:
  weight_core(const protocol::settings& with, incarnation_id self, time_point now);

  void set_state(std::shared_ptr<const fleet::fleet_state> state, time_point now);
  void set_view(membership::member_view_ptr view, time_point now);

  void on_have_update(transport::connection_id from, protocol::have_update message, time_point now);
  void on_chunk_request(const host_id& host, transport::connection_id from,
                        const protocol::chunk_request& message, time_point now);
  /// `computed` is the SHA-256 of the reply's data.
  void on_chunk_reply(const host_id& host, protocol::chunk_reply message, const digest& computed,
                      time_point now);
  void on_manifest_request(const host_id& host, transport::connection_id from,
                           const protocol::manifest_request& message);
  void on_manifest_reply(const host_id& host, const protocol::manifest_reply& message,
                         time_point now);
  void on_closed(const std::optional<host_id>& host, transport::connection_id connection,
                 time_point now);
  void on_fetched(fetch_result result, time_point now);
  /// Called after the state that contains the record was set.
  void on_appended(std::uint64_t id, const result<log_offset>& outcome, time_point now);

  /// Advances all transfers. Returns when to call again at the latest.
  time_point tick(time_point now);
  core_output take_output();

  std::vector<held_release> held() const;
  /// The target hosts of a release during a switch-over, as the membership view shows them.
  std::vector<distribution::replica_view> replicas(const protocol::release_key& key) const;
  /// The manifest of a transfer and whether it is complete; null if unknown.
  const weights::transfer* find_transfer(const digest& manifest) const;
  const weights::chunk_store& store() const
  {
    return *m_store;
  }
  std::shared_ptr<const weights::chunk_store> shared_store() const
  {
    return m_store;
  }
  const weights::origin_ledger& ledger() const
  {
    return m_grants.ledger();
  }
  nlohmann::json dump(time_point now) const;

private:
  // How a stripe of a release proceeds, as seen from this host.
  struct stripe_watch
  {
    log_offset since;
    std::size_t missing = 0;
    time_point last_progress{};
    time_point dead_since{};
    bool holder_dead = false;
    std::uint64_t pending_append = 0;
    time_point next_claim{};
    std::chrono::milliseconds claim_backoff{1000};
    // The own grants do not cover a chunk that is still missing.
    bool exhausted = false;
    // This host may read the stripe from the weight store without a grant.
    bool takes_over = false;
  };

  // What a claim for a stripe asks for.
  struct claim_size
  {
    std::uint64_t bytes = 0;
    // With the own open grants it covers all missing chunks of the stripe.
    bool whole = true;
  };

  struct tracked_release
  {
    fleet::active_release release;
    time_point seen{};
    std::vector<distribution::target_host> targets;
    bool wanted = false;
    // The host list names this host.
    bool listed = false;
    // Not empty: the release is never loaded.
    std::string rejected;
    std::string waiting;
    std::uint64_t pending_placement = 0;
    time_point next_placement{};
    std::vector<stripe_watch> stripes;
    // Since when no host of the store region is heard although the host list names some.
    std::optional<time_point> store_silent_since;
    time_point next_return_step{};
    time_point next_stripe_step{};
    time_point last_origin_progress{};
    time_point origin_works_since{};
  };

  struct interested_peer
  {
    time_point last_heard{};
    transport::connection_id connection = 0;
  };

  struct announcement
  {
    std::size_t count = std::size_t(-1);
    time_point time{};
  };

  struct tracked_transfer
  {
    tracked_transfer(const digest& id, time_point now) : t(id, now) {}

    weights::transfer t;
    std::set<protocol::release_key> releases;
    std::vector<std::string> neighbours;
    std::vector<std::string> regions;
    std::vector<std::string> hosts;
    // Live hosts of the own region.
    std::vector<std::string> near;
    std::size_t region_hosts = 1;
    std::vector<std::uint32_t> fetch_ranks;
    std::map<host_id, interested_peer> interested;
    time_point last_hello{};
    unsigned hellos = 0;
    announcement near_announcement;
    announcement far_announcement;
    // Chunks that came from the origin or another region were not announced to other regions yet.
    bool entered = false;
    std::set<std::uint32_t> store_failed;
    time_point next_manifest_ask{};
    std::size_t manifest_asks = 0;
    std::uint64_t manifest_fetch = 0;
    bool manifest_store_failed = false;
    time_point next_manifest_fetch{};
    std::chrono::milliseconds manifest_backoff{500};
    time_point last_active{};
    // Grows with each stall: the rank up to which hosts fetch overdue chunks from other regions.
    std::uint32_t stall_level = 0;
    bool warned_source = false;
  };

  void drop_dead_sources(const membership::member_view* before);
  void refresh_targets(tracked_release& release, time_point now);
  void refresh_transfer(tracked_transfer& entry);
  void track_transfer(tracked_release& release, time_point now);
  void drop_release(const protocol::release_key& key);
  void register_grants(tracked_release& release, time_point now);
  void return_step(tracked_release& release, time_point now);
  std::vector<distribution::target_host> stripe_candidates(const tracked_release& release,
                                                           time_point now) const;
  bool is_self(const protocol::stripe_holder& holder) const;
  bool is_dead(const protocol::stripe_holder& holder) const;
  tracked_transfer* find(const digest& manifest);
  const tracked_release* first_release(const tracked_transfer& entry) const;

  void placement_step(tracked_release& release, time_point now);
  void stripe_step(tracked_release& release, tracked_transfer& entry, time_point now);
  void update_watch(tracked_release& release, const tracked_transfer& entry, std::uint32_t stripe,
                    time_point now);
  bool claim_is_due(const tracked_release& release, const tracked_transfer& entry,
                    std::uint32_t stripe, time_point now) const;
  claim_size size_claim(const tracked_release& release, const tracked_transfer& entry,
                        std::uint32_t stripe) const;
  void claim(tracked_release& release, const tracked_transfer& entry, std::uint32_t stripe,
             time_point now);
  void read_stripe(tracked_release& release, tracked_transfer& entry, std::uint32_t stripe,
                   time_point now);
  bool start_read(tracked_transfer& entry, std::uint32_t chunk, const read_permission& may,
                  time_point now);
  void read_everything(tracked_transfer& entry, time_point now);

  void ask_for_manifest(tracked_transfer& entry, time_point now);
  void manifest_step(tracked_transfer& entry, time_point now);
  void take_manifest(tracked_transfer& entry, const std::string& text, const host_id* peer,
                     time_point now);
  void reject(tracked_transfer& entry, const std::string& reason);
  void timeout_step(tracked_transfer& entry, time_point now);
  weights::chunk_bitmap requested_chunks(const tracked_transfer& entry, time_point now) const;
  weights::chunk_bitmap overdue_chunks(tracked_transfer& entry, bool busy, time_point now);
  std::map<std::string, std::size_t, std::less<>> remote_allowance(const tracked_transfer& entry,
                                                                   time_point now);
  void send_request(tracked_transfer& entry, std::uint32_t chunk, const host_id& to,
                    time_point now);
  /// Gives back what send_request() reserved: a refused request brings no chunk.
  void refund_request(const tracked_transfer& entry, std::uint32_t chunk, const host_id& from,
                      time_point now);
  void request_step(tracked_transfer& entry, time_point now);
  double announce_interval(const tracked_transfer& entry) const;
  void announce_step(tracked_transfer& entry, time_point now);
  void announce_growth(tracked_transfer& entry, bool remote, time_point now);
  void content_step(tracked_transfer& entry);
  void send_have(const tracked_transfer& entry, const host_id& to,
                 transport::connection_id connection, bool wants_reply);
  void uplink_step(time_point now);
  void finish_chunk_read(tracked_transfer& entry, const read_in_progress& read,
                         fetch_result& result, time_point now);
  void finish_manifest_read(tracked_transfer& entry, const read_in_progress& read,
                            const fetch_result& result, time_point now);
  std::chrono::duration<double> request_timeout(const tracked_transfer& entry,
                                                const weights::transfer_source& source, bool remote,
                                                double chunk_bytes) const;
  std::chrono::duration<double> stall_period(const tracked_transfer& entry) const;
  std::string region_of(const tracked_transfer& entry, const host_id& host) const;

  const protocol::settings m_settings;
  const incarnation_id m_incarnation;
  const distribution::any_policy m_policy;
  const distribution::goal_parameters m_goal;
  bool m_reads_without_grant = false;

  std::shared_ptr<weights::chunk_store> m_store;
  std::shared_ptr<const fleet::fleet_state> m_state;
  membership::member_view_ptr m_view;
  std::map<protocol::release_key, tracked_release> m_releases;
  std::map<digest, tracked_transfer> m_transfers;
  origin_grants m_grants;
  // Appends of returns that are under way.
  std::map<std::uint64_t, origin_grants::grant_id> m_returns;
  origin_reader m_reader;
  uplink_queue m_uplink;
  token_bucket m_downlink;
  std::map<std::string, std::pair<std::size_t, token_bucket>, std::less<>> m_region_pace;
  std::uint64_t m_next_id = 1;
  core_output m_output;
};

} // namespace pollenyoke::agent
