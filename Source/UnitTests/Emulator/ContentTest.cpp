#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "Emulator/AnswerContent.h"
#include "Emulator/Deployment.h"
#include "Emulator/Template.h"
#include "Protocol/NodeSettings.h"
#include "platform/Decode.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::emulator;
using nlohmann::json;

class content_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(content_test);
  CPPUNIT_TEST(body_belongs_to_one_request);
  CPPUNIT_TEST(stream_is_whole_and_in_order);
  CPPUNIT_TEST(placeholders_and_sections_are_filled);
  CPPUNIT_TEST(faulty_template_is_rejected);
  CPPUNIT_TEST(settings_of_each_machine_are_accepted);
  CPPUNIT_TEST(faulty_deployment_is_named_with_line_and_key);
  CPPUNIT_TEST(configuration_is_read_as_it_was_written);
  CPPUNIT_TEST(pipeline_is_read_as_it_was_written);
  CPPUNIT_TEST_SUITE_END();

  static std::string fill(const std::string& text, const json& fields)
  {
    return fill_template(text, fields).value();
  }

  static std::string check_stream(std::initializer_list<unsigned> events, bool complete)
  {
    stream_checker checker("r1");
    for (const unsigned number : events)
    {
      checker.feed(make_event("r1", 7, number));
    }
    if (complete)
    {
      checker.end();
    }
    return checker.problem();
  }

public:
  void body_belongs_to_one_request()
  {
    const std::string signature = make_signature("r1", 7);
    const std::string body = make_body("r1", 7);
    CPPUNIT_ASSERT_EQUAL(std::string(), check_body("r1", signature, body));
    CPPUNIT_ASSERT(!check_body("r2", signature, body).empty());
    CPPUNIT_ASSERT(!check_body("r1", make_signature("r1", 8), body).empty());
    CPPUNIT_ASSERT(!check_body("r1", signature, body.substr(1)).empty());
    CPPUNIT_ASSERT(!check_body("r1", "", body).empty());
  }

  void stream_is_whole_and_in_order()
  {
    stream_checker whole("r1");
    std::string bytes;
    for (unsigned number = 1; number <= event_count("r1"); ++number)
    {
      // A stream may go on with a run of another engine.
      bytes += make_event("r1", number, number);
    }
    for (const char c : bytes)
    {
      whole.feed(std::string(1, c));
    }
    whole.end();
    CPPUNIT_ASSERT_EQUAL(std::string(), whole.problem());
    CPPUNIT_ASSERT(check_stream({1, 2}, false).empty());
    CPPUNIT_ASSERT(!check_stream({1, 2}, true).empty());
    CPPUNIT_ASSERT(!check_stream({1, 3}, false).empty());
    CPPUNIT_ASSERT(!check_stream({1, 1}, false).empty());
    CPPUNIT_ASSERT(!check_stream({2}, false).empty());
  }

  void placeholders_and_sections_are_filled()
  {
    const json fields{{"a", {{"b", 1.5}}},
                      {"list", {"x", "y"}},
                      {"zones", {{"z1", "r1"}, {"z2", "r2"}}},
                      {"off", false}};
    CPPUNIT_ASSERT_EQUAL(std::string("1.5 x,y  y"),
                         fill("{{a.b}} {{list}} {{none}} {{list.1}}", fields));
    CPPUNIT_ASSERT_EQUAL(std::string("z1=r1,z2=r2"),
                         fill("{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", fields));
    CPPUNIT_ASSERT_EQUAL(std::string("v 1.5;"), fill("{{#a.b}}v {{.}};{{/a.b}}", fields));
    CPPUNIT_ASSERT_EQUAL(std::string("no"), fill("{{#off}}yes{{/off}}{{^off}}no{{/off}}", fields));
    CPPUNIT_ASSERT_EQUAL(std::string(R"(["x","y"])"), fill("{{list|json}}", fields));
  }

  void faulty_template_is_rejected()
  {
    CPPUNIT_ASSERT(!fill_template("{{#a}} never ends", {{"a", 1}}));
    CPPUNIT_ASSERT(!fill_template("{{a", {{"a", 1}}));
  }

  /// Guards against fields that the templates need and the emulator does not have.
  void settings_of_each_machine_are_accepted()
  {
    const deployment what;
    const layout where = make_layout(what, 64);
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, where.machines.size());
    const std::string entry = "role: entry\nhost: \"{{node_name}}\"\nip: \"{{ip}}\"\n"
                              "region: \"{{region}}\"\nfailure_domain: \"{{zone}}\"\n"
                              "domains: \"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}\"\n"
                              "seeds: \"{{seed_nodes}}\"\nstore: \"{{platform.address}}\"\n"
                              "stop_grace_s: {{bounds.grace_s}}\nlisten:\n"
                              "  callers: \"{{listen.front}}\"\n"
                              "  readiness: \"{{listen.ready_address}}\"\n"
                              "  lookup: \"{{listen.directory}}\"\n"
                              "  peer_port: \"{{internal_port_range}}\"\n";
    for (const machine& host : where.machines)
    {
      if (host.role == protocol::process_role::entry)
      {
        const auto settings =
            protocol::parse_node_settings(fill(entry, settings_fields(what, where, host)), "f");
        CPPUNIT_ASSERT_MESSAGE(settings ? "" : settings.error().message, settings.has_value());
        CPPUNIT_ASSERT_EQUAL(host.domain, settings->failure_domain);
        CPPUNIT_ASSERT(callers_address(host) == *settings->callers);
      }
    }
  }

  void faulty_deployment_is_named_with_line_and_key()
  {
    CPPUNIT_ASSERT(parse_deployment("entries: 6\nengine:\n  slots: 4\n", "f"));
    const auto unknown = parse_deployment("entries: 6\nengines: 3\nspeed: 1\n", "f");
    CPPUNIT_ASSERT_EQUAL(std::string("f:3: speed: unknown key"), unknown.error().message);
    const auto wrong = parse_deployment("entries: 0\n", "f");
    CPPUNIT_ASSERT(wrong.error().message.starts_with("f:1: entries: "));
    CPPUNIT_ASSERT(!parse_deployment("domains: a\n", "f"));
  }

  /// Guards against an emulator and an adapter that understand each other differently than the
  /// platform does: both must keep what the field names of the platform say.
  void configuration_is_read_as_it_was_written()
  {
    operator_config config{.version = 3, .keys_by_team = {{"t", {"k1", "k2"}}}};
    protocol::route route;
    route.name = "draft";
    route.host = "h";
    route.path_prefix = "/draft/";
    route.streaming = true;
    route.repeat = protocol::repeat_rule::idempotent;
    route.targets = {{"models", 1}};
    route.max_attempts = 2;
    config.routes.push_back(route);
    protocol::service models;
    models.name = "models";
    models.model = "m1";
    config.services.push_back(models);
    const engine_model engines;
    const auto read = platform::decode_operator_record("config", encode_config(config, engines));
    CPPUNIT_ASSERT(read.has_value());
    const auto& decoded = std::get<protocol::serving_config>(*read);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, decoded.version);
    CPPUNIT_ASSERT_EQUAL(std::string("draft"), decoded.routes.at(0).name);
    CPPUNIT_ASSERT(decoded.routes.at(0).streaming);
    CPPUNIT_ASSERT(decoded.routes.at(0).repeat == protocol::repeat_rule::idempotent);
    CPPUNIT_ASSERT_EQUAL(engines.slots, decoded.services.at("models").slots);
    CPPUNIT_ASSERT_EQUAL(std::string("m1"), decoded.services.at("models").model);
    CPPUNIT_ASSERT_EQUAL(std::string("t"), decoded.teams_by_key.at("k2").name);
  }

  void pipeline_is_read_as_it_was_written()
  {
    const std::vector<protocol::pipeline_stage> stages = {{"i-1", {"127.0.0.1", 5}, {0, 8}},
                                                          {"i-2", {"127.0.0.2", 5}, {8, 16}}};
    const auto read = decode_pipeline(platform::encode_pipeline(stages));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->size());
    CPPUNIT_ASSERT(read->at(1).address == stages[1].address);
    CPPUNIT_ASSERT(read->at(1).layers == stages[1].layers);
    CPPUNIT_ASSERT(!decode_pipeline("127.0.0.1:5"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(content_test, "Emulator.Content");

} // namespace
