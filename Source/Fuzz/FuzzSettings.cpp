#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "Protocol/Settings.h"

// Rejected settings produce exactly one line.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
  using namespace pollenyoke::protocol;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto parsed = parse_settings(text, "settings.yaml");
  if (!parsed && (parsed.error().message.find('\n') != std::string::npos ||
                  !parsed.error().message.starts_with("settings.yaml:")))
  {
    std::abort();
  }
  return 0;
}
