#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/BackendTable.h"
#include "Peers/LoadRelay.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point t0 = time_point{} + std::chrono::hours(1);

/// What entries take for a proof of an engine's layers.
class layer_proof_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(layer_proof_test);
  CPPUNIT_TEST(late_report_of_an_earlier_run_is_ignored);
  CPPUNIT_TEST(late_report_of_an_earlier_start_is_ignored);
  CPPUNIT_TEST(first_report_of_a_run_that_waited_is_not_fresh);
  CPPUNIT_TEST(removed_server_holds_no_layers);
  CPPUNIT_TEST(batch_of_loads_fits_into_a_datagram);
  CPPUNIT_TEST_SUITE_END();

  backend_table m_table{1};

  static peers::load_message load(std::uint16_t run, std::uint32_t made_ms, std::uint64_t orders,
                                  bool proven, std::uint64_t started = 100)
  {
    peers::load_message out;
    out.engine = "10.0.0.1:80";
    out.weight_version = 2;
    out.mark = {started, orders};
    out.proven = proven;
    out.stamp = {.run = run, .made_ms = made_ms};
    return out;
  }

  bool is_chosen(time_point now)
  {
    return m_table.choose({.service = "pool"}, now).has_value();
  }

public:
  void setUp() override
  {
    protocol::engine_speed speed;
    speed.layers = 16;
    speed.chunks = 32;
    m_table.set_services({{"pool", {.name = "pool", .slots = 4, .engine = speed, .model = "m"}}});
    m_table.put(
        {.id = "1", .service = "pool", .address = {"10.0.0.1", 80}, .slots = 4, .started_ms = 100},
        t0);
  }

  /// The agent has restarted since, and has found layers without a proof.
  void late_report_of_an_earlier_run_is_ignored()
  {
    m_table.update_load(load(7, 1000, 3, true), t0);
    CPPUNIT_ASSERT(is_chosen(t0));
    m_table.update_load(load(8, 5000, 4, false), t0 + seconds(4));
    CPPUNIT_ASSERT(!is_chosen(t0 + seconds(4)));
    m_table.update_load(load(7, 1050, 3, true), t0 + milliseconds(4050));
    CPPUNIT_ASSERT(!is_chosen(t0 + milliseconds(4050)));
  }

  /// The engine and its agent have restarted since; the store still has the record of before.
  void late_report_of_an_earlier_start_is_ignored()
  {
    m_table.update_load(load(7, 1000, 3, true), t0);
    m_table.update_load(load(8, 5000, 1, false, 4000), t0 + seconds(4));
    CPPUNIT_ASSERT(!is_chosen(t0 + seconds(4)));
    m_table.update_load(load(7, 1050, 3, true), t0 + milliseconds(4050));
    CPPUNIT_ASSERT(!is_chosen(t0 + milliseconds(4050)));
  }

  /// The report waited while this process stood still; both runs are of one host and boot.
  void first_report_of_a_run_that_waited_is_not_fresh()
  {
    m_table.update_load(load(7, 1000, 3, true), t0);
    // Made 1 s after the report before and read 9 s after it.
    m_table.update_load(load(8, 2000, 3, true), t0 + seconds(9));
    CPPUNIT_ASSERT(!is_chosen(t0 + seconds(9)));
  }

  void removed_server_holds_no_layers()
  {
    m_table.update_load(load(7, 1000, 3, true), t0);
    const auto choice = m_table.choose({.service = "pool"}, t0);
    CPPUNIT_ASSERT(choice);
    m_table.remove("1", std::nullopt);
    CPPUNIT_ASSERT(!m_table.holds_layers(*choice, t0));
  }

  /// Guards against batches that are sent as fragments.
  void batch_of_loads_fits_into_a_datagram()
  {
    peers::load_batch batch;
    auto report = load(7, 1000, 3, true);
    report.engine = "100.100.100.100:65535";
    batch.loads.assign(peers::max_loads_per_batch, report);
    constexpr std::size_t udp_payload_of_mtu = 1472;
    const std::size_t size = peers::encode_message(batch).size();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(size), size <= udp_payload_of_mtu);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(layer_proof_test, "Gateway.LayerProof");

} // namespace
