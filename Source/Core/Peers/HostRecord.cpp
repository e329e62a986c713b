#include "Peers/HostRecord.h"

#include <sstream>

namespace pollenyoke::peers
{

std::string to_text(const host_record& record)
{
  std::string out = record.role == peer_role::entry ? "entry" : "agent";
  if (record.proof)
  {
    out +=
        ' ' + std::to_string(record.proof->started_ms) + ' ' + std::to_string(record.proof->orders);
  }
  return out;
}

result<host_record> parse_host_record(std::string_view text)
{
  std::istringstream in{std::string(text)};
  std::string role;
  in >> role;
  if (role != "entry" && role != "agent")
  {
    return fail(error_code::malformed, "role of a host must be entry or agent");
  }
  host_record out{.role = role == "entry" ? peer_role::entry : peer_role::agent, .proof = {}};
  if (engine_mark mark; !(in >> std::ws).eof())
  {
    if (!(in >> mark.started_ms >> mark.orders) || !(in >> std::ws).eof())
    {
      return fail(error_code::malformed, "proof of a host must be two numbers");
    }
    out.proof = mark;
  }
  return out;
}

} // namespace pollenyoke::peers
