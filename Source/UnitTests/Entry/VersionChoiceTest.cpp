#include <map>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Entry/Candidates.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::entry;

/// Ten agents, of which the last `upgraded` serve v2 and the others v1.
membership::member_view view_with_upgraded_agents(unsigned upgraded)
{
  membership::member_view view;
  for (unsigned i = 0; i < 10; ++i)
  {
    membership::peer agent;
    agent.listed.host = {"host-" + std::to_string(i)};
    agent.listed.role = protocol::process_role::agent;
    agent.alive = true;
    agent.serving = {{"m", i >= 10 - upgraded ? "v2" : "v1"}};
    view.peers.push_back(agent);
  }
  return view;
}

fleet::fleet_state state_with(bool v1_replaced)
{
  fleet::fleet_state state;
  const protocol::release_key key{log_offset{7}, "m"};
  state.releases[key] = {key, {.model = "m", .version = "v2"}, {}};
  if (v1_replaced)
  {
    state.replaced = {{"m", "v1"}};
  }
  return state;
}

class version_choice_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(version_choice_test);
  CPPUNIT_TEST(replaced_version_is_used_until_the_new_one_is_served);
  CPPUNIT_TEST(new_version_gets_load_in_proportion_to_its_agents);
  CPPUNIT_TEST(withdrawn_version_is_not_chosen);
  CPPUNIT_TEST_SUITE_END();

  // Guards against refused requests between the acceptance of a release and the loading of its
  // weights.
  void replaced_version_is_used_until_the_new_one_is_served()
  {
    const auto state = state_with(true);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                         *choose_version(state, view_with_upgraded_agents(0), "m", 3));
    CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                         *choose_version(state, view_with_upgraded_agents(5), "m", 9));
    CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                         *choose_version(state, view_with_upgraded_agents(10), "m", 9));
    CPPUNIT_ASSERT(!choose_version(state, view_with_upgraded_agents(10), "other", 9));
  }

  // Guards against sending the load of the whole fleet to the first host of a new version, and
  // against prompts that move back to the old version.
  void new_version_gets_load_in_proportion_to_its_agents()
  {
    const auto state = state_with(true);
    unsigned previous_count = 0;
    for (unsigned upgraded = 0; upgraded <= 10; ++upgraded)
    {
      unsigned count = 0;
      for (std::uint64_t hash = 0; hash < 10; ++hash)
      {
        count += *choose_version(state, view_with_upgraded_agents(upgraded), "m", hash) == "v2"
                     ? 1U
                     : 0U;
      }
      CPPUNIT_ASSERT_EQUAL(upgraded < 5 ? upgraded : 10U, count);
      CPPUNIT_ASSERT(count >= previous_count);
      previous_count = count;
    }
  }

  void withdrawn_version_is_not_chosen()
  {
    CPPUNIT_ASSERT(!choose_version(state_with(false), view_with_upgraded_agents(0), "m", 3));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(version_choice_test, "VersionChoice");

} // namespace
