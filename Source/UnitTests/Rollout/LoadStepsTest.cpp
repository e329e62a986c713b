#include <array>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "LoadScene.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t piece_count = 6;
// Longer than the age at which a bad piece is not excused any more.
constexpr milliseconds freeze{3300};
constexpr milliseconds limit{25000};

enum class moment
{
  manifest_read,
  piece_fetched,
  first_put,
  middle_put,
  last_put,
  first_get,
  middle_get,
  last_get,
  report_asked,
  order_received,
  order_accepted,
  order_answered,
  layers_loading,
  layers_reported,
  in_service,
};

constexpr std::array<const char*, 15> moment_names = {
    "manifest read",          "piece fetched",        "first piece staged",
    "middle piece staged",    "last piece staged",    "first piece read back",
    "middle piece read back", "last piece read back", "report asked",
    "order received",         "order accepted",       "order answered",
    "layers loading",         "layers reported",      "in service"};

enum class event
{
  agent_restarts,
  agent_stands_still,
  engine_stands_still,
  host_stands_still,
  engine_restarts,
  power_lost,
  call_lost,
  answer_lost,
  /// The agent is killed while its call waits at an engine that stands still.
  agent_restarts_before_a_late_call,
  newer_version_named,
};

struct situation
{
  event what;
  moment when;
  /// Load of the agent that is struck: the first layers of an engine without weights are loaded
  /// before the others.
  unsigned load = 1;
  /// Version that the engine holds at the start.
  std::uint64_t held = 0;
  bool proofs_return = false;
  unsigned layers = 2;
};

std::string describe(const situation& at)
{
  return std::string(moment_names.at(static_cast<std::size_t>(at.when))) + ", load " +
         std::to_string(at.load) + " of an engine with version " + std::to_string(at.held) +
         " and " + std::to_string(at.layers) + " layers" +
         (at.proofs_return ? ", proofs return" : "");
}

/// Lets an event happen at a moment of a load and watches what follows.
class struck_load
{
public:
  explicit struck_load(const situation& at) : m_at(at), m_scene({at.layers, piece_count})
  {
    m_scene.entry().returns_proofs = at.proofs_return;
    if (at.held != 0)
    {
      m_scene.engine().hold(at.held);
    }
    m_scene.engine().on_call = [this](engine_call call, std::uint32_t piece)
    {
      return handle_call(call, piece);
    };
    m_scene.engine().on_executed = [this](engine_call call, std::uint32_t piece)
    {
      handle_executed(call, piece);
    };
    m_scene.engine().on_answered = [this](engine_call call, std::uint32_t)
    {
      if (call == engine_call::order && m_scene.engine().accepted_orders == m_at.load)
      {
        reach(moment::order_answered);
      }
    };
    m_scene.on_origin_call = [this](bool is_manifest)
    {
      m_fate = call_fate::answered;
      reach(is_manifest ? moment::manifest_read : moment::piece_fetched);
      return m_fate == call_fate::answered;
    };
    m_scene.on_tick = [this]
    {
      handle_tick();
    };
  }

  /// What went wrong; empty if nothing.
  std::string play()
  {
    m_scene.restart_agent();
    const bool served =
        m_scene.run_until([this] { return !m_scene.problem().empty() || is_over(); }, limit);
    if (!m_scene.problem().empty())
    {
      return m_scene.problem();
    }
    if (!m_struck_at)
    {
      return "the moment was not reached";
    }
    return served ? "" : "the newest version is not served";
  }

private:
  bool is_struck() const
  {
    return m_struck_at.has_value();
  }

  bool is_over() const
  {
    const auto now = std::chrono::steady_clock::now();
    return m_struck_at && now - *m_struck_at > m_quiet && m_scene.serves(m_newest);
  }

  unsigned pieces_of_load() const
  {
    return m_at.layers > 1 && m_at.held == 0 && m_at.load == 1 ? piece_count / 2 : piece_count;
  }

  bool is_in_load() const
  {
    return !m_struck_at && m_orders_seen + 1 == m_at.load;
  }

  call_fate handle_call(engine_call call, std::uint32_t /*piece*/)
  {
    m_fate = std::exchange(m_next_fate, call_fate::answered);
    if (!is_in_load())
    {
      return m_fate;
    }
    const unsigned count = pieces_of_load();
    switch (call)
    {
    case engine_call::stage_put:
      ++m_puts;
      m_gets = 0;
      reach_nth(m_puts, count, moment::first_put, moment::middle_put, moment::last_put);
      break;
    case engine_call::stage_get:
      break;
    case engine_call::report:
      if (m_gets == count)
      {
        reach(moment::report_asked);
      }
      break;
    case engine_call::order:
      reach(moment::order_received);
      break;
    }
    return m_fate;
  }

  void handle_executed(engine_call call, std::uint32_t piece)
  {
    if (call == engine_call::order && m_scene.engine().accepted_orders > m_orders_seen)
    {
      m_orders_seen = m_scene.engine().accepted_orders;
      m_puts = 0;
      m_gets = 0;
      if (m_orders_seen == m_at.load)
      {
        reach(moment::order_accepted);
      }
    }
    if (call == engine_call::stage_get && is_in_load())
    {
      ++m_gets;
      // What the agent has just read turns bad at once.
      m_scene.engine().spoil(piece);
      reach_nth(m_gets, pieces_of_load(), moment::first_get, moment::middle_get, moment::last_get);
    }
  }

  void handle_tick()
  {
    const auto& engine = m_scene.engine();
    if (m_orders_seen >= m_at.load && engine.is_loading())
    {
      reach(moment::layers_loading);
    }
    if (m_orders_seen >= m_at.load && !engine.is_loading() && engine.version() != 0)
    {
      reach(moment::layers_reported);
    }
    if (m_orders_seen >= m_at.load && m_scene.serves(2))
    {
      reach(moment::in_service);
    }
  }

  void reach_nth(unsigned number, unsigned count, moment first, moment middle, moment last)
  {
    if (number == 1)
    {
      reach(first);
    }
    if (number == count / 2 + 1)
    {
      reach(middle);
    }
    if (number == count)
    {
      reach(last);
    }
  }

  void reach(moment when)
  {
    if (when != m_at.when || m_struck_at)
    {
      return;
    }
    m_struck_at = std::chrono::steady_clock::now();
    const bool is_call = when <= moment::order_accepted;
    auto& fate = is_call && when != moment::order_accepted && !is_get(when) ? m_fate : m_next_fate;
    switch (m_at.what)
    {
    case event::agent_restarts:
      m_scene.restart_agent();
      break;
    case event::agent_stands_still:
      m_scene.agent().stand_still(freeze);
      m_quiet += freeze;
      break;
    case event::engine_stands_still:
      m_scene.engine().stand_still(freeze);
      m_quiet += freeze;
      break;
    case event::host_stands_still:
      m_scene.engine().stand_still(freeze);
      m_scene.agent().stand_still(freeze);
      m_quiet += freeze;
      break;
    case event::engine_restarts:
      m_scene.engine().restart(false);
      break;
    case event::power_lost:
      m_scene.engine().restart(true);
      m_scene.restart_agent();
      break;
    case event::call_lost:
      fate = call_fate::lost;
      break;
    case event::answer_lost:
      fate = call_fate::answer_lost;
      break;
    case event::agent_restarts_before_a_late_call:
      m_scene.engine().stand_still(freeze);
      m_quiet += freeze;
      m_scene.restart_agent();
      break;
    case event::newer_version_named:
      m_newest = 3;
      m_scene.agent().add_version(m_newest);
      break;
    }
  }

  static bool is_get(moment when)
  {
    return when == moment::first_get || when == moment::middle_get || when == moment::last_get;
  }

  situation m_at;
  load_scene m_scene;
  std::uint64_t m_newest = 2;
  std::optional<std::chrono::steady_clock::time_point> m_struck_at;
  /// Effects of the event may follow this long.
  milliseconds m_quiet{400};
  call_fate m_fate = call_fate::answered;
  call_fate m_next_fate = call_fate::answered;
  unsigned m_puts = 0;
  unsigned m_gets = 0;
  unsigned m_orders_seen = 0;
};

/// Strikes at every step of a load. All situations of an event run at the same time.
class load_steps_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(load_steps_test);
  CPPUNIT_TEST(agent_restarts);
  CPPUNIT_TEST(agent_restarts_and_gets_its_proofs_back);
  CPPUNIT_TEST(agent_stands_still);
  CPPUNIT_TEST(engine_stands_still);
  CPPUNIT_TEST(host_stands_still);
  CPPUNIT_TEST(engine_restarts);
  CPPUNIT_TEST(host_loses_power);
  CPPUNIT_TEST(call_is_lost);
  CPPUNIT_TEST(answer_is_lost);
  CPPUNIT_TEST(agent_restarts_before_a_late_call);
  CPPUNIT_TEST(newer_version_is_named);
  CPPUNIT_TEST_SUITE_END();

  /// Strikes at each moment of the first and the second load of an engine without weights, and of
  /// the load of an engine that holds version 1.
  static void play_all(event what, bool proofs_return = false)
  {
    std::vector<situation> situations;
    for (std::size_t i = 0; i < moment_names.size(); ++i)
    {
      const auto when = static_cast<moment>(i);
      situations.push_back({what, when, 1, 0, proofs_return});
      situations.push_back({what, when, 1, 1, proofs_return});
      situations.push_back({what, when, 1, 1, proofs_return, 1});
      if (when > moment::piece_fetched)
      {
        situations.push_back({what, when, 2, 0, proofs_return});
      }
    }
    std::vector<std::future<std::string>> outcomes;
    outcomes.reserve(situations.size());
    for (const situation& at : situations)
    {
      outcomes.push_back(std::async(std::launch::async, [at] { return struck_load(at).play(); }));
    }
    std::string problems;
    for (std::size_t i = 0; i < situations.size(); ++i)
    {
      if (const std::string problem = outcomes[i].get(); !problem.empty())
      {
        problems += "\n" + describe(situations[i]) + ": " + problem;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), problems);
  }

public:
  void agent_restarts()
  {
    play_all(event::agent_restarts);
  }

  void agent_restarts_and_gets_its_proofs_back()
  {
    play_all(event::agent_restarts, true);
  }

  void agent_stands_still()
  {
    play_all(event::agent_stands_still);
  }

  void engine_stands_still()
  {
    play_all(event::engine_stands_still);
  }

  void host_stands_still()
  {
    play_all(event::host_stands_still);
  }

  void engine_restarts()
  {
    play_all(event::engine_restarts);
  }

  void host_loses_power()
  {
    play_all(event::power_lost);
  }

  void call_is_lost()
  {
    play_all(event::call_lost);
  }

  void answer_is_lost()
  {
    play_all(event::answer_lost);
  }

  void agent_restarts_before_a_late_call()
  {
    play_all(event::agent_restarts_before_a_late_call);
  }

  void newer_version_is_named()
  {
    play_all(event::newer_version_named);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(load_steps_test, "Rollout.LoadSteps");

} // namespace
