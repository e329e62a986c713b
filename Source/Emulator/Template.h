#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "Common/Result.h"

namespace pollenyoke::emulator
{

/// Fills the placeholders and sections of a settings template with the platform's fields, as the
/// platform does. Error `malformed`: a section that does not end, or ends another one.
result<std::string> fill_template(std::string_view text, const nlohmann::json& fields);

} // namespace pollenyoke::emulator
