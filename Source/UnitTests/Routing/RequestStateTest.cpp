#include <functional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "Routing/RequestState.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::routing;
using protocol::failure_kind;
using protocol::refusal_reason;
using protocol::request_outcome;

constexpr transport::connection_id connection_a = 11;
constexpr transport::connection_id connection_b = 12;
const incarnation_id old_incarnation{100};
const incarnation_id new_incarnation{200};

/// A request with one attempt in progress, with helpers that pass messages to it.
struct started_request
{
  explicit started_request(bool idempotent = true)
      : state({.id = {1, 2}, .idempotent = idempotent, .resumable = true, .version = "v1"})
  {
    state.begin_attempt({"engine-1"}, old_incarnation, connection_a);
  }

  reaction head(transport::connection_id from = connection_a)
  {
    return state.on_head(
        from,
        {.id = state.attempt(), .incarnation = old_incarnation, .status = 200, .version = "v1"});
  }
  reaction frame(std::uint32_t sequence, transport::connection_id from = connection_a)
  {
    return state.on_frame(from, {.id = state.attempt(), .sequence = sequence, .data = "x\n"});
  }
  reaction end(std::uint32_t frames, std::uint64_t bytes,
               transport::connection_id from = connection_a)
  {
    return state.on_end(from, {.id = state.attempt(), .frames = frames, .bytes = bytes});
  }
  reaction refused(refusal_reason reason, transport::connection_id from = connection_a)
  {
    return state.on_refused(from, {.id = state.attempt(), .reason = reason});
  }
  reaction failed(failure_kind kind)
  {
    return state.on_failed(connection_a, {.id = state.attempt(), .kind = kind});
  }
  reaction outcome(request_outcome reported, incarnation_id agent_incarnation = old_incarnation,
                   transport::connection_id from = connection_a)
  {
    return state.on_outcome(
        from, {.id = state.attempt(), .incarnation = agent_incarnation, .outcome = reported});
  }

  request_state state;
};

class request_state_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(request_state_test);
  CPPUNIT_TEST(completes_only_with_stated_length);
  CPPUNIT_TEST(unrelated_messages_are_ignored);
  CPPUNIT_TEST(duplicate_frames_are_delivered_once);
  CPPUNIT_TEST(refusal_reasons_map_to_outcomes);
  CPPUNIT_TEST(failure_kinds_map_to_outcomes);
  CPPUNIT_TEST(lost_connection_resumes_or_retries);
  CPPUNIT_TEST(lost_attempt_is_never_reported_as_not_run);
  CPPUNIT_TEST(frames_in_any_order_are_delivered_in_sequence);
  CPPUNIT_TEST_SUITE_END();

  void completes_only_with_stated_length()
  {
    started_request completed;
    completed.head();
    completed.frame(0);
    CPPUNIT_ASSERT(completed.end(1, 2) == reaction::whole);
    CPPUNIT_ASSERT(completed.state.outcome().kind == outcome_kind::whole);
    started_request missing;
    missing.head();
    CPPUNIT_ASSERT(missing.end(1, 2) == reaction::resume);
    CPPUNIT_ASSERT(!missing.state.ended());
    started_request wrong_bytes(false);
    wrong_bytes.head();
    wrong_bytes.frame(0);
    CPPUNIT_ASSERT(wrong_bytes.end(1, 3) == reaction::end);
    CPPUNIT_ASSERT(wrong_bytes.state.outcome().kind == outcome_kind::unknown);
    started_request too_many(false);
    too_many.head();
    too_many.frame(0);
    CPPUNIT_ASSERT(too_many.end(0, 0) == reaction::end);
  }

  // Guards against accepting messages of an earlier attempt, of another request, from another
  // connection or from another incarnation of the agent.
  void unrelated_messages_are_ignored()
  {
    started_request request;
    const auto old = request.state.attempt();
    request.refused(refusal_reason::overloaded);
    request.state.begin_attempt({"engine-2"}, new_incarnation, connection_b);
    const auto current = request.state.attempt();
    const protocol::attempt_id other{{9, 9}, current.attempt};
    const auto make_head = [](protocol::attempt_id id, incarnation_id agent_incarnation)
    {
      return protocol::answer_head{
          .id = id, .incarnation = agent_incarnation, .status = 200, .version = "v1"};
    };
    CPPUNIT_ASSERT(request.state.on_head(connection_b, make_head(old, new_incarnation)) ==
                   reaction::none);
    CPPUNIT_ASSERT(request.state.on_head(connection_a, make_head(current, new_incarnation)) ==
                   reaction::none);
    CPPUNIT_ASSERT(request.state.on_head(connection_b, make_head(current, old_incarnation)) ==
                   reaction::none);
    CPPUNIT_ASSERT(request.state.on_head(connection_b, make_head(other, new_incarnation)) ==
                   reaction::none);
    CPPUNIT_ASSERT(request.state.on_frame(connection_b, {.id = current}) == reaction::none);
    CPPUNIT_ASSERT(request.state.on_refused(connection_a, {.id = old}) == reaction::none);
    CPPUNIT_ASSERT(request.state.on_failed(connection_a, {.id = old}) == reaction::none);
    CPPUNIT_ASSERT(request.state.on_closed(connection_a) == reaction::none);
    CPPUNIT_ASSERT(request.outcome(request_outcome::not_run, old_incarnation, connection_b) ==
                   reaction::none);
    CPPUNIT_ASSERT(request.state.active());
    CPPUNIT_ASSERT(request.state.on_head(connection_b, make_head(current, new_incarnation)) ==
                   reaction::head);
  }

  void duplicate_frames_are_delivered_once()
  {
    started_request request;
    CPPUNIT_ASSERT(request.head() == reaction::head);
    CPPUNIT_ASSERT(request.head() == reaction::none);
    CPPUNIT_ASSERT(request.frame(0) == reaction::deliver);
    CPPUNIT_ASSERT(request.frame(0) == reaction::none);
    CPPUNIT_ASSERT(request.frame(2) == reaction::resume);
    CPPUNIT_ASSERT(request.frame(3) == reaction::none);
    CPPUNIT_ASSERT(request.frame(1) == reaction::deliver);
    CPPUNIT_ASSERT(request.refused(refusal_reason::overloaded) == reaction::none);
    CPPUNIT_ASSERT(request.end(2, 4) == reaction::whole);
    CPPUNIT_ASSERT(request.end(2, 4) == reaction::none);
  }

  void refusal_reasons_map_to_outcomes()
  {
    struct test_case
    {
      refusal_reason reason;
      reaction expected;
      outcome_kind kind;
    };
    for (const test_case& expected_case : std::vector<test_case>{
             {refusal_reason::overloaded, reaction::retry, outcome_kind::not_run},
             {refusal_reason::leaving, reaction::retry, outcome_kind::not_run},
             {refusal_reason::not_serving, reaction::retry, outcome_kind::not_run},
             {refusal_reason::log_unavailable, reaction::retry, outcome_kind::not_run},
             {refusal_reason::not_owner, reaction::end, outcome_kind::not_run},
             {refusal_reason::expired_deadline, reaction::end, outcome_kind::not_run},
             {refusal_reason::key_refused, reaction::end, outcome_kind::not_run},
             {refusal_reason::key_conflict, reaction::end, outcome_kind::rejected},
             {refusal_reason::suspect, reaction::end, outcome_kind::rejected}})
    {
      started_request request(false);
      CPPUNIT_ASSERT(request.refused(expected_case.reason) == expected_case.expected);
      request.state.give_up(expected_case.reason, "");
      CPPUNIT_ASSERT(request.state.outcome().kind == expected_case.kind);
    }
  }

  void failure_kinds_map_to_outcomes()
  {
    struct test_case
    {
      failure_kind failure;
      bool idempotent;
      reaction expected;
      outcome_kind kind;
    };
    for (const test_case& expected_case : std::vector<test_case>{
             {failure_kind::backend_lost, true, reaction::retry, outcome_kind::unknown},
             {failure_kind::backend_lost, false, reaction::end, outcome_kind::unknown},
             {failure_kind::backend_error, false, reaction::end, outcome_kind::unknown},
             {failure_kind::key_unknown, false, reaction::end, outcome_kind::unknown},
             {failure_kind::deadline, true, reaction::end, outcome_kind::unknown},
             {failure_kind::key_already_ran, false, reaction::end, outcome_kind::already_ran}})
    {
      started_request request(expected_case.idempotent);
      CPPUNIT_ASSERT(request.failed(expected_case.failure) == expected_case.expected);
      request.state.give_up(refusal_reason::overloaded, "");
      CPPUNIT_ASSERT(request.state.outcome().kind == expected_case.kind);
    }
  }

  void lost_connection_resumes_or_retries()
  {
    started_request same;
    CPPUNIT_ASSERT(same.state.on_closed(connection_a) == reaction::relink);
    CPPUNIT_ASSERT(same.state.on_relinked(connection_b, old_incarnation) == reaction::resume);
    CPPUNIT_ASSERT(same.outcome(request_outcome::not_run, old_incarnation, connection_b) ==
                   reaction::retry);
    CPPUNIT_ASSERT(!same.state.may_have_run());
    for (const bool idempotent : {true, false})
    {
      started_request restarted(idempotent);
      restarted.state.on_closed(connection_a);
      CPPUNIT_ASSERT(restarted.state.on_relinked(connection_b, new_incarnation) ==
                     (idempotent ? reaction::retry : reaction::end));
      CPPUNIT_ASSERT(restarted.state.may_have_run());
      started_request unreachable(idempotent);
      unreachable.state.on_closed(connection_a);
      CPPUNIT_ASSERT(unreachable.state.on_lost(true) ==
                     (idempotent ? reaction::retry : reaction::end));
    }
    started_request not_sent(false);
    CPPUNIT_ASSERT(not_sent.state.on_lost(false) == reaction::retry);
    CPPUNIT_ASSERT(!not_sent.state.may_have_run());
  }

  // Guards against reporting not_run for a request whose first attempt may have run.
  void lost_attempt_is_never_reported_as_not_run()
  {
    started_request request;
    request.failed(failure_kind::backend_lost);
    request.state.begin_attempt({"engine-2"}, new_incarnation, connection_b);
    CPPUNIT_ASSERT(request.refused(refusal_reason::overloaded, connection_b) == reaction::retry);
    request.state.give_up(refusal_reason::overloaded, "no further retry");
    CPPUNIT_ASSERT(request.state.outcome().kind == outcome_kind::unknown);
    started_request active;
    active.state.on_deadline();
    CPPUNIT_ASSERT(active.state.outcome().kind == outcome_kind::unknown);
    started_request refused_before;
    refused_before.refused(refusal_reason::overloaded);
    refused_before.state.on_deadline();
    CPPUNIT_ASSERT(refused_before.state.outcome().kind == outcome_kind::not_run);
  }

  void frames_in_any_order_are_delivered_in_sequence()
  {
    const bool passed = rc::check(
        "frames in any order, repeated or missing",
        []
        {
          started_request request;
          std::uint32_t delivered = 0;
          const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
          for (const int event : events)
          {
            if (event == 4)
            {
              request.head();
            }
            else if (event == 5)
            {
              request.end(4, 8);
            }
            else if (request.frame(static_cast<std::uint32_t>(event)) == reaction::deliver)
            {
              RC_ASSERT(delivered == static_cast<std::uint32_t>(event));
              ++delivered;
            }
          }
          RC_ASSERT(!request.state.ended() || delivered == 4);
        });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(request_state_test, "RoutingRequestState");

} // namespace
