#pragma once

#include <map>

#include "StandIns/StandIn.h"

namespace pollenyoke::stand_ins
{

/// A plain service; counts its runs by idempotency key or request id.
class service_stand_in final : public stand_in
{
public:
  static result<std::unique_ptr<service_stand_in>> start(const transport::endpoint& at,
                                                         std::string name);
  ~service_stand_in() override;

  nlohmann::json counters() const override;

protected:
  transport::http_response handle(const transport::http_request& request) override;
  void read_faults(fault_reader& from) override;

private:
  explicit service_stand_in(std::string name) : m_name(std::move(name)) {}

  std::string m_name;
  std::int64_t m_delay_ms = 5;
  std::int64_t m_restart_ms = 1000;
  std::uint32_t m_lose_answers = 0;
  bool m_hang = false;
  std::string m_crash_on;
  std::uint64_t m_crashes = 0;
  std::map<std::string, std::uint64_t> m_runs;
};

} // namespace pollenyoke::stand_ins
