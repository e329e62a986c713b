#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "Protocol/Codec.h"
#include "Protocol/LogRecord.h"
#include "Protocol/Manifest.h"
#include "Protocol/ReleaseNote.h"
#include "Protocol/Settings.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::protocol;

const std::string valid_item = "{model: quoter, version: '3', bytes: 10, services: [assistant], "
                               "manifest: " +
                               std::string(64, 'a') + "}";

const std::string valid_settings = R"(role: agent
host: h1
region: western
failure_domain: western-1
service: assistant
listen: {tcp: 127.0.0.1:0, udp: 127.0.0.1:0, http: 127.0.0.1:0, admin: 127.0.0.1:0}
platform: {log: 127.0.0.1:1, host_list: 127.0.0.1:2, origin: 127.0.0.1:3}
backend: {address: 127.0.0.1:4, kind: engine}
distribution:
  store_region: western
)";

struct text_case
{
  std::string text;
  std::string expected;
};

class protocol_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(protocol_test);
  CPPUNIT_TEST(messages_round_trip);
  CPPUNIT_TEST(truncated_and_hostile_input_is_refused);
  CPPUNIT_TEST(release_notes);
  CPPUNIT_TEST(log_records_round_trip);
  CPPUNIT_TEST(manifests_that_lie_are_refused);
  CPPUNIT_TEST(settings_errors_name_line_and_key);
  CPPUNIT_TEST(every_setting_is_documented);
  CPPUNIT_TEST_SUITE_END();

  void messages_round_trip()
  {
    request_open open;
    open.id = {make_request_id(), 3};
    open.headers = {{"a", "b"}};
    open.body = std::string("x\0y", 3);
    const auto decoded = decode<request_open>(encode(open));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->id == open.id);
    CPPUNIT_ASSERT_EQUAL(open.body, decoded->body);
    CPPUNIT_ASSERT(!decode<cancel>(encode(open)));
  }

  // Guards against large allocations and reads past the end for sizes that the sender made up.
  void truncated_and_hostile_input_is_refused()
  {
    request_open open;
    open.body = "body";
    const auto whole = encode(open);
    for (std::size_t size = 0; size < whole.payload.size(); ++size)
    {
      auto cut = whole;
      cut.payload.resize(size);
      CPPUNIT_ASSERT(!decode<request_open>(cut));
    }
    const transport::frame hostile{static_cast<std::uint8_t>(message_type::state_push),
                                   std::vector<std::byte>(9, std::byte{0xFF})};
    CPPUNIT_ASSERT(!decode<state_push>(hostile));
  }

  void release_notes()
  {
    const auto note = parse_release_note("name: spring\nhead: 4\nadd: [" + valid_item + "]");
    CPPUNIT_ASSERT(note.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, note->head.value);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), note->add.at(0).version);
    const std::vector<std::string> refused = {
        "",
        "name: x",
        "name: ../etc\nadd: [" + valid_item + "]",
        "name: x\nadd: [" + valid_item + ", " + valid_item + "]",
        "name: x\nextra: 1\nadd: [" + valid_item + "]",
        "name: x\nwithdraw: [{model: a/b, version: '1'}]",
        "name: x\nadd: [{model: m, version: '1', bytes: 1, services: [], manifest: aa}]",
        "name: [",
    };
    for (const std::string& text : refused)
    {
      CPPUNIT_ASSERT_MESSAGE(text, !parse_release_note(text));
    }
  }

  void log_records_round_trip()
  {
    const auto note = parse_release_note("name: spring\nadd: [" + valid_item + "]");
    const std::vector<record_body> bodies = {
        *note,
        placement_record{{log_offset{1}, "quoter"}, {{host_id{"h"}, incarnation_id{5}}}},
        origin_claim_record{{log_offset{1}, "quoter"}, 2, {}, {host_id{"h"}, {}}, 99},
        origin_return_record{
            {log_offset{1}, "quoter"}, 2, log_offset{7}, {host_id{"h"}, incarnation_id{5}}, 98},
        stop_record{host_id{"h"}, true},
        config_record{"k", "v"},
        checkpoint_record{log_offset{8}, sha256("s"), "s"}};
    for (const record_body& body : bodies)
    {
      const std::string text = format_log_record({"id", body});
      const auto parsed = parse_log_record(text);
      CPPUNIT_ASSERT_MESSAGE(text, parsed.has_value());
      CPPUNIT_ASSERT_EQUAL(text, format_log_record(*parsed));
    }
    CPPUNIT_ASSERT(!parse_log_record("{}"));
    CPPUNIT_ASSERT(!parse_log_record("[1"));
  }

  // Guards against a manifest whose size, count or digest differ from what is fetched.
  void manifests_that_lie_are_refused()
  {
    const std::string chunk = R"({"id":")" + to_hex(sha256("c")) + R"(","bytes":5})";
    const std::string head = R"({"content":")" + to_hex(sha256("w")) + R"(","total_bytes":)";
    const std::string good = head + "5,\"chunks\":[" + chunk + "]}";
    CPPUNIT_ASSERT(parse_manifest(good, sha256(good)).has_value());
    CPPUNIT_ASSERT(!parse_manifest(good, sha256("other")));
    for (const std::string& bad : {head + "6,\"chunks\":[" + chunk + "]}",
                                   head + "0,\"chunks\":[]}", std::string("{}"), std::string("[")})
    {
      CPPUNIT_ASSERT_MESSAGE(bad, !parse_manifest(bad, sha256(bad)));
    }
  }

  // Guards against settings that the operators' page does not name.
  void every_setting_is_documented()
  {
    std::ifstream file(POLLENYOKE_SOURCE_DIR "/docs/OPERATING.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const std::string& name : setting_names())
    {
      CPPUNIT_ASSERT_MESSAGE(name, page.str().find("`" + name + "`") != std::string::npos);
    }
  }

  void settings_errors_name_line_and_key()
  {
    CPPUNIT_ASSERT(parse_settings(valid_settings, "f").has_value());
    const std::vector<text_case> cases = {
        {valid_settings + "colour: red\n", "f:11: colour: unknown key"},
        {valid_settings + "keys: {appends_per_s: many}\n", "keys.appends_per_s: must be a number"},
        {valid_settings + "  goal: cheap\n", "f:11: distribution.goal: must be one of"},
        {valid_settings + "  policy: cheap\n", "f:11: distribution.policy: must be one of"},
        {"role: entry\nhost: h\nregion: r\n", "failure_domain: is required"},
        {"role: entry\nhost: h\nregion: r\nfailure_domain: d\n", "listen.tcp: is required"},
        {valid_settings + "requests: {queue: -1}\n", "requests.queue: must be between"},
        {valid_settings + "control: {log_poll_wait_ms: 0}\n",
         "control.log_poll_wait_ms: must be between"},
        {valid_settings + "control: {heartbeat_interval_ms: 20000}\n",
         "control.max_heartbeat_interval_ms: must not be below"},
        {"role: [\n", "yaml"},
    };
    for (const text_case& entry : cases)
    {
      const auto parsed = parse_settings(entry.text, "f");
      CPPUNIT_ASSERT_MESSAGE(entry.expected, !parsed.has_value());
      CPPUNIT_ASSERT_MESSAGE(parsed.error().message,
                             parsed.error().message.find(entry.expected) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(protocol_test, "Protocol");

} // namespace
