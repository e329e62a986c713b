#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/BackendTable.h"
#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;
using gateway::backend_table;
using gateway::time_point;
using std::chrono::milliseconds;

const time_point t0 = time_point{} + std::chrono::hours(1);
const std::string engine_address = "10.0.0.1:80";

protocol::service make_service(unsigned chunks)
{
  protocol::engine_speed speed;
  speed.layers = 2;
  speed.chunks = chunks;
  return {.name = "pool", .slots = 4, .engine = speed, .model = "m"};
}

peers::load_message make_report(const peers::engine_mark& mark, bool proven,
                                std::uint64_t version = 2)
{
  peers::load_message load;
  load.engine = engine_address;
  load.weight_version = version;
  load.mark = mark;
  load.proven = proven;
  return load;
}

peers::load_message make_part(const std::string& engine, unsigned from, unsigned to, bool proven)
{
  peers::load_message load;
  load.engine = engine;
  load.part_version = 2;
  load.part_from = from;
  load.part_to = to;
  load.mark = {5, 1};
  load.proven = proven;
  return load;
}

/// What an entry uses of engines whose weights are loaded by agents.
class engine_reports_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(engine_reports_test);
  CPPUNIT_TEST(record_is_no_proof);
  CPPUNIT_TEST(only_proven_layers_are_used);
  CPPUNIT_TEST(pipeline_takes_only_proven_parts);
  CPPUNIT_TEST(proof_of_the_same_mark_is_remembered);
  CPPUNIT_TEST(proof_of_another_mark_does_not_count);
  CPPUNIT_TEST(old_report_is_not_used);
  CPPUNIT_TEST(report_that_was_made_before_the_last_one_is_ignored);
  CPPUNIT_TEST(report_of_an_earlier_start_is_not_used);
  CPPUNIT_TEST(choice_is_checked_again_before_it_is_sent);
  CPPUNIT_TEST(choice_of_a_removed_server_is_not_sent);
  CPPUNIT_TEST(services_without_pieces_need_no_proof);
  CPPUNIT_TEST_SUITE_END();

  backend_table m_table{1};

  void add_engine(const std::string& number)
  {
    m_table.put({.id = number,
                 .service = "pool",
                 .address = {"10.0.0." + number, 80},
                 .slots = 4,
                 .started_ms = 5,
                 .weight_version = 2},
                t0);
  }

  std::optional<gateway::backend_choice> choose(milliseconds after = milliseconds(0))
  {
    return m_table.choose({.service = "pool"}, t0 + after);
  }

public:
  void setUp() override
  {
    m_table.set_services({{"pool", make_service(6)}});
    add_engine("1");
  }

  /// Guards against requests to an engine whose agent is silent: nobody knows what it has loaded.
  void record_is_no_proof()
  {
    CPPUNIT_ASSERT(!choose());
  }

  void only_proven_layers_are_used()
  {
    m_table.update_load(make_report({5, 1}, false), t0);
    CPPUNIT_ASSERT(!choose());
    m_table.update_load(make_report({5, 2}, true), t0);
    const auto choice = choose();
    CPPUNIT_ASSERT(choice);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, choice->weight_version);
    m_table.update_load(make_report({5, 3}, false), t0);
    CPPUNIT_ASSERT(!choose());
  }

  void pipeline_takes_only_proven_parts()
  {
    add_engine("2");
    m_table.update_load(make_part("10.0.0.1:80", 0, 1, true), t0);
    m_table.update_load(make_part("10.0.0.2:80", 1, 2, false), t0);
    CPPUNIT_ASSERT(!choose());
    m_table.update_load(make_part("10.0.0.2:80", 1, 2, true), t0);
    const auto choice = choose();
    CPPUNIT_ASSERT(choice);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, choice->pipeline.size());
    CPPUNIT_ASSERT(m_table.holds_layers(*choice, t0));
    auto unproven = make_part("10.0.0.2:80", 1, 2, false);
    unproven.mark.orders = 2;
    m_table.update_load(unproven, t0);
    CPPUNIT_ASSERT(!m_table.holds_layers(*choice, t0));
    CPPUNIT_ASSERT(!choose());
  }

  /// Guards against engines out of service, and loaded again, after a restart of their agents.
  void proof_of_the_same_mark_is_remembered()
  {
    m_table.update_load(make_report({5, 1}, true), t0);
    const auto restarted = make_report({5, 1}, false);
    m_table.update_load(restarted, t0);
    CPPUNIT_ASSERT(choose());
    const auto proof = m_table.find_proof(restarted);
    CPPUNIT_ASSERT(proof);
    CPPUNIT_ASSERT_EQUAL(engine_address, proof->engine);
    CPPUNIT_ASSERT((proof->mark == peers::engine_mark{5, 1}));
  }

  /// Guards against layers that are used on the proof of what the engine held before.
  void proof_of_another_mark_does_not_count()
  {
    m_table.update_load(make_report({5, 1}, true), t0);
    for (const peers::engine_mark& mark :
         {peers::engine_mark{5, 2}, peers::engine_mark{5, 0}, peers::engine_mark{6, 1}})
    {
      const auto report = make_report(mark, false);
      m_table.update_load(report, t0);
      CPPUNIT_ASSERT(!choose());
      CPPUNIT_ASSERT(!m_table.find_proof(report));
    }
    auto other = make_report({5, 1}, false);
    other.engine = "10.0.0.9:80";
    CPPUNIT_ASSERT(!m_table.find_proof(other));
    // The start is not known, so that it may be another one.
    m_table.update_load(make_report({0, 1}, true), t0);
    CPPUNIT_ASSERT(!m_table.find_proof(make_report({0, 1}, false)));
  }

  /// Guards against requests to an engine whose agent is gone while an order to it is on its way.
  void old_report_is_not_used()
  {
    m_table.update_load(make_report({5, 1}, true), t0);
    CPPUNIT_ASSERT(choose(milliseconds(2400)));
    CPPUNIT_ASSERT(!choose(milliseconds(2600)));
    auto held = make_report({5, 1}, true);
    held.held_ms = 1000;
    m_table.update_load(held, t0 + milliseconds(3000));
    CPPUNIT_ASSERT(choose(milliseconds(4400)));
    CPPUNIT_ASSERT(!choose(milliseconds(4600)));
  }

  /// Guards against a datagram that was overtaken on its way and undoes what the newer one says.
  void report_that_was_made_before_the_last_one_is_ignored()
  {
    const auto report =
        [this](std::uint32_t made_ms, std::uint64_t orders, bool proven, milliseconds read)
    {
      auto load = make_report({5, orders}, proven);
      load.stamp = {.run = 7, .made_ms = made_ms};
      m_table.update_load(load, t0 + read);
    };
    report(5000, 1, true, milliseconds(0));
    report(5200, 2, false, milliseconds(200));
    report(5100, 1, true, milliseconds(210));
    CPPUNIT_ASSERT(!choose(milliseconds(210)));
  }

  void report_of_an_earlier_start_is_not_used()
  {
    m_table.update_load(make_report({4, 1}, true), t0);
    CPPUNIT_ASSERT(!choose());
    m_table.update_load(make_report({5, 1}, true), t0);
    CPPUNIT_ASSERT(choose());
    m_table.put({.id = "1",
                 .service = "pool",
                 .address = {"10.0.0.1", 80},
                 .slots = 4,
                 .started_ms = 6,
                 .weight_version = 2},
                t0);
    CPPUNIT_ASSERT(!choose());
    m_table.update_load(make_report({5, 1}, true), t0);
    CPPUNIT_ASSERT(!choose());
  }

  /// Guards against a request that waited for its connection while the engine loaded.
  void choice_is_checked_again_before_it_is_sent()
  {
    m_table.update_load(make_report({5, 1}, true), t0);
    const auto choice = choose();
    CPPUNIT_ASSERT(m_table.holds_layers(*choice, t0));
    CPPUNIT_ASSERT(!m_table.holds_layers(*choice, t0 + milliseconds(2600)));
    m_table.update_load(make_report({5, 2}, true, 3), t0);
    CPPUNIT_ASSERT(!m_table.holds_layers(*choice, t0));
    m_table.update_load(make_report({5, 3}, false), t0);
    CPPUNIT_ASSERT(!m_table.holds_layers(*choice, t0));
    m_table.update_load(make_report({5, 4}, true), t0);
    CPPUNIT_ASSERT(m_table.holds_layers(*choice, t0));
  }

  /// Guards against a request to an engine of which nothing is known any more.
  void choice_of_a_removed_server_is_not_sent()
  {
    m_table.update_load(make_report({5, 1}, true), t0);
    const auto choice = choose();
    m_table.remove("1", std::nullopt);
    CPPUNIT_ASSERT(!m_table.holds_layers(*choice, t0));
  }

  void services_without_pieces_need_no_proof()
  {
    m_table.set_services({{"pool", make_service(0)}});
    auto choice = choose();
    CPPUNIT_ASSERT(choice);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, choice->weight_version);
    m_table.update_load(make_report({5, 1}, false, 3), t0);
    choice = choose(milliseconds(5000));
    CPPUNIT_ASSERT(choice);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, choice->weight_version);
    CPPUNIT_ASSERT(m_table.holds_layers(*choice, t0 + milliseconds(5000)));
  }
};

/// Requests to such engines.
class proven_request_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(proven_request_test);
  CPPUNIT_TEST(request_names_the_version_although_none_was_named);
  CPPUNIT_TEST(request_is_not_sent_once_its_engine_is_unproven);
  CPPUNIT_TEST_SUITE_END();

  void report(std::uint64_t orders, bool proven)
  {
    auto load = make_report({5, orders}, proven, 1);
    load.engine = "127.0.0.1:" + std::to_string(m_servers[0]->port());
    m_gateway->update_load(load);
  }

public:
  void setUp() override
  {
    gateway_fixture::setUp();
    auto config = make_config();
    config.version = 2;
    config.services["desk"] = make_service(6);
    config.services["desk"].name = "desk";
    m_gateway->set_config(std::move(config));
    m_gateway->put_backend({.id = "s1",
                            .service = "desk",
                            .address = {"127.0.0.1", m_servers[0]->port()},
                            .slots = 4,
                            .started_ms = 5,
                            .weight_version = 1});
    report(0, true);
  }

  /// Guards against an engine that has loaded other layers since the last report of its agent: it
  /// refuses a request that names another version.
  void request_names_the_version_although_none_was_named()
  {
    script_all({{signed_response("r1", "x")}});
    send(request("/safe/a", "r1"));
    CPPUNIT_ASSERT_EQUAL(200U, wait_for_response().head.status);
    const auto* version = m_servers[0]->heads.front().find("X-Pollenyoke-Expected-Version");
    CPPUNIT_ASSERT(version != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *version);
  }

  void request_is_not_sent_once_its_engine_is_unproven()
  {
    bool struck = false;
    m_on_send = [this, &struck]
    {
      if (!struck)
      {
        struck = true;
        report(1, false);
      }
    };
    script_all({{signed_response("r1", "x")}});
    send(request("/safe/a", "r1", "X-Pollenyoke-Token-Count: 100,10\r\n"));
    CPPUNIT_ASSERT_EQUAL(503U, wait_for_response().head.status);
    CPPUNIT_ASSERT(struck);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, total_requests());
    report(2, true);
    send(request("/safe/a", "r2", "X-Pollenyoke-Token-Count: 100,10\r\n"));
    script_all({{signed_response("r2", "x")}});
    CPPUNIT_ASSERT_EQUAL(200U, wait_for_response().head.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, total_requests());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(engine_reports_test, "Gateway.EngineReports");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(proven_request_test, "Gateway.ProvenRequest");

} // namespace
