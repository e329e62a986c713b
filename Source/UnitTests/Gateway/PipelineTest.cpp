#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/BackendTable.h"
#include "Gateway/VersionPolicy.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;
using std::chrono::seconds;

const time_point t0 = time_point{} + std::chrono::hours(1);
constexpr unsigned layers = 16;

std::string address(const std::string& id)
{
  return "10.0.0." + id + ":80";
}

/// Engines of one service that hold all layers or some of them.
class pipeline_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(pipeline_test);
  CPPUNIT_TEST(partial_engines_form_a_pipeline);
  CPPUNIT_TEST(complete_engines_are_preferred);
  CPPUNIT_TEST(layers_are_contiguous_and_of_one_version);
  CPPUNIT_TEST(outdated_report_of_a_partial_engine_is_ignored);
  CPPUNIT_TEST(delayed_report_of_a_partial_engine_is_ignored);
  CPPUNIT_TEST(pipeline_is_checked_again_before_it_is_used);
  CPPUNIT_TEST(partial_engine_with_an_older_version_is_not_used);
  CPPUNIT_TEST(record_with_some_layers_is_not_complete);
  CPPUNIT_TEST(follower_in_the_own_domain_is_preferred);
  CPPUNIT_TEST(failure_counts_against_the_named_engine);
  CPPUNIT_TEST_SUITE_END();

  backend_table m_table{1};

  static peers::load_message partial_load(const std::string& id, std::uint64_t version,
                                          unsigned from, unsigned to)
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

  void add_partial_engine(const std::string& id, unsigned from, unsigned to,
                          std::uint64_t version = 2, const std::string& domain = "a")
  {
    add_engine(id, domain);
    m_table.update_load(partial_load(id, version, from, to), t0);
  }

  void add_complete_engine(const std::string& id, std::uint64_t version = 2)
  {
    add_engine(id);
    peers::load_message load;
    load.engine = address(id);
    load.weight_version = version;
    m_table.update_load(load, t0);
  }

public:
  void setUp() override
  {
    protocol::engine_speed speed;
    speed.layers = layers;
    m_table.set_services({{"pool", {.name = "pool", .slots = 4, .engine = speed, .model = "m"}}});
  }

  /// Guards against an outage of several seconds after a power loss, until each engine has fetched
  /// all pieces of its weights.
  void partial_engines_form_a_pipeline()
  {
    add_partial_engine("1", 0, 8);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0));
    add_partial_engine("2", 8, 16);
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

  /// Guards against slow pipeline responses in a service with enough complete engines.
  void complete_engines_are_preferred()
  {
    add_partial_engine("1", 0, 8);
    add_partial_engine("2", 8, 16);
    add_complete_engine("3");
    for (int i = 0; i < 50; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(std::string("3"), m_table.choose({.service = "pool"}, t0)->id);
    }
    // A single complete engine cannot carry the load of many pairs.
    for (const std::string id : {"4", "5"})
    {
      add_partial_engine(id, 0, 8);
    }
    unsigned pairs = 0;
    for (int i = 0; i < 200; ++i)
    {
      m_table.add_request("pool", 20, t0);
      pairs += m_table.choose({.service = "pool"}, t0)->pipeline.empty() ? 0U : 1U;
    }
    CPPUNIT_ASSERT(pairs > 0);
  }

  /// Guards against tokens computed with a missing layer, a layer run twice or layers of different
  /// versions.
  void layers_are_contiguous_and_of_one_version()
  {
    add_partial_engine("1", 0, 8);
    add_partial_engine("2", 4, 16);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0));
    add_partial_engine("3", 8, 16, 3);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0));
    add_partial_engine("4", 8, 12);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0));
    add_partial_engine("5", 8, 16);
    for (int i = 0; i < 50; ++i)
    {
      const auto choice = m_table.choose({.service = "pool"}, t0);
      CPPUNIT_ASSERT(choice);
      CPPUNIT_ASSERT_EQUAL(std::string("5"), choice->pipeline.back().id);
    }
  }

  void outdated_report_of_a_partial_engine_is_ignored()
  {
    add_partial_engine("1", 0, 8);
    add_partial_engine("2", 8, 16);
    CPPUNIT_ASSERT(m_table.choose({.service = "pool"}, t0 + milliseconds(200)));
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0 + milliseconds(300)));
    m_table.update_load(partial_load("1", 2, 0, 8), t0 + milliseconds(300));
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0 + milliseconds(300)));
  }

  /// Guards against a pipeline of two versions, from reports that waited while this process or one
  /// that forwards them stood still, or on a slow link.
  void delayed_report_of_a_partial_engine_is_ignored()
  {
    const auto report = [this](std::uint32_t made_ms, milliseconds read)
    {
      for (const auto& [id, from, to] : {std::tuple("1", 0U, 8U), std::tuple("2", 8U, 16U)})
      {
        auto load = partial_load(id, 2, from, to);
        load.stamp = {.run = 7, .made_ms = made_ms};
        m_table.update_load(load, t0 + read);
      }
    };
    add_engine("1");
    add_engine("2");
    report(5000, milliseconds(0));
    CPPUNIT_ASSERT(m_table.choose({.service = "pool"}, t0));
    // Made 0.1 s later, and read 4 s later.
    report(5100, milliseconds(4100));
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool"}, t0 + milliseconds(4100)));
    report(9090, milliseconds(4101));
    CPPUNIT_ASSERT(m_table.choose({.service = "pool"}, t0 + milliseconds(4101)));
  }

  /// Guards against a request that is sent on a pipeline whose engine has loaded other weights
  /// since it was chosen.
  void pipeline_is_checked_again_before_it_is_used()
  {
    add_partial_engine("1", 0, 8);
    add_partial_engine("2", 8, 16);
    const auto choice = m_table.choose({.service = "pool"}, t0);
    CPPUNIT_ASSERT(m_table.holds_layers(*choice, t0));
    CPPUNIT_ASSERT(!m_table.holds_layers(*choice, t0 + milliseconds(300)));
    m_table.update_load(partial_load("2", 3, 8, 16), t0);
    CPPUNIT_ASSERT(!m_table.holds_layers(*choice, t0));
    auto loading = partial_load("2", 2, 8, 16);
    loading.loading = true;
    m_table.update_load(loading, t0);
    CPPUNIT_ASSERT(!m_table.holds_layers(*choice, t0));
    add_complete_engine("3");
    m_table.update_load(loading, t0 + milliseconds(300));
    const auto whole = m_table.choose({.service = "pool"}, t0 + milliseconds(300));
    CPPUNIT_ASSERT(m_table.holds_layers(*whole, t0 + seconds(3)));
  }

  /// Guards against layers that their engine replaces by a newer version while a request is in
  /// transit.
  void partial_engine_with_an_older_version_is_not_used()
  {
    add_partial_engine("1", 0, 8);
    add_partial_engine("2", 8, 16);
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool", .newest_version = 3}, t0));
    CPPUNIT_ASSERT(!m_table.choose({.service = "pool", .minimum_version = 3}, t0));
    version_policy policy(milliseconds(8000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, policy.newest("m"));
    policy.add_version({"m", 3}, true, t0);
    policy.add_version({"m", 2}, true, t0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, policy.newest("m"));
  }

  /// Guards against sending whole requests to an engine that holds only half of its layers, before
  /// a load report of its agent has arrived.
  void record_with_some_layers_is_not_complete()
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

  void follower_in_the_own_domain_is_preferred()
  {
    add_partial_engine("1", 0, 8);
    add_partial_engine("2", 8, 16, 2, "b");
    add_partial_engine("3", 8, 16, 2, "a");
    for (int i = 0; i < 50; ++i)
    {
      const auto choice = m_table.choose({.service = "pool", .own_domain = "a"}, t0);
      CPPUNIT_ASSERT_EQUAL(std::string("3"), choice->pipeline.back().id);
    }
  }

  /// Guards against ejecting a healthy engine for the failures of the next one in the pipeline.
  void failure_counts_against_the_named_engine()
  {
    add_partial_engine("1", 0, 8);
    add_partial_engine("2", 8, 16);
    add_partial_engine("3", 8, 16);
    for (const auto& named : {std::string("2"), address("2")})
    {
      const auto choice = m_table.choose({.service = "pool", .excluded = {"3"}}, t0);
      m_table.begin_attempt(*choice, t0);
      m_table.end_attempt(*choice, attempt_health::misdirected, t0, named);
      CPPUNIT_ASSERT(!m_table.choose({.service = "pool", .excluded = {"3"}}, t0));
      CPPUNIT_ASSERT(m_table.choose({.service = "pool"}, t0));
      m_table = backend_table(1);
      setUp();
      add_partial_engine("1", 0, 8);
      add_partial_engine("2", 8, 16);
      add_partial_engine("3", 8, 16);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(pipeline_test, "Gateway.Pipeline");

} // namespace
