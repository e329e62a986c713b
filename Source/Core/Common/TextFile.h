#pragma once

#include <string>

#include "Common/Result.h"

namespace pollenyoke
{

/// The whole content of a file. Fails with `not_found` if it cannot be opened.
result<std::string> read_text_file(const std::string& path);

} // namespace pollenyoke
