#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "Emulator/Checks.h"
#include "Emulator/FaultPlan.h"
#include "Emulator/SelfCheck.h"

namespace
{

using namespace pollenyoke::emulator;

class checks_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(checks_test);
  CPPUNIT_TEST(sound_history_breaks_no_rule);
  CPPUNIT_TEST(each_altered_history_is_reported);
  CPPUNIT_TEST(faults_excuse_a_machine_for_the_stability_window);
  CPPUNIT_TEST(stop_puts_a_machine_out_of_touch);
  CPPUNIT_TEST(servers_and_deadlines_excuse_a_cut_request);
  CPPUNIT_TEST(server_at_work_in_the_last_sixth_of_the_grace_time_excuses_an_early_request);
  CPPUNIT_TEST(requests_that_the_process_had_not_read_are_not_lost);
  CPPUNIT_TEST(cut_request_has_to_be_in_the_log);
  CPPUNIT_TEST(interruptions_excuse_requests_to_a_server_that_said_it_leaves);
  CPPUNIT_TEST(server_that_continues_a_stream_of_a_leaving_one_is_not_taken_for_it);
  CPPUNIT_TEST(time_from_the_word_of_a_server_to_its_last_request);
  CPPUNIT_TEST(few_requests_may_cross_the_answer_that_asks_for_a_pause);
  CPPUNIT_TEST(requests_beyond_a_limit_are_those_of_machines_that_were_told);
  CPPUNIT_TEST(used_part_of_a_limit_counts_while_there_are_callers);
  CPPUNIT_TEST(same_seed_draws_the_same_plan);
  CPPUNIT_TEST(plan_ends_before_the_run);
  CPPUNIT_TEST(each_fault_has_a_name);
  CPPUNIT_TEST_SUITE_END();

  rule_bounds m_bounds;

public:
  void sound_history_breaks_no_rule()
  {
    CPPUNIT_ASSERT(find_violations(make_sound_history(), m_bounds).empty());
  }

  /// Guards against a check that finds nothing whatever happens.
  void each_altered_history_is_reported()
  {
    const auto report = run_self_check();
    CPPUNIT_ASSERT(report.checks > 0);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"checks":17,"undetected":[]})"), to_json(report));
  }

  void faults_excuse_a_machine_for_the_stability_window()
  {
    history seen;
    seen.disturbances.push_back({"m", 10, 12});
    CPPUNIT_ASSERT(in_touch(seen, "m", 9.9, m_bounds));
    CPPUNIT_ASSERT(!in_touch(seen, "m", 10, m_bounds));
    CPPUNIT_ASSERT(!in_touch(seen, "m", 12 + m_bounds.stability_window, m_bounds));
    CPPUNIT_ASSERT(in_touch(seen, "m", 12.1 + m_bounds.stability_window, m_bounds));
    CPPUNIT_ASSERT(in_touch(seen, "other", 11, m_bounds));
    seen.disturbances.push_back({"store", 20, 21});
    CPPUNIT_ASSERT(!in_touch(seen, "other", 22, m_bounds));
  }

  void stop_puts_a_machine_out_of_touch()
  {
    history seen;
    seen.stops.push_back({"m", 10, 0, true});
    CPPUNIT_ASSERT(in_touch(seen, "m", 9, m_bounds));
    CPPUNIT_ASSERT(!in_touch(seen, "m", 11, m_bounds));
    CPPUNIT_ASSERT(!in_touch(seen, "m", 50, m_bounds));
    seen.stops.front().ended = 13;
    CPPUNIT_ASSERT(in_touch(seen, "m", 50, m_bounds));
  }

  /// Guards against reports of requests that a server or the caller's own limit ended.
  void servers_and_deadlines_excuse_a_cut_request()
  {
    const auto cut = std::find_if(altered_histories().begin(), altered_histories().end(),
                                  [](const altered_history& altered)
                                  { return altered.name == "a planned stop cut a request"; });
    CPPUNIT_ASSERT(cut != altered_histories().end());
    history sound = make_sound_history();
    cut->alter(sound);
    history crashed = sound;
    crashed.disturbances.push_back({"i-1", 20.1, 20.2});
    CPPUNIT_ASSERT(find_violations(crashed, m_bounds).empty());
    history broken_off = sound;
    broken_off.arrivals.front().broken_off = true;
    CPPUNIT_ASSERT(find_violations(broken_off, m_bounds).empty());
    history late = sound;
    late.attempts.front().ended = late.attempts.front().due - 0.01;
    CPPUNIT_ASSERT(find_violations(late, m_bounds).empty());
  }

  void server_at_work_in_the_last_sixth_of_the_grace_time_excuses_an_early_request()
  {
    history seen = make_sound_history();
    attempt& cut = seen.attempts.front();
    arrival& run = seen.arrivals.front();
    cut.answer = answer_state::cut;
    cut.due = 40;
    cut.ended = 27.3;
    run.ended = 27.3;
    // SIGTERM 3 s before the request was sent, and then a little more.
    seen.stops.push_back({cut.machine, 20, 28, true, 20});
    CPPUNIT_ASSERT(find_violations(seen, m_bounds).empty());
    history late = seen;
    late.attempts.front().sent = 23.1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_violations(late, m_bounds).size());
    history done = seen;
    done.arrivals.front().ended = 26;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_violations(done, m_bounds).size());
    // The excuse counts from the first signal.
    history again = seen;
    again.stops.front().asked = 25;
    CPPUNIT_ASSERT(find_violations(again, m_bounds).empty());
    again.stops.front().first_asked = 25;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_violations(again, m_bounds).size());
  }

  void requests_that_the_process_had_not_read_are_not_lost()
  {
    history seen = make_sound_history();
    seen.stops.push_back({"entry-a-1", 19, 23, true, 19});
    attempt& cut = seen.attempts.front();
    cut.answer = answer_state::none;
    cut.status = 0;
    cut.ended = cut.sent + 0.3;
    seen.arrivals.erase(seen.arrivals.begin());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_violations(seen, m_bounds).size());
    cut.reset = true;
    CPPUNIT_ASSERT(find_violations(seen, m_bounds).empty());
    cut.reset = false;
    cut.ended = cut.sent + 0.1;
    CPPUNIT_ASSERT(find_violations(seen, m_bounds).empty());
  }

  void cut_request_has_to_be_in_the_log()
  {
    history seen = make_sound_history();
    CPPUNIT_ASSERT(find_unlogged_cuts(seen, m_bounds, {}).empty());
    seen.attempts.front().answer = answer_state::cut;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_unlogged_cuts(seen, m_bounds, {}).size());
    const logged_ids logged{{"entry-a-1", {seen.attempts.front().id}}};
    CPPUNIT_ASSERT(find_unlogged_cuts(seen, m_bounds, logged).empty());
    seen.disturbances.push_back({"entry-a-1", 18, 19});
    CPPUNIT_ASSERT(find_unlogged_cuts(seen, m_bounds, {}).empty());
  }

  static const altered_history& altered(std::string_view check)
  {
    const auto all = altered_histories();
    return *std::find_if(all.begin(), all.end(),
                         [check](const altered_history& one) { return one.check == check; });
  }

  /// A machine that starts again, or stands still, has not kept the news; one that only lost its
  /// links has.
  void interruptions_excuse_requests_to_a_server_that_said_it_leaves()
  {
    history seen = make_sound_history();
    altered("requests after leaving answers").alter(seen);
    history restarted = seen;
    restarted.starts.push_back({"entry-a-1", 21});
    CPPUNIT_ASSERT(find_violations(restarted, m_bounds).empty());
    history paused = seen;
    paused.disturbances.push_back({"entry-a-1", 20.5, 21, true});
    CPPUNIT_ASSERT(find_violations(paused, m_bounds).empty());
    seen.disturbances.push_back({"entry-a-1", 20.5, 21});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_violations(seen, m_bounds).size());
  }

  /// Soak seed 711: a leaving server crashed, and the stream that it had begun went on at another.
  void server_that_continues_a_stream_of_a_leaving_one_is_not_taken_for_it()
  {
    history seen = make_sound_history();
    altered("requests after leaving answers").alter(seen);
    arrival continued = seen.arrivals.front();
    continued.server = "i-2";
    seen.arrivals.insert(seen.arrivals.begin() + 1, continued);
    // The later request reaches the second server only.
    seen.arrivals.back().server = "i-2";
    seen.attempts.front().kind = request_kind::resumable_stream;
    CPPUNIT_ASSERT(find_violations(seen, m_bounds).empty());
  }

  void time_from_the_word_of_a_server_to_its_last_request()
  {
    history seen = make_sound_history();
    // The last arrival of the sound history is at 20.01 s.
    seen.leaving_words = {{"i-1", 19.51}, {"i-2", 5}};
    seen.disturbances.push_back({"store", 4, 6});
    const auto times = measure_leaving_times(seen, m_bounds);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, times.store_up.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, times.store_up.front(), 1e-6);
    CPPUNIT_ASSERT(times.store_disturbed == std::vector<moment>{0});
  }

  void few_requests_may_cross_the_answer_that_asks_for_a_pause()
  {
    history seen = make_sound_history();
    altered("requests in pauses").alter(seen);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_violations(seen, m_bounds).size());
    history cut = seen;
    cut.disturbances.push_back({"entry-a-1", 20.5, 21});
    CPPUNIT_ASSERT(find_violations(cut, m_bounds).empty());
    // The first half second is not counted.
    seen.arrivals.front().pause = 0.6;
    CPPUNIT_ASSERT(find_violations(seen, m_bounds).empty());
  }

  /// Guards against a seed that cannot be played again.
  /// The rule concerns the limit that the server names, for as long as it does, and the machines
  /// that passed it on.
  void requests_beyond_a_limit_are_those_of_machines_that_were_told()
  {
    const auto beyond =
        std::find_if(altered_histories().begin(), altered_histories().end(),
                     [](const altered_history& altered) { return altered.rule == "LIMIT"; });
    CPPUNIT_ASSERT(beyond != altered_histories().end());
    history told = make_sound_history();
    beyond->alter(told);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_violations(told, m_bounds).size());
    history raised = told;
    raised.limit_words.push_back({"i-1", 21, 2});
    CPPUNIT_ASSERT(find_violations(raised, m_bounds).empty());
    history ended = told;
    ended.limit_words.push_back({"i-1", 21, std::nullopt});
    CPPUNIT_ASSERT(find_violations(ended, m_bounds).empty());
    history untold = told;
    untold.attempts.front().server_limited = false;
    CPPUNIT_ASSERT(find_violations(untold, m_bounds).empty());
    history restarted = told;
    restarted.starts.push_back({"entry-a-1", 21.5});
    CPPUNIT_ASSERT(find_violations(restarted, m_bounds).empty());
  }

  /// The sound history has a request every 0.05 s from 19 s on, and the last one at 20 s.
  void used_part_of_a_limit_counts_while_there_are_callers()
  {
    history seen = make_sound_history();
    seen.limit_words = {{"i-1", 18.45, 10.0}, {"i-1", 50, std::nullopt}, {"i-2", 10, 0.0}};
    const limit_use before_half = measure_limit_use(seen);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, before_half.allowed, 1e-9);
    seen.attempts.push_back(seen.attempts.back());
    seen.attempts.back().sent = 21;
    const limit_use use = measure_limit_use(seen);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, use.allowed, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, use.arrived, 1e-9);
  }

  void same_seed_draws_the_same_plan()
  {
    const auto first = draw_plan(7, 60);
    const auto second = draw_plan(7, 60);
    CPPUNIT_ASSERT_EQUAL(first.size(), second.size());
    for (std::size_t i = 0; i < first.size(); ++i)
    {
      CPPUNIT_ASSERT(first[i].kind == second[i].kind);
      CPPUNIT_ASSERT_EQUAL(first[i].at, second[i].at);
      CPPUNIT_ASSERT_EQUAL(first[i].choice, second[i].choice);
    }
    CPPUNIT_ASSERT(draw_plan(8, 60).size() != first.size() ||
                   draw_plan(8, 60).front().choice != first.front().choice);
  }

  void plan_ends_before_the_run()
  {
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
      for (const planned_fault& fault : draw_plan(seed, 60))
      {
        CPPUNIT_ASSERT(fault.at + fault.duration < 60);
        if (fault.kind == fault_kind::kill_all)
        {
          CPPUNIT_ASSERT(fault.at + m_bounds.recovery < 60);
        }
      }
    }
  }

  void each_fault_has_a_name()
  {
    for (int kind = 0; kind <= static_cast<int>(fault_kind::server_silent); ++kind)
    {
      CPPUNIT_ASSERT(to_string(static_cast<fault_kind>(kind)) != "unknown");
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(checks_test, "Emulator.Checks");

} // namespace
