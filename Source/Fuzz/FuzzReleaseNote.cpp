#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Protocol/ReleaseNote.h"

// A note that is accepted as YAML must be accepted in the form that goes into the log.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
  using namespace pollenyoke::protocol;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto note = parse_release_note(text);
  if (note)
  {
    const nlohmann::json logged = release_note_to_json(*note);
    const auto again = release_note_from_json(nlohmann::json::parse(logged.dump()));
    if (!again || release_note_to_json(*again) != logged)
    {
      std::abort();
    }
  }
  return 0;
}
