#include <future>
#include <memory>

#include <cppunit/extensions/HelperMacros.h>

#include "Keys/KeyService.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::keys;

/// An in-memory log that can lose the responses to appends.
class memory_log
{
public:
  result<protocol::stream_record> append(std::string_view, std::string_view text)
  {
    const std::lock_guard lock(m_mutex);
    const log_offset offset{m_records.size() + 1};
    m_records.push_back({offset, offset.value * 10, std::string(text)});
    m_changed.notify_all();
    if (lose_responses)
    {
      return fail(error_code::closed, "response lost");
    }
    return m_records.back();
  }

  result<log_follower::log_page> read(std::string_view, log_offset from, std::size_t max,
                                      std::chrono::milliseconds wait)
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return m_records.size() >= from.value; });
    log_follower::log_page page{log_offset{1}, from, {}};
    for (; page.next.value <= m_records.size() && page.records.size() < max; ++page.next.value)
    {
      page.records.push_back(m_records[page.next.value - 1]);
    }
    return page;
  }

  std::chrono::milliseconds age()
  {
    return std::chrono::milliseconds(0);
  }

  std::atomic<bool> lose_responses{false};

private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<protocol::stream_record> m_records;
};

struct fixed_members
{
  membership::member_view_ptr view() const
  {
    auto current_view = std::make_shared<membership::member_view>();
    for (const char* host : {"a", "b"})
    {
      membership::peer p;
      p.listed.host = host_id{host};
      p.listed.role = protocol::process_role::agent;
      p.listed.service = "booking";
      current_view->peers.push_back(p);
    }
    return current_view;
  }
};

using service = key_service<memory_log, fixed_members>;

std::unique_ptr<service> make_service(const char* host, memory_log& log,
                                      const fixed_members& members, metrics_registry& metrics)
{
  table_options options;
  options.self = {host_id{host}, incarnation_id{1}};
  options.service = "booking";
  options.ledger = {86'400'000, 10'000};
  auto made = std::make_unique<service>(options, 1000, log, members, metrics);
  made->start();
  return made;
}

key_decision decide(service& target, const std::string& key)
{
  auto promise = std::make_shared<std::promise<key_decision>>();
  target.begin(key, sha256("body"),
               [promise](key_decision d) { promise->set_value(std::move(d)); });
  return promise->get_future().get();
}

/// Repeats the request while it is refused, as callers do.
key_decision decide_with_retries(service& target, const std::string& key)
{
  key_decision decision = decide(target, key);
  while (decision.action == key_action::refuse)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    decision = decide(target, key);
  }
  return decision;
}

class key_service_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(key_service_test);
  CPPUNIT_TEST(keys_run_once_and_slots_are_handed_over);
  CPPUNIT_TEST(stop_decides_waiting_requests);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a deadlock between the threads, a key that stays blocked because the response to
  // its claim was lost, and a planned stop that does not release the slots.
  void keys_run_once_and_slots_are_handed_over()
  {
    memory_log log;
    fixed_members members;
    metrics_registry metrics;
    const auto first = make_service("a", log, members, metrics);
    log.lose_responses = true;
    // Both agents are listed, but b does not answer heartbeats, so a acquires all slots.
    CPPUNIT_ASSERT(decide_with_retries(*first, "key").action == key_action::run);
    first->finished("key", {200, {}, "text/plain", "answer"});
    const key_decision repeated = decide(*first, "key");
    CPPUNIT_ASSERT(repeated.action == key_action::replay);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), repeated.response.body);
    log.lose_responses = false;
    CPPUNIT_ASSERT(!first->mint_key().empty());
    CPPUNIT_ASSERT(first->release_slots(std::chrono::milliseconds(60000)));

    const auto second = make_service("b", log, members, metrics);
    const key_decision after = decide_with_retries(*second, "key");
    CPPUNIT_ASSERT(after.action == key_action::unknown);
    CPPUNIT_ASSERT(after.failure == protocol::failure_kind::key_already_ran);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, metrics.counter("keys_runs"));
  }

  // Guards against a callback that is never called when the process stops.
  void stop_decides_waiting_requests()
  {
    memory_log log;
    fixed_members members;
    metrics_registry metrics;
    const auto only = make_service("a", log, members, metrics);
    CPPUNIT_ASSERT(decide_with_retries(*only, "key").action == key_action::run);
    std::promise<key_decision> waiting;
    only->begin("key", sha256("body"), [&](key_decision d) { waiting.set_value(std::move(d)); });
    only->stop();
    CPPUNIT_ASSERT(waiting.get_future().get().action == key_action::unknown);
    CPPUNIT_ASSERT(decide(*only, "other").action == key_action::refuse);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(key_service_test, "Keys.Service");

} // namespace
