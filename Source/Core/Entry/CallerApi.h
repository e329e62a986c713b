#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Result.h"
#include "Entry/Forwarder.h"
#include "Fleet/FleetState.h"
#include "Routing/RequestState.h"
#include "Transport/Http.h"

namespace pollenyoke::entry
{

class request_session;

struct caller_environment
{
  std::function<membership::member_view_ptr()> view;
  std::function<std::shared_ptr<const fleet::fleet_state>()> state;
  /// True once a planned stop has begun.
  std::function<bool()> is_leaving;
  /// The HTTP address of this entry.
  std::function<transport::endpoint()> http;
};

/// The HTTP interface for callers. Thread-safe; handle() blocks until the response is available or,
/// for streams, until its first part is.
class caller_api
{
public:
  caller_api(const protocol::settings& config, caller_environment environment, forwarder& requests);

  transport::http_response handle(const transport::http_request& request);

private:
  transport::http_response entries() const;
  transport::http_response generate(const transport::http_request& request, std::string_view model);
  transport::http_response call_service(const transport::http_request& request,
                                        std::string_view target);
  transport::http_response mint_key(const transport::http_request& request);
  result<forward_request> make_forward_request(const transport::http_request& request) const;

  const protocol::settings m_settings;
  const caller_environment m_environment;
  forwarder& m_forwarder;
};

/// The response to a request that failed before anything was sent to the caller.
transport::http_response failure_response(const routing::final_outcome& outcome);
/// Waits for the complete answer and returns it as one response.
transport::http_response buffered_response(const std::shared_ptr<request_session>& session);
/// Waits for the first part of the answer and streams the rest as it arrives.
transport::http_response streaming_response(const std::shared_ptr<request_session>& session);

} // namespace pollenyoke::entry
