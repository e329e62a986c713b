#pragma once

#include <chrono>
#include <cstddef>

#include "Emulator/History.h"

namespace pollenyoke::emulator
{

/// Collects the history of a run. References to its entries stay valid only until the next one is
/// added, so that entries are kept by their index.
class recorder
{
public:
  moment now() const
  {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count();
  }

  std::size_t add_attempt(attempt sent)
  {
    m_seen.attempts.push_back(std::move(sent));
    return m_seen.attempts.size() - 1;
  }
  attempt& attempt_at(std::size_t index)
  {
    return m_seen.attempts[index];
  }

  std::size_t add_arrival(arrival came)
  {
    m_seen.arrivals.push_back(std::move(came));
    return m_seen.arrivals.size() - 1;
  }
  arrival& arrival_at(std::size_t index)
  {
    return m_seen.arrivals[index];
  }

  history& seen()
  {
    return m_seen;
  }

private:
  std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
  history m_seen;
};

} // namespace pollenyoke::emulator
