#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "UnitTests/Keys/KeySimulation.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::keys;
using testing::decision_event;
using testing::key_simulation;
using testing::log_mode;
using testing::milliseconds;

constexpr std::size_t agent_count = 3;
constexpr int key_count = 12;

/// One step of a random scenario: the kind of event, and the agent, key or log mode that it
/// affects.
struct event
{
  int kind = 0;
  unsigned target = 0;
  unsigned detail = 0;
};

std::ostream& operator<<(std::ostream& out, const event& e)
{
  return out << '{' << e.kind << ',' << e.target << ',' << e.detail << '}';
}

rc::Gen<event> random_event()
{
  // Requests and the passing of time are more frequent than faults.
  const auto kind = rc::gen::weightedElement<int>({{10, 0},
                                                   {4, 1},
                                                   {1, 2},
                                                   {2, 3},
                                                   {6, 4},
                                                   {3, 5},
                                                   {4, 6},
                                                   {2, 7},
                                                   {4, 8},
                                                   {2, 9},
                                                   {3, 10},
                                                   {2, 11},
                                                   {1, 12},
                                                   {1, 13},
                                                   {2, 14}});
  return rc::gen::construct<event>(kind, rc::gen::inRange(0U, 60U), rc::gen::inRange(0U, 60U));
}

void apply_agent_event(key_simulation& simulation, const event& e)
{
  key_simulation::agent& agent = simulation.at(e.target);
  switch (e.kind)
  {
  case 7:
    simulation.crash(e.target);
    break;
  case 8:
    simulation.start(e.target);
    break;
  case 9:
    agent.paused = agent.table != nullptr;
    break;
  case 10:
    agent.paused = false;
    break;
  case 11:
    if (!agent.table || agent.paused)
    {
      agent.listed = false;
      simulation.lost_agents.insert(agent.run);
    }
    break;
  case 12:
    if (agent.table && !agent.paused)
    {
      agent.table->start_release(simulation.now() + milliseconds(20000));
    }
    break;
  default:
    agent.disconnected = !agent.disconnected;
    break;
  }
}

void apply_event(key_simulation& simulation, const event& e, std::string& minted)
{
  switch (e.kind)
  {
  case 0:
    // A caller retries its key on other agents.
    for (unsigned i = 0; i <= e.detail % agent_count; ++i)
    {
      simulation.begin(e.target + i, "key" + std::to_string(e.detail % key_count));
    }
    break;
  case 1:
    simulation.end(e.target, key_simulation::ending::completed);
    break;
  case 2:
    simulation.end(e.target, key_simulation::ending::failed);
    break;
  case 3:
    simulation.end(e.target, key_simulation::ending::not_dispatched);
    break;
  case 4:
    simulation.advance(milliseconds(250 * (1 + e.detail % 8)));
    break;
  case 5:
    simulation.advance(milliseconds(5000 + 200 * e.detail));
    break;
  case 6:
    simulation.mode = static_cast<log_mode>(e.detail % 4);
    break;
  case 14:
    if (minted.empty() && simulation.at(e.target).table)
    {
      minted = simulation.table(e.target).mint(e.detail);
    }
    else if (!minted.empty())
    {
      simulation.begin(e.target, minted);
    }
    break;
  default:
    apply_agent_event(simulation, e);
  }
}

bool was_sent_to_lost_agent(const key_simulation& simulation, const std::string& key)
{
  const auto& sent_to = simulation.ground_truth.at(key).sent_to;
  return std::any_of(sent_to.begin(), sent_to.end(),
                     [&](const agent_run& run) { return simulation.lost_agents.contains(run); });
}

void check_decision(const key_simulation& simulation, const decision_event& t)
{
  const key_decision& d = t.decision;
  const auto& ground_truth = simulation.ground_truth.at(t.key);
  if (d.action == key_action::refuse && d.reason != protocol::refusal_reason::not_owner)
  {
    // The owner may report "not run" only for a key that has not run.
    RC_ASSERT(!t.by_owner || t.runs == 0);
  }
  if (d.action == key_action::replay)
  {
    RC_ASSERT(t.runs == 1);
    RC_ASSERT(d.response.body == "answer to " + t.key);
  }
  if (d.action == key_action::unknown)
  {
    const bool already_ran = d.failure == protocol::failure_kind::key_already_ran;
    RC_ASSERT(!already_ran || t.runs == 1);
    const auto threshold = static_cast<std::uint64_t>(key_simulation::outage_threshold.count());
    const bool double_fault =
        !simulation.lost_agents.empty() && simulation.largest_gap() >= threshold;
    RC_ASSERT(already_ran || ground_truth.failed || was_sent_to_lost_agent(simulation, t.key) ||
              double_fault);
  }
}

class key_model_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(key_model_test);
  CPPUNIT_TEST(no_key_runs_twice);
  CPPUNIT_TEST_SUITE_END();

  // Guards against double runs, a false "not run" and an unjustified "unknown" under random
  // sequences of outages, lost and delayed appends, pauses, restarts, changes of ownership and
  // retries on other agents.
  void no_key_runs_twice()
  {
    int runs = 0;
    int unclaimed = 0;
    int unknown = 0;
    const bool holds = rc::check(
        "a key runs at most once",
        [&]
        {
          const auto events =
              *rc::gen::resize(250, rc::gen::container<std::vector<event>>(random_event()));
          key_simulation simulation(agent_count);
          simulation.advance(milliseconds(2000));
          std::string minted;
          std::size_t checked = 0;
          for (const event& e : events)
          {
            apply_event(simulation, e, minted);
            for (std::size_t i = 0; i < agent_count; ++i)
            {
              unclaimed +=
                  simulation.at(i).table && simulation.table(i).may_run_unclaimed(simulation.now());
            }
            for (const auto& [key, ground_truth] : simulation.ground_truth)
            {
              RC_ASSERT(ground_truth.runs <= 1);
            }
            for (; checked < simulation.history.size(); ++checked)
            {
              check_decision(simulation, simulation.history[checked]);
              unknown += simulation.history[checked].decision.action == key_action::unknown;
              runs += simulation.history[checked].decision.action == key_action::run;
            }
          }
        });
    CPPUNIT_ASSERT(holds);
    // The random scenarios must reach the states that the checks are about.
    CPPUNIT_ASSERT(runs > 100);
    CPPUNIT_ASSERT(unclaimed > 10);
    CPPUNIT_ASSERT(unknown > 10);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(key_model_test, "Keys.Model");

} // namespace
