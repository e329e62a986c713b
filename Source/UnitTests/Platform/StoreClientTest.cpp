#include <functional>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpListener.h"
#include "platform/StoreClient.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using state_feed::record_page;
using state_feed::record_topic;
using std::chrono::milliseconds;

std::string big_endian(std::uint64_t value, int bytes)
{
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
  {
    out.push_back(static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU));
  }
  return out;
}

std::string keyed_record(const std::string& key, const std::string& value)
{
  return big_endian(1 + key.size() + value.size(), 4) + static_cast<char>(key.size()) + key + value;
}

class store_client_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(store_client_test);
  CPPUNIT_TEST(pages_of_the_newest_are_joined);
  CPPUNIT_TEST(changes_are_read_with_their_offsets);
  CPPUNIT_TEST(refusals_are_told_apart);
  CPPUNIT_TEST(garbage_is_an_error);
  CPPUNIT_TEST(lost_answer_is_an_unknown_outcome);
  CPPUNIT_TEST(append_writes_a_keyed_record);
  CPPUNIT_TEST_SUITE_END();

  event_loop m_loop;
  http_caller m_caller{m_loop};

  result<record_page> ask(const http_listener::request_handler& store,
                          const std::function<void(platform::store_client&,
                                                   platform::store_client::page_handler)>& call)
  {
    http_listener listener(m_loop, store);
    CPPUNIT_ASSERT(listener.listen({"127.0.0.1", 0}));
    platform::store_client client(m_caller, {"127.0.0.1", listener.port()});
    result<record_page> page = fail(error_code::invalid_argument, "not called");
    call(client,
         [&](result<record_page> answer)
         {
           page = std::move(answer);
           m_loop.stop();
         });
    m_loop.run();
    return page;
  }

  result<record_page> read(unsigned status, const std::string& body)
  {
    return ask(
        [&](const message_head&, const http_listener::responder& respond) {
          respond({status, "", body});
        },
        [](platform::store_client& client, platform::store_client::page_handler done)
        { client.read(record_topic::operator_records, {.from = 5}, std::move(done)); });
  }

public:
  /// Guards against keys that are lost when the newest records take several pages.
  void pages_of_the_newest_are_joined()
  {
    const auto page = ask(
        [](const message_head& head, const http_listener::responder& respond)
        {
          const bool first = query_parameter(head.target, "after").empty();
          respond(
              {200, "application/json",
               first
                   ? R"({"items":[{"key":"a","value":"YWI=","offset":4}],"has_more":true,"end":6})"
                   : R"({"items":[{"key":"b","value":"Yw==","offset":9}],"has_more":false,"end":10})"});
        },
        [](platform::store_client& client, platform::store_client::page_handler done)
        { client.newest(record_topic::operator_records, std::move(done)); });
    CPPUNIT_ASSERT(page);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page->records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), *page->records[0].value);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), *page->records[1].value);
    // Changes between the pages are read again.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, page->next);
  }

  void changes_are_read_with_their_offsets()
  {
    const auto page = read(200, big_endian(9, 8) + big_endian(0, 8) + keyed_record("k", "v") +
                                    keyed_record("gone", ""));
    CPPUNIT_ASSERT(page);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, page->end);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, page->next);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, page->records[0].offset);
    CPPUNIT_ASSERT_EQUAL(std::string("v"), *page->records[0].value);
    CPPUNIT_ASSERT(!page->records[1].value);
  }

  void refusals_are_told_apart()
  {
    CPPUNIT_ASSERT(read(410, "").error().code == error_code::expired);
    CPPUNIT_ASSERT(read(503, "").error().code == error_code::unavailable);
    CPPUNIT_ASSERT(read(429, "").error().code == error_code::unavailable);
    CPPUNIT_ASSERT(read(500, "").error().code == error_code::malformed);
  }

  void garbage_is_an_error()
  {
    const std::string header = big_endian(9, 8) + big_endian(0, 8);
    for (const std::string& body :
         {std::string("short"), header + "xyz", header + big_endian(100, 4) + "k",
          header + big_endian(0, 4), header + big_endian(2, 4) + "\x09k"})
    {
      CPPUNIT_ASSERT(read(200, body).error().code == error_code::malformed);
    }
  }

  /// Guards against a lost answer that is taken for "nothing was done".
  void lost_answer_is_an_unknown_outcome()
  {
    tcp_connection::pointer peer;
    tcp_listener listener(m_loop,
                          [&](tcp_connection::pointer connection)
                          {
                            peer = std::move(connection);
                            peer->start([&](std::string_view) { peer->close(); },
                                        [](close_reason) {});
                          });
    CPPUNIT_ASSERT(listener.listen({"127.0.0.1", 0}));
    platform::store_client client(m_caller, {"127.0.0.1", listener.port()});
    error_code code{};
    client.append(record_topic::hosts, "k", "v",
                  [&](const result<void>& outcome)
                  {
                    code = outcome.error().code;
                    m_loop.stop();
                  });
    m_loop.run();
    CPPUNIT_ASSERT(code == error_code::closed);
  }

  void append_writes_a_keyed_record()
  {
    std::string received;
    tcp_connection::pointer peer;
    tcp_listener listener(m_loop,
                          [&](tcp_connection::pointer connection)
                          {
                            peer = std::move(connection);
                            peer->start(
                                [&](std::string_view data)
                                {
                                  received.append(data);
                                  if (received.ends_with(keyed_record("k", "v")))
                                  {
                                    peer->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                                  }
                                },
                                [](close_reason) {});
                          });
    CPPUNIT_ASSERT(listener.listen({"127.0.0.1", 0}));
    platform::store_client client(m_caller, {"127.0.0.1", listener.port()});
    bool done = false;
    client.append(record_topic::hosts, "k", "v",
                  [&](const result<void>& outcome)
                  {
                    done = outcome.has_value();
                    m_loop.stop();
                  });
    m_loop.run();
    CPPUNIT_ASSERT(done);
    CPPUNIT_ASSERT(
        received.starts_with("POST /v1/log-append?topic=keyed.pollenyoke-hosts&part=0 "));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(store_client_test, "Platform.StoreClient");

} // namespace
