#include <future>
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

constexpr rollout::weight_shape two_layers{2, 6};
constexpr rollout::weight_shape one_layer{1, 4};
// Longer than the age at which a bad piece is not excused any more.
constexpr milliseconds freeze{3300};
// In which an agent that believes something wrong would say so.
constexpr milliseconds settled{600};

/// Plays the scenes of a test at the same time.
template <typename Value, typename Play>
void for_each_at_once(const std::vector<Value>& values, const Play& play)
{
  std::vector<std::future<void>> scenes;
  scenes.reserve(values.size());
  for (const Value& value : values)
  {
    scenes.push_back(std::async(std::launch::async, [&play, value] { play(value); }));
  }
  for (auto& scene : scenes)
  {
    scene.get();
  }
}

void spoil_all(load_scene& scene, const rollout::weight_shape& shape)
{
  for (std::uint32_t piece = 0; piece < shape.pieces; ++piece)
  {
    scene.engine().spoil(piece);
  }
}

void check(bool reached, const load_scene& scene)
{
  CPPUNIT_ASSERT_EQUAL(std::string(), scene.problem());
  CPPUNIT_ASSERT(reached);
}

void check_served(load_scene& scene, std::uint64_t version)
{
  const auto served = [&]
  {
    return scene.serves(version);
  };
  check(scene.run_until(served), scene);
  scene.run_for(settled);
  check(served(), scene);
}

/// The next order, or the one that begins the load of all layers, takes all pieces when they have
/// been bad for longer than is excused.
void take_bad_pieces(load_scene& scene, const rollout::weight_shape& shape)
{
  bool struck = false;
  scene.engine().on_call = [&scene, &shape, struck](engine_call call, std::uint32_t) mutable
  {
    if (call == engine_call::order && !struck)
    {
      struck = true;
      spoil_all(scene, shape);
      scene.engine().stand_still(freeze);
    }
    return call_fate::answered;
  };
  scene.restart_agent();
  check(scene.run_until([&] { return !scene.engine().problem().empty(); }), scene);
}

/// Engine with all layers of version 2 whose agent has just been killed while an order for
/// `next_version`, the first of a new start of the engine, was on its way.
void kill_with_order_on_its_way(load_scene& scene, std::uint64_t next_version)
{
  scene.restart_agent(next_version);
  check(scene.run_until([&] { return scene.serves(next_version); }), scene);
  bool held = false;
  scene.engine().on_call = [&held](engine_call call, std::uint32_t)
  {
    if (call != engine_call::order || held)
    {
      return call_fate::answered;
    }
    held = true;
    return call_fate::held;
  };
  // The agent holds all pieces, so that it orders all layers at once.
  scene.engine().restart(false);
  check(scene.run_until([&] { return held; }), scene);
  scene.agent().kill();
  scene.engine().on_call = nullptr;
}

/// Starts the next run of the agent and has the order of the earlier one arrive when the next
/// `call` for the n-th time does.
void release_at(load_scene& scene, engine_call at, unsigned number, std::uint64_t newest_version)
{
  unsigned count = 0;
  scene.engine().on_call = [&scene, &count, at, number](engine_call call, std::uint32_t)
  {
    if (call == at && ++count == number)
    {
      scene.engine().release();
    }
    return call_fate::answered;
  };
  scene.restart_agent(newest_version);
  check(scene.run_until([&] { return count >= number && scene.serves(newest_version); }), scene);
  check_served(scene, newest_version);
  scene.engine().on_call = nullptr;
}

/// Orders that arrive late, after the agent that sent them has given up or ended.
class late_orders_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(late_orders_test);
  CPPUNIT_TEST(order_that_is_already_in_effect_proves_nothing);
  CPPUNIT_TEST(order_of_an_earlier_run_takes_pieces_that_have_lain);
  CPPUNIT_TEST(order_of_an_earlier_run_arrives_while_pieces_are_staged);
  CPPUNIT_TEST(order_of_an_earlier_run_arrives_between_check_and_order);
  CPPUNIT_TEST(order_of_an_earlier_run_arrives_after_the_load);
  CPPUNIT_TEST(order_of_an_earlier_run_for_more_layers_arrives_first);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against status 200 as a proof: the layers were loaded by an order that had been on its
  /// way, from pieces that had turned bad, and staged again since.
  void order_that_is_already_in_effect_proves_nothing()
  {
    load_scene scene(two_layers);
    scene.engine().load_time = milliseconds(0);
    unsigned orders = 0;
    unsigned pieces = 0;
    bool released = false;
    scene.engine().on_call = [&](engine_call call, std::uint32_t)
    {
      if (call == engine_call::order && ++orders == 1)
      {
        spoil_all(scene, two_layers);
        return call_fate::held;
      }
      if (orders == 1 && call == engine_call::stage_put && ++pieces == 1)
      {
        // Until the pieces have been bad for longer than is excused; the call arrives again then.
        scene.engine().stand_still(milliseconds(300));
      }
      else if (orders == 1 && call == engine_call::stage_put && !released)
      {
        released = true;
        scene.engine().release();
        CPPUNIT_ASSERT(!scene.engine().problem().empty());
      }
      return call_fate::answered;
    };
    scene.restart_agent();
    check(scene.run_until([&] { return released; }), scene);
    check_served(scene, 2);
  }

  /// Guards against layers that an order of a killed agent takes while nobody looks after the
  /// staged pieces.
  void order_of_an_earlier_run_takes_pieces_that_have_lain()
  {
    load_scene scene(two_layers);
    kill_with_order_on_its_way(scene, 2);
    spoil_all(scene, two_layers);
    scene.run_for(freeze);
    scene.engine().release();
    scene.run_for(milliseconds(200));
    CPPUNIT_ASSERT(!scene.engine().problem().empty());
    scene.restart_agent();
    check_served(scene, 2);
  }

  /// Guards against such an order that arrives when some pieces have been staged again and others
  /// have been bad for long or are of the next version.
  void order_of_an_earlier_run_arrives_while_pieces_are_staged()
  {
    for_each_at_once<std::uint64_t>({2, 3},
                                    [](std::uint64_t next)
                                    {
                                      load_scene scene(two_layers);
                                      kill_with_order_on_its_way(scene, 2);
                                      spoil_all(scene, two_layers);
                                      scene.run_for(freeze);
                                      release_at(scene, engine_call::stage_put, 2, next);
                                    });
  }

  /// Guards against an order of the next run that does not see what an earlier one has changed
  /// since its check.
  void order_of_an_earlier_run_arrives_between_check_and_order()
  {
    for_each_at_once<std::uint64_t>({2, 3},
                                    [](std::uint64_t next)
                                    {
                                      for_each_at_once<engine_call>(
                                          {engine_call::stage_get, engine_call::order},
                                          [next](engine_call at)
                                          {
                                            load_scene scene(two_layers);
                                            kill_with_order_on_its_way(scene, 2);
                                            release_at(scene, at, 1, next);
                                          });
                                    });
  }

  /// Guards against an earlier run's order that replaces what the next run has loaded.
  void order_of_an_earlier_run_arrives_after_the_load()
  {
    for_each_at_once<std::uint64_t>({2, 3},
                                    [](std::uint64_t next)
                                    {
                                      load_scene scene(two_layers);
                                      kill_with_order_on_its_way(scene, 2);
                                      scene.restart_agent(next);
                                      check_served(scene, next);
                                      spoil_all(scene, two_layers);
                                      scene.engine().release();
                                      scene.run_for(settled);
                                      check_served(scene, next);
                                    });
  }

  /// Guards against an earlier run's order for all layers that is taken for an order of this run
  /// for some of them, whose answer was lost: only the pieces of these were checked.
  void order_of_an_earlier_run_for_more_layers_arrives_first()
  {
    load_scene scene(two_layers);
    kill_with_order_on_its_way(scene, 2);
    spoil_all(scene, two_layers);
    scene.run_for(freeze);
    bool released = false;
    scene.engine().on_call = [&](engine_call call, std::uint32_t)
    {
      if (call != engine_call::order || released)
      {
        return call_fate::answered;
      }
      released = true;
      scene.engine().release();
      return call_fate::answer_lost;
    };
    scene.restart_agent();
    check(scene.run_until([&] { return released; }), scene);
    CPPUNIT_ASSERT(scene.engine().is_loading());
    check_served(scene, 2);
  }
};

/// What an agent takes for a proof of its engine's layers.
class load_proofs_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(load_proofs_test);
  CPPUNIT_TEST(accepted_order_is_no_proof_before_its_answer);
  CPPUNIT_TEST(layers_of_the_first_hour_are_served_after_a_restart);
  CPPUNIT_TEST(restarted_agent_uses_the_proof_of_its_mark);
  CPPUNIT_TEST(restarted_agent_loads_again_without_a_proof_of_its_mark);
  CPPUNIT_TEST(newer_version_replaces_layers_without_a_proof);
  CPPUNIT_TEST(order_that_is_not_executed_proves_nothing);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against layers that are added beside running work and used while nothing is known of
  /// their order but that it has been accepted.
  void accepted_order_is_no_proof_before_its_answer()
  {
    load_scene scene(two_layers);
    bool held = false;
    bool shown = false;
    bool proven = false;
    scene.engine().on_call = [&](engine_call call, std::uint32_t)
    {
      const bool is_second = call == engine_call::order && scene.engine().mark().orders == 1;
      held = held || is_second;
      return is_second ? call_fate::answer_held : call_fate::answered;
    };
    scene.on_report = [&](const protocol::engine_report& report, const rollout::engine_state& state)
    {
      const bool is_unread = held && report.orders == 2;
      shown = shown || is_unread;
      proven = proven || (is_unread && state.proven);
    };
    scene.restart_agent();
    check(scene.run_until([&] { return shown; }), scene);
    scene.run_for(settled);
    check(!proven, scene);
    scene.engine().release_answers();
    check_served(scene, 2);
    CPPUNIT_ASSERT_EQUAL(2U, scene.engine().accepted_orders);
  }

  /// Guards against an agent that takes an engine out of service which has loaded nothing yet.
  void layers_of_the_first_hour_are_served_after_a_restart()
  {
    load_scene scene(two_layers);
    scene.engine().hold(1);
    scene.restart_agent(1);
    bool unproven = false;
    scene.on_report = [&](const protocol::engine_report&, const rollout::engine_state& state)
    {
      unproven = unproven || !state.proven || state.loading;
    };
    check(scene.run_until([&] { return scene.serves(1); }), scene);
    scene.restart_agent(1);
    scene.run_for(seconds(2));
    check(scene.serves(1) && !unproven, scene);
    CPPUNIT_ASSERT_EQUAL(0U, scene.engine().accepted_orders);
  }

  /// Guards against the load of a whole fleet after a new version of this program.
  void restarted_agent_uses_the_proof_of_its_mark()
  {
    load_scene scene(two_layers);
    scene.entry().returns_proofs = true;
    scene.restart_agent();
    check_served(scene, 2);
    const unsigned orders = scene.engine().accepted_orders;
    scene.restart_agent();
    scene.run_for(seconds(2));
    check_served(scene, 2);
    CPPUNIT_ASSERT_EQUAL(orders, scene.engine().accepted_orders);
  }

  /// Guards against layers that are used on the proof of other ones.
  void restarted_agent_loads_again_without_a_proof_of_its_mark()
  {
    load_scene scene(two_layers);
    scene.restart_agent();
    check_served(scene, 2);
    const auto mark = scene.engine().mark();
    const unsigned orders = scene.engine().accepted_orders;
    scene.agent().kill();
    // Reports of that run may still be on their way.
    scene.run_for(milliseconds(10));
    bool proven = false;
    scene.on_report = [&](const protocol::engine_report& report, const rollout::engine_state& state)
    {
      proven = proven || (state.proven && report.orders == mark.orders);
      scene.agent().send_proof({mark.started_ms, mark.orders + 1});
      scene.agent().send_proof({mark.started_ms, mark.orders - 1});
      scene.agent().send_proof({mark.started_ms + 1, mark.orders});
    };
    scene.restart_agent();
    check(scene.run_until([&] { return scene.engine().accepted_orders > orders; }), scene);
    scene.on_report = nullptr;
    CPPUNIT_ASSERT(!proven);
    check_served(scene, 2);
  }

  /// Guards against an engine that waits for layers to be loaded again which a newer version
  /// replaces anyway.
  void newer_version_replaces_layers_without_a_proof()
  {
    load_scene scene(two_layers);
    take_bad_pieces(scene, two_layers);
    scene.agent().add_version(3);
    check_served(scene, 3);
    // The same after a restart of the agent.
    scene.restart_agent(4);
    check_served(scene, 4);
  }

  /// Guards against an accepted order as a proof for the layers that it should have replaced.
  void order_that_is_not_executed_proves_nothing()
  {
    load_scene scene(two_layers);
    take_bad_pieces(scene, two_layers);
    // Too few pieces are held for another load of version 2.
    scene.engine().orders_to_ignore = 1;
    scene.restart_agent(3);
    check_served(scene, 3);
  }
};

/// Layers that were taken from bad pieces and are loaded again.
class repeated_loads_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(repeated_loads_test);
  CPPUNIT_TEST(agent_ends_while_layers_are_loaded_again);
  CPPUNIT_TEST(only_layer_is_loaded_again);
  CPPUNIT_TEST(only_layer_of_version_1_is_loaded_again);
  CPPUNIT_TEST(agent_ends_while_the_only_layer_is_loaded_again);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against bad layers that are kept because only some of the orders that load them again
  /// were sent.
  void agent_ends_while_layers_are_loaded_again()
  {
    for_each_at_once<unsigned>(
        {1, 2, 3},
        [](unsigned more)
        {
          load_scene scene(two_layers);
          scene.entry().returns_proofs = true;
          take_bad_pieces(scene, two_layers);
          const unsigned orders = scene.engine().accepted_orders + more;
          check(scene.run_until([&] { return scene.engine().accepted_orders == orders; }), scene);
          scene.restart_agent();
          check_served(scene, 2);
        });
  }

  /// Guards against an engine with one layer that stays out of service until a newer version is
  /// named, and against the use of the layer that replaces it meanwhile.
  void only_layer_is_loaded_again()
  {
    for_each_at_once<bool>(
        {true, false},
        [](bool states_layers)
        {
          load_scene scene(one_layer);
          scene.engine().states_layers = states_layers;
          take_bad_pieces(scene, one_layer);
          check_served(scene, 2);
          CPPUNIT_ASSERT((scene.engine().ordered_versions == std::vector<std::uint64_t>{2, 1, 2}));
        });
  }

  void only_layer_of_version_1_is_loaded_again()
  {
    load_scene scene(one_layer);
    bool struck = false;
    scene.engine().on_call = [&](engine_call call, std::uint32_t)
    {
      if (call == engine_call::order && !struck)
      {
        struck = true;
        spoil_all(scene, one_layer);
        scene.engine().stand_still(freeze);
      }
      return call_fate::answered;
    };
    scene.restart_agent(1);
    check(scene.run_until([&] { return !scene.engine().problem().empty(); }), scene);
    check_served(scene, 1);
  }

  /// Guards against the layer that replaces a bad one, if the agent that ordered it is gone.
  void agent_ends_while_the_only_layer_is_loaded_again()
  {
    load_scene scene(one_layer);
    scene.entry().returns_proofs = true;
    take_bad_pieces(scene, one_layer);
    check(scene.run_until([&] { return scene.engine().version() == 1; }), scene);
    scene.restart_agent();
    check_served(scene, 2);
  }
};

/// Pieces whose staging had no answer and that arrive late.
class late_pieces_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(late_pieces_test);
  CPPUNIT_TEST(late_piece_replaces_one_of_the_next_version);
  CPPUNIT_TEST(late_piece_of_an_earlier_run_replaces_one_of_the_next_version);
  CPPUNIT_TEST(late_piece_does_not_hide_one_that_was_bad);
  CPPUNIT_TEST(late_piece_of_a_load_that_was_given_up);
  CPPUNIT_TEST_SUITE_END();

  static void replace_by_late_piece(bool is_killed)
  {
    load_scene scene(two_layers);
    bool held = false;
    bool released = false;
    scene.engine().on_call = [&](engine_call call, std::uint32_t)
    {
      if (call == engine_call::stage_put && !held)
      {
        held = true;
        return call_fate::held;
      }
      if (call == engine_call::order && held && !released)
      {
        released = true;
        scene.engine().release();
      }
      return call_fate::answered;
    };
    scene.restart_agent();
    check(scene.run_until([&] { return held; }), scene);
    if (is_killed)
    {
      scene.restart_agent(3);
    }
    else
    {
      scene.agent().add_version(3);
    }
    check(scene.run_until([&] { return released; }), scene);
    check_served(scene, 3);
  }

public:
  /// Guards against a piece whose staging had no answer and that replaces one of the next version
  /// after the check.
  void late_piece_replaces_one_of_the_next_version()
  {
    replace_by_late_piece(false);
  }

  /// The same with an agent that has been killed since: the next one knows nothing of the piece.
  void late_piece_of_an_earlier_run_replaces_one_of_the_next_version()
  {
    replace_by_late_piece(true);
  }

  /// Guards against a piece whose load ended before the answer to its staging: nobody waits for it.
  void late_piece_of_a_load_that_was_given_up()
  {
    load_scene scene(two_layers);
    scene.restart_agent();
    check_served(scene, 2);
    unsigned orders = 0;
    unsigned pieces = 0;
    bool released = false;
    scene.engine().on_call = [&](engine_call call, std::uint32_t)
    {
      if (call == engine_call::order && ++orders == 1)
      {
        scene.agent().add_version(3);
        return call_fate::held;
      }
      // While the same order is prepared once more, the engine accepts the first one.
      if (call == engine_call::stage_put && orders == 1 && ++pieces == 2)
      {
        scene.engine().release(engine_call::order);
        return call_fate::held;
      }
      if (call == engine_call::order && !released)
      {
        released = true;
        scene.engine().release(engine_call::stage_put);
      }
      return call_fate::answered;
    };
    // The agent knows of no earlier run at this start of the engine.
    scene.engine().restart(false);
    check(scene.run_until([&] { return released; }), scene);
    check_served(scene, 3);
  }

  /// Guards against a check after the load that finds a good piece where the engine has taken a bad
  /// one: the piece was staged once more in between, by a call that had been given up.
  void late_piece_does_not_hide_one_that_was_bad()
  {
    load_scene scene(two_layers);
    bool held = false;
    bool struck = false;
    scene.engine().on_call = [&](engine_call call, std::uint32_t piece)
    {
      if (call == engine_call::stage_put && !held)
      {
        held = true;
        return call_fate::held;
      }
      if (call == engine_call::order && !struck)
      {
        struck = true;
        scene.engine().spoil(0);
        scene.engine().stand_still(freeze);
      }
      if (call == engine_call::stage_get && struck && piece == 0)
      {
        scene.engine().release();
      }
      return call_fate::answered;
    };
    scene.restart_agent();
    check_served(scene, 2);
    CPPUNIT_ASSERT(struck);
  }
};

/// A call of an agent that arrives while the next run of the agent, or the same one, loads.
struct late_call
{
  engine_call held = engine_call::order;
  /// Which of its kind.
  unsigned number = 1;
  /// Call of the later load with which it arrives.
  engine_call with = engine_call::order;
  unsigned with_number = 1;
  std::uint64_t next_version = 2;
  std::uint64_t first_version = 0;
  bool agent_restarts = true;
  /// Pieces staged until then have been bad for longer than is excused.
  bool pieces_are_bad = false;
};

std::string describe(const late_call& late)
{
  const auto name = [](engine_call call)
  {
    return call == engine_call::order       ? std::string("order")
           : call == engine_call::stage_put ? std::string("staging")
           : call == engine_call::stage_get ? std::string("reading back")
                                            : std::string("report");
  };
  return name(late.held) + " " + std::to_string(late.number) + " with " + name(late.with) + " " +
         std::to_string(late.with_number) + ", then version " + std::to_string(late.next_version) +
         " on an engine with version " + std::to_string(late.first_version) +
         (late.agent_restarts ? ", agent restarts" : "") +
         (late.pieces_are_bad ? ", pieces are bad" : "");
}

/// What went wrong; empty if nothing.
std::string play(const late_call& late)
{
  load_scene scene(two_layers);
  if (late.first_version != 0)
  {
    scene.engine().hold(late.first_version);
  }
  unsigned count = 0;
  unsigned later = 0;
  bool is_held = false;
  scene.engine().on_call = [&](engine_call call, std::uint32_t)
  {
    if (!is_held && call == late.held && ++count == late.number)
    {
      is_held = true;
      return call_fate::held;
    }
    if (is_held && call == late.with && ++later == late.with_number)
    {
      scene.engine().release();
    }
    return call_fate::answered;
  };
  scene.restart_agent();
  if (!scene.run_until([&] { return is_held; }))
  {
    return "the call was not sent";
  }
  if (late.agent_restarts)
  {
    scene.agent().kill();
  }
  if (late.pieces_are_bad)
  {
    spoil_all(scene, two_layers);
    scene.run_for(freeze);
  }
  if (late.agent_restarts)
  {
    scene.restart_agent(late.next_version);
  }
  else
  {
    scene.agent().add_version(late.next_version);
  }
  const auto served = [&]
  {
    return scene.serves(late.next_version);
  };
  const auto ends = [&]
  {
    return served() || !scene.problem().empty();
  };
  (void)scene.run_until(ends);
  // It arrives now if the call that it was to arrive with has not been sent.
  scene.engine().release();
  scene.run_for(settled);
  (void)scene.run_until(ends);
  return !scene.problem().empty() ? scene.problem() : served() ? "" : "not served";
}

/// Late calls at all steps of a later load.
class late_calls_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(late_calls_test);
  CPPUNIT_TEST(late_order);
  CPPUNIT_TEST(late_order_with_bad_pieces);
  CPPUNIT_TEST(late_first_piece);
  CPPUNIT_TEST(late_last_piece);
  CPPUNIT_TEST_SUITE_END();

  static void play_all(const late_call& kind)
  {
    std::vector<late_call> calls;
    for (const std::uint64_t next_version : {2, 3})
    {
      for (const std::uint64_t first_version : {0, 1})
      {
        for (const bool agent_restarts : {true, false})
        {
          for (const auto& [with, with_number] :
               {std::pair(engine_call::stage_put, 1U), std::pair(engine_call::stage_put, 3U),
                std::pair(engine_call::stage_get, 1U), std::pair(engine_call::stage_get, 3U),
                std::pair(engine_call::order, 1U), std::pair(engine_call::order, 2U)})
          {
            late_call late = kind;
            late.with = with;
            late.with_number = with_number;
            late.next_version = next_version;
            late.first_version = first_version;
            late.agent_restarts = agent_restarts;
            calls.push_back(late);
          }
        }
      }
    }
    std::vector<std::future<std::string>> outcomes;
    outcomes.reserve(calls.size());
    for (const late_call& late : calls)
    {
      outcomes.push_back(std::async(std::launch::async, [late] { return play(late); }));
    }
    std::string problems;
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
      if (const std::string problem = outcomes[i].get(); !problem.empty())
      {
        problems += "\n" + describe(calls[i]) + ": " + problem;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), problems);
  }

public:
  void late_order()
  {
    play_all({.held = engine_call::order});
  }

  void late_order_with_bad_pieces()
  {
    play_all({.held = engine_call::order, .pieces_are_bad = true});
  }

  void late_first_piece()
  {
    play_all({.held = engine_call::stage_put});
  }

  void late_last_piece()
  {
    play_all({.held = engine_call::stage_put, .number = 3});
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_calls_test, "Rollout.LateCalls");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_orders_test, "Rollout.LateOrders");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(load_proofs_test, "Rollout.LoadProofs");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(repeated_loads_test, "Rollout.RepeatedLoads");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_pieces_test, "Rollout.LatePieces");

} // namespace
