#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Emulator/Checks.h"

namespace pollenyoke::emulator
{

/// A history with one fault in it that a check must report.
struct altered_history
{
  std::string_view name;
  std::string_view rule;
  /// The check that must report it, by its name.
  std::string_view check;
  void (*alter)(history&);
};

/// A short history in which every promise was kept.
history make_sound_history();
std::span<const altered_history> altered_histories();

struct self_check_report
{
  std::size_t checks = 0;
  /// Altered histories that no check reported, and checks without such a history.
  std::vector<std::string> undetected;
};

self_check_report run_self_check();
/// One line of JSON.
std::string to_json(const self_check_report& report);

} // namespace pollenyoke::emulator
