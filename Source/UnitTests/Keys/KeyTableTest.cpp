#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Keys/KeySimulation.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::keys;
using protocol::failure_kind;
using protocol::refusal_reason;
using testing::key_simulation;
using testing::log_mode;
using testing::milliseconds;
using ending = key_simulation::ending;

/// Formats a decision for comparison with the expected text of a scenario.
std::string to_text(const key_decision& d)
{
  switch (d.action)
  {
  case key_action::run:
    return "run";
  case key_action::replay:
    return "replay";
  case key_action::unknown:
    return d.failure == failure_kind::key_already_ran ? "already-ran" : "unknown";
  case key_action::refuse:
    break;
  }
  switch (d.reason)
  {
  case refusal_reason::not_owner:
    return "not-owner " + d.owner.value;
  case refusal_reason::key_conflict:
    return "conflict";
  case refusal_reason::key_refused:
    return "refused";
  case refusal_reason::log_unavailable:
    return "log-unavailable";
  case refusal_reason::leaving:
    return "leaving";
  default:
    return "other";
  }
}

std::string decision_summary(const key_simulation& simulation, const std::string& key)
{
  std::string text;
  for (const key_decision& d : simulation.decisions(key))
  {
    text += (text.empty() ? "" : ", ") + to_text(d);
  }
  return text;
}

// Long enough for a claim to be appended and read back.
constexpr milliseconds claim_round_trip{1500};
// Longer than the outage threshold and its margins.
constexpr milliseconds outage_duration{12000};

/// A scenario with two agents, which are both running and own slots at the start. Agent 0 owns the
/// slot of `key`.
struct scenario
{
  const char* name;
  std::function<void(key_simulation&, const std::string& key)> events;
  /// Decisions about the key, in order.
  const char* expected;
  int runs;
};

void run_unclaimed(key_simulation& w, const std::string& key)
{
  w.mode = log_mode::down;
  w.advance(outage_duration);
  w.begin(0, key);
  w.end(0, ending::completed);
}

void lose_agent_0(key_simulation& w)
{
  w.crash(0);
  w.at(0).listed = false;
  w.advance(claim_round_trip);
}

std::vector<scenario> scenarios_without_faults()
{
  return {
      {"a repeated key gets the stored response",
       [](key_simulation& w, const std::string& key)
       {
         w.begin(0, key);
         w.advance(claim_round_trip);
         w.begin(0, key);
         w.end(0, ending::completed);
         w.begin(0, key);
       },
       "run, replay, replay", 1},
      {"a request with another body is a conflict",
       [](key_simulation& w, const std::string& key)
       {
         w.begin(0, key);
         w.begin(0, key, "other");
         w.advance(claim_round_trip);
       },
       "conflict, run", 1},
      {"an agent that does not own the slot names the owner",
       [](key_simulation& w, const std::string& key) { w.begin(1, key); }, "not-owner host0", 0},
      {"the outcome of a key is unknown after a failed run",
       [](key_simulation& w, const std::string& key)
       {
         w.begin(0, key);
         w.advance(claim_round_trip);
         w.end(0, ending::failed);
         w.begin(0, key);
       },
       "run, unknown", 1},
      {"a run that was not dispatched may run later",
       [](key_simulation& w, const std::string& key)
       {
         w.begin(0, key);
         w.advance(claim_round_trip);
         w.end(0, ending::not_dispatched);
         w.advance(milliseconds(10000));
         w.begin(0, key);
         w.advance(claim_round_trip);
       },
       "run, run", 1},
  };
}

std::vector<scenario> scenarios_with_lost_answers()
{
  return {
      {"a claim whose response was lost is found by reading",
       [](key_simulation& w, const std::string& key)
       {
         w.mode = log_mode::delayed;
         w.begin(0, key);
         w.advance(milliseconds(2750));
       },
       "run", 1},
      {"a key does not run when its claim is read back too late",
       [](key_simulation& w, const std::string& key)
       {
         w.begin(0, key);
         w.mode = log_mode::silent;
         w.advance(milliseconds(5000));
         w.mode = log_mode::up;
         w.advance(claim_round_trip);
         w.begin(0, key);
       },
       "refused, refused", 0},
      {"a permanently refused key stays refused by the next owner",
       [](key_simulation& w, const std::string& key)
       {
         w.begin(0, key);
         w.mode = log_mode::silent;
         w.advance(milliseconds(5000));
         w.mode = log_mode::up;
         w.advance(claim_round_trip);
         lose_agent_0(w);
         w.begin(1, key);
       },
       "refused, refused", 0},
      {"a key that was never claimed may run after an outage",
       [](key_simulation& w, const std::string& key)
       {
         w.mode = log_mode::down;
         w.advance(milliseconds(3000));
         w.begin(0, key);
         w.advance(milliseconds(4000));
         w.mode = log_mode::up;
         w.advance(claim_round_trip);
         w.begin(0, key);
         w.advance(claim_round_trip);
       },
       "log-unavailable, run", 1},
      {"a delayed claim of a paused owner has no effect",
       [](key_simulation& w, const std::string& key)
       {
         w.begin(0, key);
         w.at(0).paused = true;
         w.at(0).listed = false;
         w.advance(claim_round_trip);
         w.begin(1, key);
         w.advance(claim_round_trip);
         w.at(0).paused = false;
         w.advance(claim_round_trip);
       },
       "run, not-owner host1", 1},
  };
}

std::vector<scenario> scenarios_with_restarts()
{
  return {
      {"completed keys are known after a restart",
       [](key_simulation& w, const std::string& key)
       {
         w.begin(0, key);
         w.advance(claim_round_trip);
         w.end(0, ending::completed);
         w.advance(claim_round_trip);
         w.crash(0);
         w.start(0);
         w.advance(claim_round_trip);
         w.begin(0, key);
       },
       "run, already-ran", 1},
      {"a claim without a recorded end is unknown after a restart",
       [](key_simulation& w, const std::string& key)
       {
         w.begin(0, key);
         w.advance(claim_round_trip);
         w.crash(0);
         w.start(0);
         w.advance(claim_round_trip);
         w.begin(0, key);
       },
       "run, unknown", 1},
  };
}

std::vector<scenario> scenarios_with_outages()
{
  return {
      {"an unresponsive owner that is still listed keeps its slots",
       [](key_simulation& w, const std::string& key)
       {
         w.at(0).paused = true;
         w.advance(milliseconds(60000));
         w.begin(1, key);
       },
       "not-owner host0", 0},
      {"unrecorded keys run on the next owner if the log was reachable",
       [](key_simulation& w, const std::string& key)
       {
         lose_agent_0(w);
         w.begin(1, key);
         w.advance(claim_round_trip);
       },
       "run", 1},
      {"keys run without a claim when the log is unreachable for all agents",
       [](key_simulation& w, const std::string& key)
       {
         run_unclaimed(w, key);
         w.begin(0, key);
         w.mode = log_mode::up;
         w.advance(claim_round_trip);
         lose_agent_0(w);
         w.begin(1, key);
       },
       "run, replay, already-ran", 1},
      {"an agent that lost the log before the others does not run unclaimed keys",
       [](key_simulation& w, const std::string& key)
       {
         w.at(0).disconnected = true;
         w.at(0).listed = false;
         w.advance(claim_round_trip);
         w.begin(1, key);
         w.advance(claim_round_trip);
         w.at(0).listed = true;
         w.mode = log_mode::down;
         w.advance(outage_duration);
         w.begin(0, key);
         w.advance(milliseconds(4000));
       },
       "run, log-unavailable", 1},
      {"no key runs unclaimed while another agent reaches the log",
       [](key_simulation& w, const std::string& key)
       {
         w.at(0).disconnected = true;
         w.advance(outage_duration);
         w.begin(0, key);
         w.advance(milliseconds(4000));
       },
       "log-unavailable", 0},
      {"the first record after an outage is the late claim",
       [](key_simulation& w, const std::string& key)
       {
         run_unclaimed(w, key);
         w.at(0).paused = true;
         w.mode = log_mode::up;
         w.advance(claim_round_trip);
         w.at(0).paused = false;
         w.advance(key_simulation::step_time);
         lose_agent_0(w);
         w.begin(1, key);
       },
       "run, unknown", 1},
  };
}

std::vector<scenario> scenarios_with_lost_owners()
{
  return {
      {"an unclaimed run is unknown when its agent is lost during the outage",
       [](key_simulation& w, const std::string& key)
       {
         run_unclaimed(w, key);
         w.crash(0);
         w.mode = log_mode::up;
         lose_agent_0(w);
         w.begin(1, key);
       },
       "run, unknown", 1},
      {"an outage in which appends take effect still shows as a gap",
       [](key_simulation& w, const std::string& key)
       {
         w.mode = log_mode::silent;
         w.advance(outage_duration);
         w.begin(0, key);
         w.end(0, ending::completed);
         w.crash(0);
         w.mode = log_mode::up;
         lose_agent_0(w);
         w.begin(1, key);
       },
       "run, unknown", 1},
      {"a planned stop transfers the slots without unknown keys",
       [](key_simulation& w, const std::string& key)
       {
         w.table(0).start_release(w.now() + milliseconds(20000));
         w.begin(0, key);
         w.advance(claim_round_trip);
         CPPUNIT_ASSERT(w.table(0).is_released());
         w.crash(0);
         w.mode = log_mode::down;
         w.advance(outage_duration);
         w.mode = log_mode::up;
         w.advance(claim_round_trip);
         w.begin(1, key);
         w.advance(claim_round_trip);
       },
       "leaving, run", 1},
  };
}

class key_table_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(key_table_test);
  CPPUNIT_TEST(faults_have_the_expected_outcome);
  CPPUNIT_TEST(minted_keys_run_after_an_ambiguous_takeover);
  CPPUNIT_TEST(oversized_responses_are_not_stored);
  CPPUNIT_TEST(keys_expire_by_log_time);
  CPPUNIT_TEST(ownership_survives_expiry_of_the_acquire_record);
  CPPUNIT_TEST(records_round_trip);
  CPPUNIT_TEST(malformed_records_are_rejected);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a wrong decision about a key after each single fault, and after an outage
  // combined with the loss of the owner.
  void faults_have_the_expected_outcome()
  {
    for (const auto& group :
         {scenarios_without_faults(), scenarios_with_lost_answers(), scenarios_with_restarts(),
          scenarios_with_outages(), scenarios_with_lost_owners()})
    {
      for (const scenario& s : group)
      {
        check(s);
      }
    }
  }

  static void check(const scenario& s)
  {
    key_simulation simulation(2);
    simulation.advance(milliseconds(3000));
    CPPUNIT_ASSERT(simulation.owns_any(0) && simulation.owns_any(1));
    const std::string key = simulation.key_of(0, "key");
    s.events(simulation, key);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(s.name, std::string(s.expected),
                                 decision_summary(simulation, key));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(s.name, s.runs, simulation.ground_truth[key].runs);
  }

  // Guards against deciding "unknown" for keys that no earlier owner can have received.
  void minted_keys_run_after_an_ambiguous_takeover()
  {
    key_simulation simulation(2);
    simulation.advance(milliseconds(3000));
    const std::string old_key = simulation.table(0).mint(7);
    simulation.mode = log_mode::down;
    simulation.advance(outage_duration);
    simulation.crash(0);
    simulation.mode = log_mode::up;
    lose_agent_0(simulation);
    simulation.begin(1, old_key);
    std::string new_key;
    for (std::uint64_t choice = 0; new_key.empty() || slot_of(new_key) != slot_of(old_key);
         ++choice)
    {
      new_key = simulation.table(1).mint(choice);
    }
    simulation.begin(1, new_key);
    simulation.advance(claim_round_trip);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), decision_summary(simulation, old_key));
    CPPUNIT_ASSERT_EQUAL(std::string("run"), decision_summary(simulation, new_key));
  }

  // Guards against unbounded memory use by stored responses, and against running a key again whose
  // response is not stored.
  void oversized_responses_are_not_stored()
  {
    key_simulation simulation(1);
    simulation.advance(milliseconds(3000));
    const std::string key = simulation.key_of(0, "key");
    simulation.begin(0, key);
    simulation.advance(claim_round_trip);
    stored_response large;
    large.body.assign(std::size_t{17} * 1024 * 1024, 'x');
    simulation.table(0).finished(key, large, simulation.now());
    simulation.begin(0, key);
    CPPUNIT_ASSERT_EQUAL(std::string("run, already-ran"), decision_summary(simulation, key));
  }

  static protocol::stream_record record(std::uint64_t offset, std::uint64_t time_ms,
                                        const agent_run& author, key_record_body body)
  {
    return {log_offset{offset}, time_ms,
            format_key_record(
                {std::to_string(offset), author, log_offset{offset - 1}, std::move(body)})};
  }

  // Guards against removing a key before its lifetime has passed, or never.
  void keys_expire_by_log_time()
  {
    const agent_run agent{host_id{"a"}, incarnation_id{1}};
    key_ledger ledger({1000, 500});
    ledger.apply(record(1, 100, agent, acquire_record{{{slot_of("k"), log_offset{}}}}));
    ledger.apply(record(2, 200, agent, claim_record{{{"k", digest{}, log_offset{1}}}, false}));
    ledger.apply(record(3, 1200, agent, keepalive_record{}));
    CPPUNIT_ASSERT(ledger.find("k") != nullptr);
    ledger.apply(record(4, 1201, agent, keepalive_record{}));
    CPPUNIT_ASSERT(ledger.find("k") == nullptr);
  }

  // Guards against two owners of a slot. A reader that starts after the acquire record has expired
  // learns the owner from its keepalives, but must ignore a keepalive whose author may not know of
  // a later acquisition.
  void ownership_survives_expiry_of_the_acquire_record()
  {
    const agent_run agent{host_id{"a"}, incarnation_id{1}};
    const keepalive_record keepalive{{{5, log_offset{3}}}};
    key_ledger current({1000, 500}, log_offset{10});
    current.apply(record(10, 100, agent, keepalive));
    CPPUNIT_ASSERT(current.owns(agent, 5));
    key_ledger outdated({1000, 500}, log_offset{10});
    outdated.apply(
        {log_offset{10}, 100, format_key_record({"id", agent, log_offset{4}, keepalive})});
    CPPUNIT_ASSERT(!outdated.owns(agent, 5));
  }

  // Guards against formatting a record in a form that the parser reads differently.
  void records_round_trip()
  {
    const agent_run agent{host_id{"a"}, incarnation_id{7}};
    const std::vector<key_record_body> bodies = {
        acquire_record{{{3, log_offset{9}}}},
        claim_record{{{"key", sha256("x"), log_offset{4}}}, true},
        done_record{{{"key", 201}}},
        release_record{{{63, log_offset{1}}}},
        keepalive_record{{{0, log_offset{2}}}},
        withdraw_record{{{"key", log_offset{11}}}},
        refuse_record{{{"key", sha256("y")}}}};
    for (const key_record_body& body : bodies)
    {
      const std::string text = format_key_record({"id", agent, log_offset{5}, body});
      const auto parsed = parse_key_record(text);
      CPPUNIT_ASSERT(parsed && parsed->body.index() == body.index());
      CPPUNIT_ASSERT(parsed->author == agent && parsed->seen == log_offset{5});
      CPPUNIT_ASSERT_EQUAL(text, format_key_record(*parsed));
    }
    const std::string minted = mint_key(12, log_offset{34});
    CPPUNIT_ASSERT(parse_minted_key(minted)->epoch == log_offset{34});
    CPPUNIT_ASSERT_EQUAL(12U, slot_of(minted));
  }

  // Guards against accepting malformed records, which other processes may skip, and against slots
  // out of range.
  void malformed_records_are_rejected()
  {
    const std::string head = R"({"id":"i","agent":"a","incarnation":1,"seen":0,)";
    for (const std::string& text :
         {std::string(), std::string("[]"), head + "}", head + R"("kind":"other"})",
          head + R"("kind":"take","slots":[{"slot":64,"epoch":0}]})",
          head + R"("kind":"take","slots":[{"slot":-1,"epoch":0}]})",
          head + R"("kind":"take","slots":[{"slot":1e300,"epoch":0}]})",
          head + R"("kind":"claim","late":1,"keys":[]})",
          head + R"("kind":"claim","late":false,"keys":[{"key":"k","body":"00","epoch":1}]})",
          head + R"("kind":"done","keys":[{"key":"k","status":70000}]})"})
    {
      CPPUNIT_ASSERT_MESSAGE(text, !parse_key_record(text));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{71}, recorded_key("\xff").size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(key_table_test, "Keys.Table");

} // namespace
