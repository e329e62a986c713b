#include <chrono>
#include <memory>
#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "Ctl/FleetReader.h"
#include "Ctl/Publish.h"
#include "Ctl/Status.h"
#include "StandIns/LogStandIn.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::ctl;
using nlohmann::json;

constexpr std::chrono::milliseconds patience{2000};

protocol::release_note make_note(const std::string& name, const std::string& version)
{
  auto note = protocol::parse_release_note(
      "name: " + name + "\nadd: [{model: m, version: " + version +
      ", bytes: 10, services: [assistant], manifest: " + std::string(64, 'a') + "}]");
  CPPUNIT_ASSERT(note.has_value());
  return *note;
}

class ctl_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ctl_test);
  CPPUNIT_TEST(note_is_accepted);
  CPPUNIT_TEST(second_note_against_the_same_head_is_rejected);
  CPPUNIT_TEST(lost_answer_is_resolved);
  CPPUNIT_TEST(log_that_is_down_means_not_published);
  CPPUNIT_TEST(stop_is_recorded_and_cancelled);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    auto started = stand_ins::log_stand_in::start({"127.0.0.1", 0});
    CPPUNIT_ASSERT(started.has_value());
    m_log = std::move(*started);
  }

  void tearDown() override
  {
    m_log.reset();
  }

private:
  void note_is_accepted()
  {
    const auto report = publish_note(m_log->endpoint(), make_note("first", "v1"), patience);
    CPPUNIT_ASSERT(report.outcome == publish_outcome::accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, read().head.value);
  }

  // Guards against a report of "accepted" for the losing one of two racing operators.
  void second_note_against_the_same_head_is_rejected()
  {
    publish_note(m_log->endpoint(), make_note("first", "v1"), patience);
    auto late = make_note("late", "v2");
    publish_note(m_log->endpoint(), make_note("winner", "v3"), patience);
    late.head = log_offset{1};
    const auto report = publish_note(m_log->endpoint(), late, patience);
    CPPUNIT_ASSERT(report.outcome == publish_outcome::rejected);
    CPPUNIT_ASSERT_EQUAL(std::string("winner"), report.winner_name);
    CPPUNIT_ASSERT(to_exit_status(report.outcome) == exit_rejected);
  }

  // Guards against a second copy of a note whose append took effect without an answer.
  void lost_answer_is_resolved()
  {
    CPPUNIT_ASSERT(m_log->set_faults(json{{"lose_answers", 1}}).has_value());
    const auto report = publish_note(m_log->endpoint(), make_note("first", "v1"), patience);
    CPPUNIT_ASSERT(report.outcome == publish_outcome::accepted);
    const auto state = read();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.offset.value);
  }

  // Guards against a guess when nothing was appended.
  void log_that_is_down_means_not_published()
  {
    CPPUNIT_ASSERT(m_log->set_faults(json{{"down", true}}).has_value());
    const auto report = publish_note(m_log->endpoint(), make_note("first", "v1"), patience);
    CPPUNIT_ASSERT(report.outcome == publish_outcome::not_published);
    CPPUNIT_ASSERT(to_exit_status(report.outcome) == exit_unavailable);
  }

  void stop_is_recorded_and_cancelled()
  {
    const host_id host{"west-1"};
    publish_stop(m_log->endpoint(), host, false, patience);
    CPPUNIT_ASSERT(read().planned_stops.contains(host));
    publish_stop(m_log->endpoint(), host, true, patience);
    CPPUNIT_ASSERT(!read().planned_stops.contains(host));
  }

  fleet::fleet_state read()
  {
    log_follower::log_client client(m_log->endpoint());
    const auto state = read_fleet(client, {});
    CPPUNIT_ASSERT(state.has_value());
    return *state;
  }

  std::unique_ptr<stand_ins::log_stand_in> m_log;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ctl_test, "Ctl");

} // namespace
