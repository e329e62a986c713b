#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "Protocol/Manifest.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
  using namespace pollenyoke;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto parsed = protocol::parse_manifest(text, sha256(text));
  if (parsed)
  {
    const std::string formatted = protocol::format_manifest(*parsed);
    const auto again = protocol::parse_manifest(formatted, sha256(formatted));
    if (!again || again->chunks.size() != parsed->chunks.size() ||
        again->total_bytes != parsed->total_bytes)
    {
      std::abort();
    }
  }
  return 0;
}
