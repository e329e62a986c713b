#pragma once

#include <map>

#include "Common/TokenBucket.h"
#include "StandIns/GeneratedWeights.h"
#include "StandIns/StandIn.h"

namespace pollenyoke::stand_ins
{

/// The origin or the weight store: manifests and chunks over a rate-limited link.
class origin_stand_in final : public stand_in
{
public:
  static result<std::unique_ptr<origin_stand_in>> start(const transport::endpoint& at);
  ~origin_stand_in() override;

  protocol::manifest add_weights(const weights_recipe& recipe);
  nlohmann::json counters() const override;

protected:
  transport::http_response handle(const transport::http_request& request) override;
  void read_faults(fault_reader& from) override;

private:
  origin_stand_in() = default;
  transport::http_response add_from_request(const transport::http_request& request);
  /// Adds the bytes that went out to `sent`, which is a member.
  transport::http_response send_paced(std::string data, std::uint64_t& sent);
  bool write_paced(const std::string& data, std::uint64_t& sent,
                   const transport::body_writer& write);
  std::chrono::nanoseconds wait_for_link(std::size_t bytes);
  transport::http_response answer_chunk(const digest& id);

  generated_weights m_weights;
  bool m_down = false;
  bool m_busy = false;
  double m_rate = 0;
  std::uint32_t m_corrupt = 0;
  std::optional<token_bucket> m_link;
  std::uint64_t m_chunk_bytes = 0;
  std::uint64_t m_manifest_bytes = 0;
  std::uint64_t m_chunks = 0;
  std::uint64_t m_manifests = 0;
  std::map<std::string, std::uint64_t> m_reads_by_chunk;
};

using weight_store_stand_in = origin_stand_in;

} // namespace pollenyoke::stand_ins
