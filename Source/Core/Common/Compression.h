#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "Common/Result.h"

namespace pollenyoke
{

/// Compresses data with zlib at its fastest level.
std::string compress(std::string_view data);

/// Error `malformed`: not zlib data, or cut off; `limit_exceeded`: more than `max_bytes` inside.
result<std::string> decompress(std::string_view data, std::size_t max_bytes);

} // namespace pollenyoke
