#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "platform/Decode.h"
#include "platform/EngineCalls.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::platform;

const std::string config_json = R"({"version":7,"routes":[
{"name":"r1","host":"a.example","path_prefix":"/x/","kind":"streaming","timeout_ms":6000,
 "target_latency_ms":400,"priority":1,"service":"pool","max_attempts":2,"public":false,
 "sticky":true,"stream_resume":true,"target_gap_ms":400},
{"name":"r2","host":"b.example","path_prefix":"/y/","kind":"non_idempotent","timeout_ms":30000,
 "target_latency_ms":100,"priority":2,"traffic_split":[{"service":"pool","weight":90},
 {"service":"desk","weight":10}],"max_attempts":1,"public":true}],
"services":[{"name":"pool","health_path":"/health","max_connections":831,"engine":{"slots":16,
 "stride":5,"models":[{"name":"m1","pace":1.0}],"step_ms":9.27,"per_seq_ms":0.02,
 "read_per_s":20700.0,"pairs_per_m":1.18,"usual":{"prompt":979,"answer":92},"layers":16,
 "chunks":48,"chunk_bytes":49152}},
 {"name":"store","origin":"172.20.0.3:8006","zone":"z","link_mbps":15.0,"max_connections":107}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
 "idle_timeout_ms":15000},
"tenants":[{"name":"blue","api_keys":["k1","k2"],"priority":1}]})";

const std::string backend_json = R"({"service":"pool","address":"10.128.0.9:8080","zone":"z",
"version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"stage":"colocated",
"models":[{"name":"m1","version":3,"adapters":[]}],"sequence":4,"born":1700000000000})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
  const auto at = text.find(from);
  CPPUNIT_ASSERT(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

class decode_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(decode_test);
  CPPUNIT_TEST(configuration);
  CPPUNIT_TEST(allowed_regions);
  CPPUNIT_TEST(priorities);
  CPPUNIT_TEST(evacuations);
  CPPUNIT_TEST(cold_servers);
  CPPUNIT_TEST(backend_server);
  CPPUNIT_TEST(records_of_other_writers_are_errors);
  CPPUNIT_TEST(named_version_and_other_keys);
  CPPUNIT_TEST(engine_report);
  CPPUNIT_TEST(engines_of_a_pipeline_and_their_orders);
  CPPUNIT_TEST(manifest_and_staged_pieces);
  CPPUNIT_TEST(labels_of_a_request);
  CPPUNIT_TEST(statements_of_servers);
  CPPUNIT_TEST(notices_of_servers);
  CPPUNIT_TEST(limits_of_servers);
  CPPUNIT_TEST_SUITE_END();

public:
  void configuration()
  {
    const auto record = decode_operator_record("config", config_json);
    CPPUNIT_ASSERT(record);
    const auto& config = std::get<protocol::serving_config>(*record);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, config.version);
    CPPUNIT_ASSERT(config.routes[0].streaming);
    CPPUNIT_ASSERT(config.routes[0].repeat == protocol::repeat_rule::idempotent);
    CPPUNIT_ASSERT_EQUAL(2U, config.routes[0].max_attempts);
    CPPUNIT_ASSERT(config.routes[1].repeat == protocol::repeat_rule::once);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, config.routes[1].targets.size());
    CPPUNIT_ASSERT(config.routes[1].open);
    const auto& pool = config.services.at("pool");
    CPPUNIT_ASSERT_EQUAL(16U, pool.slots);
    CPPUNIT_ASSERT_EQUAL(std::string("m1"), pool.model);
    CPPUNIT_ASSERT_EQUAL(48U, pool.engine->chunks);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{8006}, config.services.at("store").origin->port);
    CPPUNIT_ASSERT_EQUAL(std::string("blue"), config.teams_by_key.at("k2").name);
    // A stream that may not be resumed runs at most once.
    const auto once = decode_operator_record(
        "config", replaced(config_json, "\"stream_resume\":true", "\"stream_resume\":false"));
    CPPUNIT_ASSERT(std::get<protocol::serving_config>(*once).routes[0].repeat ==
                   protocol::repeat_rule::once);
  }

  /// Guards against a restriction that is lost because it cannot be read: the last good
  /// configuration stays in force instead.
  void allowed_regions()
  {
    const auto with_regions = [](const std::string& route, const std::string& team)
    {
      auto text = replaced(config_json, "\"sticky\":true", "\"allowed_regions\":" + route);
      return decode_operator_record("config",
                                    replaced(text, "\"priority\":1}]}",
                                             "\"priority\":1,\"allowed_regions\":" + team + "}]}"));
    };
    const auto record = with_regions(R"(["north","west"])", R"(["north"])");
    CPPUNIT_ASSERT(record);
    const auto& config = std::get<protocol::serving_config>(*record);
    CPPUNIT_ASSERT((config.routes[0].allowed_regions == std::set<std::string>{"north", "west"}));
    CPPUNIT_ASSERT(config.routes[1].allowed_regions.empty());
    CPPUNIT_ASSERT(config.teams_by_key.at("k1").allowed_regions == std::set<std::string>{"north"});
    CPPUNIT_ASSERT(with_regions("[]", "[]"));
    for (const std::string unreadable : {"\"north\"", "7", "[7]", "null", "{}"})
    {
      CPPUNIT_ASSERT_MESSAGE(unreadable, !with_regions(unreadable, "[]"));
      CPPUNIT_ASSERT_MESSAGE(unreadable, !with_regions("[]", unreadable));
    }
  }

  /// Guards against a rate that is taken for none because it cannot be read.
  void cold_servers()
  {
    const auto with_rate = [](const std::string& fields)
    {
      return decode_operator_record("config", replaced(config_json, "\"max_connections\":831",
                                                       "\"max_connections\":831," + fields));
    };
    const auto record = with_rate(R"("cold_start_s":3.5,"cold_per_s":17.0)");
    const auto& pool = std::get<protocol::serving_config>(*record).services.at("pool");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3500}, std::int64_t{pool.cold_start.count()});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(17, pool.cold_per_second, 0);
    for (const std::string unreadable : {R"("cold_per_s":"17")", R"("cold_per_s":-1)",
                                         R"("cold_start_s":[])", R"("cold_start_s":-2)"})
    {
      CPPUNIT_ASSERT_MESSAGE(unreadable, !with_rate(unreadable));
    }
    const auto cold = decode_backend(
        "i-1", replaced(backend_json, "\"cold_remaining_ms\":0", "\"cold_remaining_ms\":1200.5"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1200}, std::int64_t{cold->cold_remaining.count()});
    async_io::message_head answer;
    answer.status = 200;
    answer.fields = {{"X-Pollenyoke-Cold-Remaining", "800"}};
    CPPUNIT_ASSERT_EQUAL(std::int64_t{800},
                         std::int64_t{decode_notice(answer).cold_remaining->count()});
    answer.fields = {{"X-Pollenyoke-Cold-Remaining", "soon"}};
    CPPUNIT_ASSERT(!decode_notice(answer).cold_remaining);
  }

  /// Guards against a priority that is taken for another one because it cannot be read.
  void priorities()
  {
    for (const std::string unreadable : {"-1", "1.5", "\"0\"", "null"})
    {
      CPPUNIT_ASSERT_MESSAGE(
          unreadable, !decode_operator_record("config", replaced(config_json, "\"priority\":2",
                                                                 "\"priority\":" + unreadable)));
      CPPUNIT_ASSERT_MESSAGE(
          unreadable,
          !decode_operator_record("config", replaced(config_json, "\"priority\":1}]}",
                                                     "\"priority\":" + unreadable + "}]}")));
    }
  }

  void evacuations()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("z-1"), *decode_evacuated_domain("evacuate/z-1"));
    CPPUNIT_ASSERT(!decode_evacuated_domain("config"));
    CPPUNIT_ASSERT(!decode_evacuated_domain("version/evacuate/"));
  }

  void backend_server()
  {
    const auto entry = decode_backend("i-1", backend_json);
    CPPUNIT_ASSERT(entry);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), entry->id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, entry->weight_version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1700000000000}, entry->started_ms);
    CPPUNIT_ASSERT(!entry->draining);
    CPPUNIT_ASSERT(
        decode_backend("i-1", replaced(backend_json, "\"ready\"", "\"draining\""))->draining);
  }

  /// Guards against requests sent to what a faulty writer names.
  void records_of_other_writers_are_errors()
  {
    const std::vector<std::pair<std::string, std::string>> changes = {
        {"\"service\":\"pool\",", ""},
        {"\"10.128.0.9:8080\"", "\"nowhere\""},
        {"\"10.128.0.9:8080\"", "17"},
        {"\"slots\":16", "\"slots\":\"16\""},
        {"\"state\":\"ready\"", "\"state\":\"odd\""},
        {"\"sequence\":4", "\"sequence\":null"},
        {"\"version\":\"v1\"", "\"version\":1"},
        {"\"cold_remaining_ms\":0,", ""}};
    for (const auto& [from, to] : changes)
    {
      CPPUNIT_ASSERT_MESSAGE(to, !decode_backend("i-1", replaced(backend_json, from, to)));
    }
    CPPUNIT_ASSERT(!decode_backend("i-1", "\xff\x00 not JSON"));
    CPPUNIT_ASSERT(!decode_backend("i-1", "[]"));
    CPPUNIT_ASSERT(!decode_operator_record("config", "{\"version\":1}"));
  }

  void named_version_and_other_keys()
  {
    const auto version = decode_operator_record("version/m1", R"({"model":"m1","version":4})");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, std::get<protocol::named_version>(*version).version);
    CPPUNIT_ASSERT(std::holds_alternative<other_record>(*decode_operator_record("new", "bytes")));
  }

  void engine_report()
  {
    const auto report = decode_engine_report(
        R"({"stage":"colocated","models":[{"name":"m1","version":2,"adapters":[]}],"busy":true,
        "sequence":5,"waiting":1,"running":12,"kv_used":41000,"kv_total":90000,"handles":0,
        "pace":1.5,"born":9,"layers":{"from":0,"to":16,"version":2}})");
    CPPUNIT_ASSERT(report);
    CPPUNIT_ASSERT(report->busy);
    CPPUNIT_ASSERT(protocol::holds_all(report->layers, 16));
    CPPUNIT_ASSERT(!protocol::holds_all(report->layers, 17));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, report->orders);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report->weight_version);
    CPPUNIT_ASSERT_EQUAL(12U, report->running);
    const auto empty = decode_engine_report(R"({"models":[],"busy":false,"sequence":0})");
    CPPUNIT_ASSERT(empty);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, empty->weight_version);
    // Guards against an engine with a part of the layers that is taken for a whole one.
    const auto part = decode_engine_report(
        R"({"models":[{"name":"m1","version":2}],"layers":{"from":0,"to":8,"version":3}})");
    CPPUNIT_ASSERT(!protocol::holds_all(part->layers, 16));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, part->weight_version);
    const auto layerless = decode_engine_report(
        R"({"models":[{"name":"m1","version":2}],"layers":{"from":0,"to":0,"version":2}})");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, layerless->weight_version);
    CPPUNIT_ASSERT(!decode_engine_report("{\"models\":7}"));
  }

  void engines_of_a_pipeline_and_their_orders()
  {
    const std::vector<protocol::pipeline_stage> stages = {{"a", {"10.0.0.1", 8080}, {0, 8}},
                                                          {"b", {"10.0.0.2", 8081}, {8, 16}}};
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:8080=0-8,10.0.0.2:8081=8-16"),
                         encode_pipeline(stages));
    const auto part =
        start_call({"10.0.0.1", 8080}, "m1", 2, protocol::layer_range{8, 16}, 3, running_work::cut);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"expected":3,"from":8,"mode":"truncate","model":"m1",)"
                                     R"("operation":"start","to":16,"version":2})"),
                         part.body);
    const auto all = start_call({"10.0.0.1", 8080}, "m1", 2, std::nullopt, 3, running_work::finish);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"expected":3,"mode":"pending","model":"m1",)"
                                     R"("operation":"start","version":2})"),
                         all.body);
  }

  void manifest_and_staged_pieces()
  {
    const auto manifest = decode_manifest(
        R"({"model":"m1","version":2,"chunk_bytes":32768,"layers":16,"digests":["9f","07"]})");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, manifest->digests.size());
    CPPUNIT_ASSERT(!decode_manifest("{}"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decode_staged(R"({"held":[0,1,5]})")->size());
  }

  void labels_of_a_request()
  {
    async_io::message_head head;
    head.fields = {{"x-pollenyoke-request-id", "r1"},
                   {"X-Pollenyoke-Request-Deadline", "600"},
                   {"Api-Key", "k1"},
                   {"X-Pollenyoke-Token-Count", "1460,80"}};
    const auto labels = decode_labels(head);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), labels.id);
    CPPUNIT_ASSERT(labels.time_left == std::chrono::milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(1460U, labels.prompt_tokens);
    CPPUNIT_ASSERT_EQUAL(80U, labels.answer_tokens);
    head.fields = {{"X-Pollenyoke-Request-Deadline", "-5"}, {"X-Pollenyoke-Token-Count", "x"}};
    CPPUNIT_ASSERT(!decode_labels(head).time_left);
  }

  void statements_of_servers()
  {
    async_io::message_head answer;
    answer.status = 503;
    CPPUNIT_ASSERT(!says_not_executed(answer));
    answer.fields = {{"X-Pollenyoke-Not-Executed", "1"}};
    CPPUNIT_ASSERT(says_not_executed(answer));
    answer.fields.clear();
    answer.status = 421;
    CPPUNIT_ASSERT(says_not_executed(answer));
  }

  void limits_of_servers()
  {
    const auto notice = [](const std::vector<std::string>& values)
    {
      async_io::message_head answer;
      answer.status = 200;
      for (const std::string& value : values)
      {
        answer.fields.push_back({"server-limit", value});
      }
      return decode_notice(answer);
    };
    CPPUNIT_ASSERT(notice({"1.7"}).limit == 1.7);
    CPPUNIT_ASSERT(notice({"0"}).limit == 0.0);
    CPPUNIT_ASSERT(!notice({}).names_limit());
    CPPUNIT_ASSERT(notice({"3", "2", "4"}).limit == 2.0);
    CPPUNIT_ASSERT(notice({"soon", "2"}).limit == 2.0);
    CPPUNIT_ASSERT(*notice({std::string(40, '9')}).limit > 1e30);
    for (const char* value : {"-1", "few", "1e3", "", "nan", "inf", "1,2", "0x10", "1 a second"})
    {
      CPPUNIT_ASSERT(!notice({value}).limit);
      CPPUNIT_ASSERT(notice({value}).names_limit());
    }
  }

  void notices_of_servers()
  {
    const auto notice = [](unsigned status, const std::string& name, const std::string& value)
    {
      async_io::message_head answer;
      answer.status = status;
      answer.fields = {{name, value}};
      return decode_notice(answer);
    };
    CPPUNIT_ASSERT(notice(200, "server-leaving", "1").leaving);
    CPPUNIT_ASSERT(!notice(200, "Server-Leaving", "0").leaving);
    CPPUNIT_ASSERT(!notice(200, "Server-Leaving", "11").leaving);
    CPPUNIT_ASSERT(notice(503, "Retry-After", "1.25").pause == std::chrono::milliseconds(1250));
    CPPUNIT_ASSERT(notice(503, "Retry-After", "0").pause == std::chrono::milliseconds(0));
    CPPUNIT_ASSERT(!notice(429, "Retry-After", "1").pause);
    // A value that no integer of milliseconds holds.
    CPPUNIT_ASSERT(*notice(503, "Retry-After", std::string(40, '9')).pause >
                   std::chrono::hours(24));
    for (const std::string value : {"-1", "+1", "1 ", "0x1", "1e2", "nan", "inf", "", "soon"})
    {
      CPPUNIT_ASSERT(!notice(503, "Retry-After", value).pause);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("soon"), notice(503, "Retry-After", "soon").unreadable_pause);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(decode_test, "Platform.Decode");

} // namespace
