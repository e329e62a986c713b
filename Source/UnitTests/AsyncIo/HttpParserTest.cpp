#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpParser.h"

namespace
{

using namespace pollenyoke::async_io;

struct bad_message
{
  std::string name;
  std::string bytes;
  parse_failure failure;
};

class http_parser_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_parser_test);
  CPPUNIT_TEST(bad_requests_are_refused);
  CPPUNIT_TEST(request_in_single_bytes_is_read_whole);
  CPPUNIT_TEST(next_request_stays_in_the_surplus);
  CPPUNIT_TEST(chunks_are_joined_and_trailers_dropped);
  CPPUNIT_TEST(answer_without_length_ends_with_its_stream);
  CPPUNIT_TEST(answer_cut_short_is_a_failure);
  CPPUNIT_TEST(answer_to_head_has_no_body);
  CPPUNIT_TEST(impossible_answers_are_refused);
  CPPUNIT_TEST_SUITE_END();

  static http_parser request()
  {
    return http_parser(message_kind::request, {1024, 2048});
  }

public:
  /// Guards against answers whose status stands for none, or whose end can be read in two ways.
  void impossible_answers_are_refused()
  {
    const std::string rest = "\r\nContent-Length: 0\r\n\r\n";
    for (const std::string status : {"000", "001", "099", "600", "999", "20", "2000", "abc", ""})
    {
      http_parser parser(message_kind::response, {});
      parser.feed("HTTP/1.1 " + status + " X" + rest);
      CPPUNIT_ASSERT_MESSAGE(status, parser.failure() == parse_failure::malformed);
      CPPUNIT_ASSERT_MESSAGE(status, !parser.has_head());
    }
    for (const std::string status : {"100", "200", "599"})
    {
      http_parser parser(message_kind::response, {});
      parser.feed("HTTP/1.1 " + status + " X" + rest);
      CPPUNIT_ASSERT_MESSAGE(status, parser.has_head());
    }
    for (const std::string fields : {"Content-Length: 1\r\nContent-Length: 2\r\n",
                                     "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
                                     "Content-Length: 1, 2\r\n", "Content-Length: -1\r\n"})
    {
      http_parser parser(message_kind::response, {});
      parser.feed("HTTP/1.1 200 OK\r\n" + fields + "\r\nx");
      CPPUNIT_ASSERT_MESSAGE(fields, parser.failure() == parse_failure::malformed);
    }
  }

  /// Guards against requests smuggled inside others and against heads and bodies without bound.
  void bad_requests_are_refused()
  {
    const std::vector<bad_message> cases = {
        {"length and chunks",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
         parse_failure::malformed},
        {"two lengths",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
         parse_failure::malformed},
        {"other coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
         parse_failure::malformed},
        {"bad chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
         parse_failure::malformed},
        {"space before colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", parse_failure::malformed},
        {"not HTTP", "\x16\x03\x01\x02 hello\r\n\r\n", parse_failure::malformed},
        {"long head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x'),
         parse_failure::head_too_large},
        {"long body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4096\r\n\r\n",
         parse_failure::body_too_large}};
    for (const bad_message& bad : cases)
    {
      auto parser = request();
      parser.feed(bad.bytes);
      CPPUNIT_ASSERT_MESSAGE(bad.name, !parser.is_complete());
      CPPUNIT_ASSERT_MESSAGE(bad.name, parser.failure() == bad.failure);
    }
  }

  void request_in_single_bytes_is_read_whole()
  {
    auto parser = request();
    for (const char c :
         std::string("POST /a?b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz"))
    {
      CPPUNIT_ASSERT(!parser.is_complete());
      parser.feed(std::string(1, c));
    }
    CPPUNIT_ASSERT(parser.is_complete());
    CPPUNIT_ASSERT_EQUAL(std::string("/a?b"), parser.head().target);
    CPPUNIT_ASSERT_EQUAL(std::string("xyz"), parser.take_body());
    CPPUNIT_ASSERT(parser.keep_alive());
  }

  /// Guards against a pipelined request being taken for a part of the body.
  void next_request_stays_in_the_surplus()
  {
    auto parser = request();
    parser.feed("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nxGET /2");
    CPPUNIT_ASSERT(parser.is_complete());
    CPPUNIT_ASSERT_EQUAL(std::string("x"), parser.take_body());
    CPPUNIT_ASSERT_EQUAL(std::string("GET /2"), parser.take_surplus());
  }

  void chunks_are_joined_and_trailers_dropped()
  {
    auto parser = request();
    parser.feed(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n"
        "0\r\nX-Team: stolen\r\n\r\n");
    CPPUNIT_ASSERT(parser.is_complete());
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), parser.take_body());
    CPPUNIT_ASSERT(parser.head().find("X-Team") == nullptr);
  }

  void answer_without_length_ends_with_its_stream()
  {
    http_parser parser(message_kind::response, {});
    parser.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CPPUNIT_ASSERT(parser.has_head() && !parser.is_complete());
    parser.feed_end();
    CPPUNIT_ASSERT(parser.is_complete());
    CPPUNIT_ASSERT(!parser.keep_alive());
  }

  /// Guards against a broken answer that looks complete.
  void answer_cut_short_is_a_failure()
  {
    for (const std::string bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "HTTP/1.1 200 OK\r\n"})
    {
      http_parser parser(message_kind::response, {});
      parser.feed(bytes);
      parser.feed_end();
      CPPUNIT_ASSERT(!parser.is_complete());
      CPPUNIT_ASSERT(parser.failure() == parse_failure::malformed);
    }
  }

  void answer_to_head_has_no_body()
  {
    http_parser parser(message_kind::response, {});
    parser.expect_no_body();
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    CPPUNIT_ASSERT(parser.is_complete());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(http_parser_test, "AsyncIo.HttpParser");

} // namespace
