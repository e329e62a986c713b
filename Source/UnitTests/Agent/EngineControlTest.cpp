#include <cppunit/extensions/HelperMacros.h>

#include "Agent/EngineControl.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::agent;
using namespace std::chrono_literals;

const digest content = sha256("content");

desired_version desire(const std::string& version, std::uint64_t fence, bool complete = true,
                       bool may_load = true)
{
  return {"m", version, sha256(version), content, log_offset{fence}, complete, may_load};
}

engine_model reported(const std::string& version, std::uint64_t fence,
                      const std::string& state = "loaded")
{
  return {"m", version, to_hex(sha256(version)), to_hex(content), fence, state};
}

std::string names(const std::vector<engine_order>& orders)
{
  std::string out;
  for (const engine_order& order : orders)
  {
    out += (order.load ? "+" : "-") + order.version + "@" + std::to_string(order.fence) + " ";
  }
  return out;
}

class engine_control_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(engine_control_test);
  CPPUNIT_TEST(serves_only_what_the_engine_confirms);
  CPPUNIT_TEST(restarted_engine_is_loaded_again);
  CPPUNIT_TEST(restarted_agent_takes_over_without_a_load);
  CPPUNIT_TEST(replaced_version_serves_until_the_new_one_does);
  CPPUNIT_TEST(withdrawn_version_ends_at_once);
  CPPUNIT_TEST(withdrawn_version_ends_while_a_newer_one_loads);
  CPPUNIT_TEST(mismatched_answer_forces_a_reload);
  CPPUNIT_TEST(late_status_does_not_stop_service);
  CPPUNIT_TEST(malformed_status_is_refused);
  CPPUNIT_TEST_SUITE_END();

public:
  const engine_control::time_point t0{std::chrono::hours(1)};
  engine_control control;

  // Guards against serving a version that is incomplete, loading, or loaded under another fence,
  // manifest or content.
  void serves_only_what_the_engine_confirms()
  {
    control.set_desired({desire("v1", 5, false)}, {});
    CPPUNIT_ASSERT(control.on_status({"b1", 0, {}}, t0).empty());
    control.set_desired({desire("v1", 5)}, {});
    CPPUNIT_ASSERT_EQUAL(std::string("+v1@5 "), names(control.on_status({"b1", 0, {}}, t0)));
    control.on_order_answered({true, "m", "v1", {}, {}, 5}, 202, t0);
    engine_model wrong_content = reported("v1", 5);
    wrong_content.content = to_hex(sha256("other"));
    engine_model wrong_manifest = reported("v1", 5);
    wrong_manifest.manifest = to_hex(sha256("other"));
    for (const engine_model& model : {reported("v1", 5, "loading"), reported("v1", 4),
                                      reported("v1", 5, "failed"), wrong_content, wrong_manifest})
    {
      control.on_status({"b1", 0, {model}}, t0);
      CPPUNIT_ASSERT(!control.is_serving("m", "v1"));
    }
    control.on_status({"b1", 0, {reported("v1", 5)}}, t0);
    CPPUNIT_ASSERT(control.is_serving("m", "v1"));
  }

  // Guards against serving from an engine that lost its models, and against not loading again.
  void restarted_engine_is_loaded_again()
  {
    control.set_desired({desire("v1", 5)}, {});
    control.on_status({"b1", 0, {reported("v1", 5)}}, t0);
    control.backend_lost();
    CPPUNIT_ASSERT(control.serving().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("+v1@5 "), names(control.on_status({"b2", 0, {}}, t0)));
  }

  // Guards against a needless load after a restart of the agent.
  void restarted_agent_takes_over_without_a_load()
  {
    desired_version unknown = desire("v1", 5, false);
    unknown.content.reset();
    control.set_desired({unknown}, {});
    CPPUNIT_ASSERT(control.on_status({"b1", 0, {reported("v1", 5)}}, t0).empty());
    CPPUNIT_ASSERT(control.is_serving("m", "v1"));
  }

  // Guards against a gap in service during a switch-over and against an early unload.
  void replaced_version_serves_until_the_new_one_does()
  {
    const std::vector<protocol::model_version> replaced{{"m", "v1"}};
    control.set_desired({desire("v1", 5)}, {});
    control.on_status({"b1", 0, {reported("v1", 5)}}, t0);
    control.set_desired({desire("v2", 7, true, false)}, replaced);
    CPPUNIT_ASSERT(control.is_serving("m", "v1") && control.serves_replaced("m"));
    CPPUNIT_ASSERT(control.on_status({"b1", 0, {reported("v1", 5)}}, t0 + 60s).empty());
    // A short loss of connections does not end the replaced version for good.
    control.backend_lost();
    control.set_desired({desire("v2", 7, true, true)}, replaced);
    CPPUNIT_ASSERT_EQUAL(std::string("+v2@7 "),
                         names(control.on_status({"b1", 0, {reported("v1", 5)}}, t0 + 60s)));
    CPPUNIT_ASSERT(control.is_serving("m", "v1"));
    const engine_status both{"b1", 1, {reported("v1", 5), reported("v2", 7)}};
    CPPUNIT_ASSERT(control.on_status(both, t0 + 61s).empty());
    CPPUNIT_ASSERT(control.is_serving("m", "v2") && !control.is_serving("m", "v1"));
    CPPUNIT_ASSERT(control.on_status(both, t0 + 70s).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("-v1@7 "), names(control.on_status(both, t0 + 92s)));
  }

  // Guards against serving a version that operators withdrew.
  void withdrawn_version_ends_at_once()
  {
    control.set_desired({desire("v1", 5)}, {});
    control.on_status({"b1", 0, {reported("v1", 5)}}, t0);
    control.set_desired({}, {});
    CPPUNIT_ASSERT(control.serving().empty());
    CPPUNIT_ASSERT(control.on_status({"b1", 0, {reported("v1", 5)}}, t0).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("-v1@5 "),
                         names(control.on_status({"b1", 0, {reported("v1", 5)}}, t0 + 6s)));
  }

  // Guards against a withdrawn version that serves on because a newer one is being transferred.
  void withdrawn_version_ends_while_a_newer_one_loads()
  {
    const std::vector<protocol::model_version> replaced{{"m", "v1"}};
    control.set_desired({desire("v1", 5)}, {});
    control.on_status({"b1", 0, {reported("v1", 5)}}, t0);
    control.set_desired({desire("v2", 7, false)}, replaced);
    CPPUNIT_ASSERT(control.is_serving("m", "v1"));
    control.set_desired({desire("v2", 7, false)}, {});
    CPPUNIT_ASSERT(!control.is_serving("m", "v1"));
  }

  // Guards against an engine that ignores fencing numbers and obeyed a replaced agent.
  void mismatched_answer_forces_a_reload()
  {
    control.set_desired({desire("v1", 5)}, {});
    control.on_status({"b1", 0, {reported("v1", 5)}}, t0);
    CPPUNIT_ASSERT(control.report_answer("m", "v1", to_hex(sha256("v1"))));
    CPPUNIT_ASSERT(!control.report_answer("m", "v1", to_hex(sha256("other"))));
    CPPUNIT_ASSERT(control.serving().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("+v1@5 "),
                         names(control.on_status({"b1", 0, {reported("v1", 5)}}, t0)));
    CPPUNIT_ASSERT(control.serving().empty());
    control.on_order_answered({true, "m", "v1", {}, {}, 5}, 202, t0);
    control.on_status({"b1", 0, {reported("v1", 5)}}, t0 + 1s);
    CPPUNIT_ASSERT(control.is_serving("m", "v1"));
  }

  // Guards against dropping a loaded engine because one status was slow.
  void late_status_does_not_stop_service()
  {
    control.set_desired({desire("v1", 5)}, {});
    control.on_status({"b1", 0, {reported("v1", 5)}}, t0);
    control.on_unreachable(false);
    CPPUNIT_ASSERT(control.is_serving("m", "v1"));
    control.on_unreachable(true);
    CPPUNIT_ASSERT(!control.is_serving("m", "v1"));
  }

  void malformed_status_is_refused()
  {
    for (const char* text : {"", "[]", "{}", R"({"boot":"b"})", R"({"boot":1,"models":[]})",
                             R"({"boot":"b","models":[1]})"})
    {
      CPPUNIT_ASSERT_MESSAGE(text, !parse_engine_status(text).has_value());
    }
    CPPUNIT_ASSERT(parse_engine_status(R"({"boot":"b","models":[]})").has_value());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(engine_control_test, "EngineControl");

} // namespace
