#include <map>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/BackendTable.h"
#include "Gateway/VersionRule.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;

const time_point t0 = time_point{} + std::chrono::hours(1);
constexpr unsigned layers = 16;

std::string address(const std::string& id)
{
  return "10.0.0." + id + ":80";
}

/// Engines of one service, some with all layers and some with a part of them.
class pipeline_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(pipeline_test);
  CPPUNIT_TEST(halves_serve_together_while_no_engine_can_alone);
  CPPUNIT_TEST(engines_with_all_layers_come_first);
  CPPUNIT_TEST(layers_are_contiguous_and_of_one_version);
  CPPUNIT_TEST(old_news_of_a_part_is_not_relied_on);
  CPPUNIT_TEST(part_of_an_older_version_is_not_used);
  CPPUNIT_TEST(record_with_a_part_of_the_layers_is_not_whole);
  CPPUNIT_TEST(follower_of_the_own_domain_is_preferred);
  CPPUNIT_TEST(blame_falls_on_the_engine_that_is_named);
  CPPUNIT_TEST_SUITE_END();

  backend_table m_table{1};

  static peers::load_message part(const std::string& id, std::uint64_t version, unsigned from,
                                  unsigned to)
  {
    peers::load_message load;
    load.engine = address(id);
    load.part_version = version;
    load.part_from = from;
    load.part_to = to;
    return load;
  }

  void add_engine(const std::string& id, const std::string& domain = "a")
  {
    m_table.put({.id = id,
                 .service = "pool",
                 .address = {"10.0.0." + id, 80},
                 .failure_domain = domain,
                 .slots = 4,
                 .started_ms = 1},
                t0);
  }

  void add_part(const std::string& id, unsigned from, unsigned to, std::uint64_t version = 2,
                const std::string& domain = "a")
  {
    add_engine(id, domain);
    m_table.take_load(part(id, version, from, to), t0);
  }

  void add_whole(const std::string& id, std::uint64_t version = 2)
  {
    add_engine(id);
    peers::load_message load;
    load.engine = address(id);
    load.weight_version = version;
    m_table.take_load(load, t0);
  }

public:
  void setUp() override
  {
    protocol::engine_speed speed;
    speed.layers = layers;
    m_table.set_services({{"pool", {.name = "pool", .slots = 4, .engine = speed, .model = "m"}}});
  }

  /// Guards against seconds without service after a loss of power, until each engine has all
  /// pieces of its weights.
  void halves_serve_together_while_no_engine_can_alone()
  {
    add_part("1", 0, 8);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0));
    add_part("2", 8, 16);
    const auto choice = m_table.choose({.service = "pool", .newest_version = 2}, t0);
    CPPUNIT_ASSERT(choice);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), choice->id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, choice->weight_version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, choice->pipeline.size());
    CPPUNIT_ASSERT((choice->pipeline[0].layers == protocol::layer_range{0, 8}));
    CPPUNIT_ASSERT((choice->pipeline[1].layers == protocol::layer_range{8, 16}));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), choice->pipeline[1].id);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2"), choice->pipeline[1].address.ip);
  }

  /// Guards against slow answers of new engines in a service that needs none of them yet.
  void engines_with_all_layers_come_first()
  {
    add_part("1", 0, 8);
    add_part("2", 8, 16);
    add_whole("3");
    for (int i = 0; i < 50; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(std::string("3"), m_table.choose({.service = "pool"}, t0)->id);
    }
    // One engine alone does not carry the load of many pairs.
    for (const std::string id : {"4", "5"})
    {
      add_part(id, 0, 8);
    }
    unsigned pairs = 0;
    for (int i = 0; i < 200; ++i)
    {
      m_table.add_request("pool", 20, t0);
      pairs += m_table.choose({.service = "pool"}, t0)->pipeline.empty() ? 0U : 1U;
    }
    CPPUNIT_ASSERT(pairs > 0);
  }

  /// Guards against tokens made with a layer missing, run twice, or of another version.
  void layers_are_contiguous_and_of_one_version()
  {
    add_part("1", 0, 8);
    add_part("2", 4, 16);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0));
    add_part("3", 8, 16, 3);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0));
    add_part("4", 8, 12);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0));
    add_part("5", 8, 16);
    for (int i = 0; i < 50; ++i)
    {
      const auto choice = m_table.choose({.service = "pool"}, t0);
      CPPUNIT_ASSERT(choice);
      CPPUNIT_ASSERT_EQUAL(std::string("5"), choice->pipeline.back().id);
    }
  }

  void old_news_of_a_part_is_not_relied_on()
  {
    add_part("1", 0, 8);
    add_part("2", 8, 16);
    CPPUNIT_ASSERT(m_table.choose({.service = "pool"}, t0 + milliseconds(200)));
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0 + milliseconds(300)));
    m_table.take_load(part("1", 2, 0, 8), t0 + milliseconds(300));
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0 + milliseconds(300)));
  }

  /// Guards against a part that its engine replaces by the newer version while a request is on its
  /// way.
  void part_of_an_older_version_is_not_used()
  {
    add_part("1", 0, 8);
    add_part("2", 8, 16);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool", .newest_version = 3}, t0));
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool", .minimum_version = 3}, t0));
    version_rule rule(milliseconds(8000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, rule.newest("m"));
    rule.name({"m", 3}, true, t0);
    rule.name({"m", 2}, true, t0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, rule.newest("m"));
  }

  /// Guards against requests for a whole engine that reach one with half of its layers, where no
  /// report of its agent has arrived.
  void record_with_a_part_of_the_layers_is_not_whole()
  {
    protocol::backend_entry record{.id = "1",
                                   .service = "pool",
                                   .address = {"10.0.0.1", 80},
                                   .slots = 4,
                                   .weight_version = 2,
                                   .layers = protocol::layer_range{0, 8}};
    m_table.put(record, t0);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0));
    record.layers = protocol::layer_range{0, layers};
    m_table.put(record, t0);
    CPPUNIT_ASSERT(m_table.choose({.service = "pool"}, t0));
  }

  void follower_of_the_own_domain_is_preferred()
  {
    add_part("1", 0, 8);
    add_part("2", 8, 16, 2, "b");
    add_part("3", 8, 16, 2, "a");
    for (int i = 0; i < 50; ++i)
    {
      const auto choice = m_table.choose({.service = "pool", .own_domain = "a"}, t0);
      CPPUNIT_ASSERT_EQUAL(std::string("3"), choice->pipeline.back().id);
    }
  }

  /// Guards against a sound engine that is put aside for the failures of the one behind it.
  void blame_falls_on_the_engine_that_is_named()
  {
    add_part("1", 0, 8);
    add_part("2", 8, 16);
    add_part("3", 8, 16);
    for (const auto& named : {std::string("2"), address("2")})
    {
      const auto choice = m_table.choose({.service = "pool", .excluded = {"3"}}, t0);
      m_table.begin_attempt(*choice, t0);
      m_table.end_attempt(*choice, attempt_health::misdirected, t0, named);
      CPPUNIT_ASSERT(!m_table.choose({.service = "pool", .excluded = {"3"}}, t0));
      CPPUNIT_ASSERT(m_table.choose({.service = "pool"}, t0));
      m_table = backend_table(1);
      setUp();
      add_part("1", 0, 8);
      add_part("2", 8, 16);
      add_part("3", 8, 16);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(pipeline_test, "Gateway.Pipeline");

} // namespace
