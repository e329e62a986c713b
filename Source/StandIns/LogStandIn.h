#pragma once

#include <deque>
#include <map>

#include "StandIns/StandIn.h"

namespace pollenyoke::stand_ins
{

/// The platform's log: append-only streams with offsets from 1 and limited retention.
class log_stand_in final : public stand_in
{
public:
  static result<std::unique_ptr<log_stand_in>> start(const transport::endpoint& at);
  ~log_stand_in() override;

  /// Appends as an HTTP request does and returns the offset.
  std::uint64_t append(const std::string& stream, const nlohmann::json& record);
  nlohmann::json counters() const override;

protected:
  transport::http_response handle(const transport::http_request& request) override;
  void read_faults(fault_reader& from) override;

private:
  struct entry
  {
    std::uint64_t offset;
    std::int64_t time_ms;
    std::string record;
  };

  struct stream_state
  {
    std::uint64_t next = 1;
    std::deque<entry> records;

    std::uint64_t first() const
    {
      return next - records.size();
    }
  };

  log_stand_in() = default;
  entry append_locked(const std::string& name, std::string record);
  void expire(stream_state& of) const;
  transport::http_response answer_append(const std::string& name, const std::string& body);
  transport::http_response answer_read(const std::string& name,
                                       const transport::http_request& request);
  bool delay_answer();

  std::map<std::string, stream_state> m_streams;
  bool m_down = false;
  std::int64_t m_delay_ms = 0;
  std::uint32_t m_lose_answers = 0;
  std::size_t m_retention = 100000;
  std::uint64_t m_appends = 0;
  std::uint64_t m_reads = 0;
  std::int64_t m_last_time_ms = 0;
};

} // namespace pollenyoke::stand_ins
