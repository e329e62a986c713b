#include <functional>
#include <optional>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Emulator/LogStore.h"
#include "Emulator/StoreService.h"
#include "UnitTests/RunUntil.h"
#include "platform/Names.h"
#include "platform/StoreClient.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::emulator;
using state_feed::record_page;
using state_feed::record_topic;
using std::chrono::milliseconds;

/// The store of the emulator through the system's own client.
class store_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(store_test);
  CPPUNIT_TEST(newest_record_of_each_key_outlives_the_history);
  CPPUNIT_TEST(append_is_whole_or_nothing);
  CPPUNIT_TEST(client_reads_newest_records_and_changes);
  CPPUNIT_TEST(long_read_ends_with_the_next_record);
  CPPUNIT_TEST(forgotten_history_expires_an_offset);
  CPPUNIT_TEST(faults_concern_single_machines);
  CPPUNIT_TEST(lost_answer_of_an_append_was_executed);
  CPPUNIT_TEST(waiting_read_goes_silent_and_new_connections_work);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* topic = "keyed.op";

  async_io::event_loop m_loop;
  async_io::http_caller m_caller{m_loop};
  std::optional<store_service> m_store;
  std::map<std::string, transport::endpoint> m_addresses;

  void add_machine(const std::string& name, unsigned host)
  {
    for (std::uint16_t port = 23000; port < 24000; ++port)
    {
      const transport::endpoint address{"127.60.1." + std::to_string(host), port};
      if (m_store->add_machine(name, address))
      {
        m_addresses[name] = address;
        return;
      }
    }
    CPPUNIT_FAIL("no free port");
  }

  result<record_page>
  wait_for(const std::function<void(platform::store_client::page_handler)>& call)
  {
    std::optional<result<record_page>> outcome;
    call([&outcome](result<record_page> page) { outcome = std::move(page); });
    test::run_until(m_loop, [&outcome] { return outcome.has_value(); });
    return *outcome;
  }

  result<record_page> newest(const std::string& machine)
  {
    platform::store_client client(m_caller, m_addresses.at(machine));
    return wait_for([&client](const auto& done)
                    { client.newest(record_topic::operator_records, done); });
  }

  result<record_page> read(const std::string& machine, std::uint64_t from, milliseconds wait)
  {
    platform::store_client client(m_caller, m_addresses.at(machine));
    return wait_for(
        [&client, from, wait](const auto& done)
        { client.read(record_topic::operator_records, {.from = from, .wait = wait}, done); });
  }

public:
  void setUp() override
  {
    m_store.emplace(m_loop, store_limits{}, 1);
    add_machine("m1", 1);
    add_machine("m2", 2);
  }

  void tearDown() override
  {
    m_store.reset();
  }

  void newest_record_of_each_key_outlives_the_history()
  {
    log_partition partition(true);
    CPPUNIT_ASSERT(partition.append({make_keyed_content("a", "1"), make_keyed_content("b", "2")}));
    CPPUNIT_ASSERT(partition.append({make_keyed_content("a", "3")}));
    CPPUNIT_ASSERT(partition.append({make_keyed_content("b", std::nullopt)}));
    partition.trim(partition.end());
    const newest_page page = partition.newest("");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.items.size());
    CPPUNIT_ASSERT_EQUAL(std::string("3"), *page.items.front().value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, page.items.front().offset);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, page.end);
    CPPUNIT_ASSERT(!partition.read(0, 1000));
  }

  void append_is_whole_or_nothing()
  {
    log_partition partition(true);
    CPPUNIT_ASSERT(!partition.append({make_keyed_content("a", "1"), ""}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, partition.end());
    CPPUNIT_ASSERT(!split_records(std::string("\0\0\0\x05"
                                              "ab",
                                              6)));
  }

  void client_reads_newest_records_and_changes()
  {
    CPPUNIT_ASSERT(m_store->put(topic, "config", "1"));
    CPPUNIT_ASSERT(m_store->put(topic, "config", "2"));
    const auto whole = newest("m1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, whole->records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *whole->records.front().value);
    const auto changes = read("m1", 1, milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes->records.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, changes->next);
  }

  void long_read_ends_with_the_next_record()
  {
    async_io::timer later(m_loop);
    later.start(milliseconds(50), [this] { CPPUNIT_ASSERT(m_store->put(topic, "config", "1")); });
    const auto page = read("m1", 0, milliseconds(10000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page->records.size());
  }

  void forgotten_history_expires_an_offset()
  {
    CPPUNIT_ASSERT(m_store->put(topic, "config", "1"));
    m_store->forget_history();
    const auto page = read("m1", 0, milliseconds(0));
    CPPUNIT_ASSERT(page.error().code == error_code::expired);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, newest("m1")->records.size());
  }

  void waiting_read_goes_silent_and_new_connections_work()
  {
    platform::store_client client(m_caller, m_addresses.at("m1"));
    std::optional<result<record_page>> waiting;
    client.read(record_topic::operator_records, {.wait = milliseconds(500)},
                [&waiting](result<record_page> page) { waiting = std::move(page); });
    CPPUNIT_ASSERT(newest("m1"));
    m_store->silence_open_connections("m1", true);
    CPPUNIT_ASSERT(m_store->put(topic, "config", "1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read("m1", 0, milliseconds(0))->records.size());
    CPPUNIT_ASSERT(!waiting);
    test::run_until(m_loop, [&waiting] { return waiting.has_value(); });
    CPPUNIT_ASSERT(waiting->error().code == error_code::timeout);
  }

  void faults_concern_single_machines()
  {
    CPPUNIT_ASSERT(m_store->put(topic, "config", "1"));
    for (const auto fault : {store_fault::refuses, store_fault::busy, store_fault::resets})
    {
      m_store->set_fault("m1", fault);
      CPPUNIT_ASSERT(!newest("m1"));
      CPPUNIT_ASSERT(newest("m2"));
    }
    m_store->set_fault("m1", store_fault::none);
    CPPUNIT_ASSERT(newest("m1"));
    m_store->set_fault_for_all(store_fault::refuses);
    CPPUNIT_ASSERT(!newest("m2"));
    CPPUNIT_ASSERT(!m_store->put(topic, "config", "2"));
    m_store->set_fault_for_all(store_fault::slow);
    CPPUNIT_ASSERT(newest("m2"));
  }

  void lost_answer_of_an_append_was_executed()
  {
    m_store->set_fault("m1", store_fault::loses_answers);
    platform::store_client client(m_caller, m_addresses.at("m1"));
    std::optional<bool> succeeded;
    client.append(record_topic::hosts, "h1", "entry",
                  [&succeeded](const result<void>& outcome) { succeeded = outcome.has_value(); });
    test::run_until(m_loop, [&succeeded] { return succeeded.has_value(); });
    CPPUNIT_ASSERT(!*succeeded);
    m_store->set_fault("m1", store_fault::none);
    const auto hosts =
        wait_for([&client](const auto& done) { client.newest(record_topic::hosts, done); });
    CPPUNIT_ASSERT_EQUAL(std::string("h1"), hosts->records.at(0).key);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(store_test, "Emulator.Store");

} // namespace
