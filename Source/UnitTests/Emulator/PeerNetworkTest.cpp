#include <array>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/HttpListener.h"
#include "Emulator/PeerNetwork.h"
#include "UnitTests/RunUntil.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::emulator;
using std::chrono::milliseconds;

class peer_network_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(peer_network_test);
  CPPUNIT_TEST(datagrams_come_from_the_machine_that_sent_them);
  CPPUNIT_TEST(open_connections_go_silent_and_new_ones_work);
  CPPUNIT_TEST_SUITE_END();

  async_io::event_loop m_loop;
  std::vector<machine> m_machines;
  std::unique_ptr<peer_network> m_network;

public:
  void setUp() override
  {
    // Several runs may go on at once.
    const auto first_port = static_cast<std::uint16_t>(24100 + ::getpid() % 1000 * 3);
    for (std::uint16_t i = 0; i < 3; ++i)
    {
      machine host;
      host.name = "m" + std::to_string(i);
      host.ip = "127.61.1." + std::to_string(1 + i);
      host.peer_port = static_cast<std::uint16_t>(first_port + i);
      m_machines.push_back(host);
    }
    m_network = std::make_unique<peer_network>(m_loop);
    CPPUNIT_ASSERT(m_network->connect(m_machines));
  }

  void tearDown() override
  {
    m_network = nullptr;
    m_machines.clear();
  }

  void datagrams_come_from_the_machine_that_sent_them()
  {
    const machine& from = m_machines[0];
    const machine& to = m_machines[1];
    std::string seen;
    async_io::udp_socket sender(
        m_loop, [&seen](std::string_view data, const transport::endpoint& source)
        { seen += std::string(data) + " from " + transport::to_string(source) + ";"; });
    async_io::udp_socket receiver(m_loop,
                                  [&](std::string_view data, const transport::endpoint& source)
                                  {
                                    seen += std::string(data) + " from " +
                                            transport::to_string(source) + ";";
                                    receiver.send("b", source);
                                  });
    CPPUNIT_ASSERT(sender.bind({from.ip, from.peer_port}));
    CPPUNIT_ASSERT(receiver.bind({to.ip, to.peer_port}));
    sender.send("a", {to.ip, from.peer_port});
    const std::string expected = "a from " + transport::to_string({from.ip, to.peer_port}) +
                                 ";b from " + transport::to_string({to.ip, from.peer_port}) + ";";
    test::run_until(m_loop, [&] { return seen.size() >= expected.size(); });
    CPPUNIT_ASSERT_EQUAL(expected, seen);
  }

  void open_connections_go_silent_and_new_ones_work()
  {
    const machine& from = m_machines[2];
    const machine& to = m_machines[0];
    async_io::http_listener server(
        m_loop,
        [](const async_io::message_head&, const async_io::http_listener::responder& respond) {
          respond({200, "text/plain", "body"});
        });
    CPPUNIT_ASSERT(server.listen({to.ip, to.peer_port}));
    async_io::http_caller caller(m_loop);
    std::vector<bool> outcomes;
    const auto call = [&](bool new_connection, milliseconds timeout)
    {
      const std::size_t before = outcomes.size();
      caller.call({.address = {to.ip, from.peer_port},
                   .target = "/",
                   .timeout = timeout,
                   .new_connection = new_connection},
                  [&outcomes](const result<async_io::http_response>& got)
                  { outcomes.push_back(got.has_value()); });
      test::run_until(m_loop, [&] { return outcomes.size() > before; });
    };
    constexpr milliseconds patience{20000};
    call(false, patience);
    m_network->silence_open_connections();
    call(false, milliseconds(300));
    call(true, patience);
    CPPUNIT_ASSERT(outcomes == (std::vector<bool>{true, false, true}));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(peer_network_test, "Emulator.PeerNetwork");

} // namespace
