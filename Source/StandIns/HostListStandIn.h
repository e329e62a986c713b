#pragma once

#include <deque>

#include "StandIns/StandIn.h"

namespace pollenyoke::stand_ins
{

/// The platform's host list. A host may carry `"via":{"REGION":{...}}` with the members that
/// readers of that region get instead, such as relay addresses; `via` itself is not served.
class host_list_stand_in final : public stand_in
{
public:
  static result<std::unique_ptr<host_list_stand_in>> start(const transport::endpoint& at);
  ~host_list_stand_in() override;

  /// Replaces the list by `{"hosts":[...]}`; readers see it after the lag.
  result<void> set_hosts(const nlohmann::json& list);
  nlohmann::json counters() const override;

protected:
  transport::http_response handle(const transport::http_request& request) override;
  void read_faults(fault_reader& from) override;

private:
  struct version
  {
    std::uint64_t number;
    clock::time_point set_at;
    nlohmann::json hosts;
  };

  host_list_stand_in() = default;
  transport::http_response answer(std::string_view region, std::string_view known);
  transport::http_response change_state(std::string_view host, const std::string& body);

  std::deque<version> m_versions;
  std::uint64_t m_next = 1;
  bool m_down = false;
  std::int64_t m_lag_ms = 0;
  // Sends no entity tags and answers every request with the list.
  bool m_plain = false;
  std::uint64_t m_reads = 0;
  std::uint64_t m_unchanged = 0;
};

} // namespace pollenyoke::stand_ins
