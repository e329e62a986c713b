#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "Keys/KeyLedger.h"
#include "Keys/KeyRecord.h"
#include "Protocol/LogRecord.h"

namespace
{

using namespace pollenyoke;

// A record that is accepted must be written in a form that is accepted and means the same.
template <typename Parse, typename Format>
void check(std::string_view text, Parse parse, Format format)
{
  const auto record = parse(text);
  if (!record)
  {
    return;
  }
  const std::string written = format(*record);
  const auto again = parse(written);
  if (!again || format(*again) != written)
  {
    std::abort();
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  check(text, protocol::parse_log_record, protocol::format_log_record);
  check(text, keys::parse_key_record, keys::format_key_record);
  // The fold takes whatever is in the stream.
  keys::key_ledger ledger({1000, 100});
  ledger.apply({log_offset{1}, 1, std::string(text)});
  ledger.apply({log_offset{2}, 2000, std::string(text)});
  return 0;
}
