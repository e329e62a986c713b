#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Common/Result.h"
#include "Protocol/Messages.h"
#include "Protocol/ReleaseNote.h"

namespace pollenyoke::agent
{

/// One model version in the status of a model engine.
struct engine_model
{
  std::string model;
  std::string version;
  std::string manifest;
  std::string content;
  std::uint64_t fence = 0;
  std::string state;
};

struct engine_status
{
  std::string boot;
  std::uint32_t running = 0;
  std::vector<engine_model> models;
};

/// Parses the body of `GET /status`. Errors: `malformed`.
result<engine_status> parse_engine_status(std::string_view json_text);

/// A version that the engine shall serve.
struct desired_version
{
  std::string model;
  std::string version;
  digest manifest;
  /// Known once the manifest is.
  std::optional<digest> content;
  log_offset fence;
  /// The weights are complete and verified on this host.
  bool complete = false;
  /// The switch-over permits loading now.
  bool may_load = true;
};

struct engine_order
{
  bool load = true;
  std::string model;
  std::string version;
  digest manifest;
  digest content;
  std::uint64_t fence = 0;
};

/// The body of `POST /orders`. `weights_address` is the own HTTP address, `IP:PORT`.
std::string format_engine_order(const engine_order& order, std::string_view weights_address);

/// Decides which orders an engine gets and which versions count as served. Values in, values out;
/// not thread-safe.
class engine_control
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `replaced` are the versions that may serve until a newer one of their model does.
  void set_desired(std::vector<desired_version> desired,
                   std::span<const protocol::model_version> replaced);
  /// Takes a status that was requested after all earlier orders were answered, and returns the
  /// orders to send now.
  std::vector<engine_order> on_status(const engine_status& status, time_point now);
  /// `status` is the HTTP status, 0 when the engine did not answer.
  void on_order_answered(const engine_order& order, int status, time_point now);
  /// The status could not be read. `refused`: no connection was made.
  void on_unreachable(bool refused);
  void backend_lost();
  /// False when the reported manifest is not the confirmed one; the version is then not served
  /// until the engine has loaded it again.
  bool report_answer(std::string_view model, std::string_view version,
                     std::string_view reported_manifest);

  std::vector<protocol::served_version> serving() const;
  bool is_serving(std::string_view model, std::string_view version) const;
  /// A version that is served but no longer in force, until its replacement serves.
  bool serves_replaced(std::string_view model) const;
  /// Orders are outstanding or expected soon: read the status more often.
  bool is_busy() const;
  nlohmann::json dump() const;

private:
  struct version_state
  {
    desired_version desired;
    bool confirmed = false;
    // Not in force any more; served until a newer version of the model is.
    bool replaced = false;
    bool must_reload = false;
    bool loading = false;
    time_point next_order{};
    std::string problem;
  };
  struct departed_model
  {
    std::string model;
    std::string version;
    time_point since{};
  };

  static bool matches(const version_state& state, const engine_model& reported);
  version_state* find(std::string_view model, std::string_view version);
  const version_state* find(std::string_view model, std::string_view version) const;
  void retire_replaced();
  std::vector<engine_order> unloads(const engine_status& status, time_point now);

  std::string m_boot;
  unsigned m_missed = 0;
  std::vector<version_state> m_versions;
  std::vector<departed_model> m_departed;
};

} // namespace pollenyoke::agent
