#include <memory>
#include <optional>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/HttpListener.h"
#include "Node/PeerService.h"
#include "UnitTests/RunUntil.h"
#include "platform/StoreClient.h"

namespace
{

using namespace pollenyoke;
using std::chrono::milliseconds;

const std::string entry_ip = "127.77.2.100";
const std::string agent_ip = "127.77.2.101";

/// A process without a store.
struct peer_process
{
  peer_process(async_io::event_loop& loop, const protocol::node_settings& own,
               node::peer_handlers handlers)
      : settings(own), caller(loop), store(caller, settings.store),
        peers(loop, caller, store, settings, std::move(handlers))
  {
    CPPUNIT_ASSERT(peers.start());
  }

  protocol::node_settings settings;
  async_io::http_caller caller;
  platform::store_client store;
  node::peer_service peers;
};

class proof_return_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(proof_return_test);
  CPPUNIT_TEST(agent_gets_the_proof_of_its_earlier_run);
  CPPUNIT_TEST(entry_that_leaves_hears_of_the_servers);
  CPPUNIT_TEST_SUITE_END();

  async_io::event_loop m_loop;
  async_io::timer m_timer{m_loop};
  std::uint16_t m_peer_port = 0;

  protocol::node_settings make_settings(const std::string& ip, protocol::process_role role) const
  {
    protocol::node_settings settings;
    settings.role = role;
    settings.ip = ip;
    settings.host = ip;
    settings.region = "r";
    settings.failure_domain = "a";
    settings.domains = {{"a", "r"}};
    settings.peer_port = m_peer_port;
    settings.seeds = {entry_ip};
    settings.store = {"127.0.0.1", 1};
    return settings;
  }

  static node::peer_handlers make_handlers()
  {
    return {.operator_position = [] { return state_feed::log_position{}; },
            .on_peer_position = [](const state_feed::log_position&) {},
            .version_ages = [] { return std::vector<peers::version_age>{}; },
            .on_version_ages = [](const std::vector<peers::version_age>&) {},
            .on_load = [](const peers::load_message&) {},
            .on_send_notice = [](const peers::send_notice&) {},
            .on_announcement = [](const std::string&, const peers::piece_announcement&) {},
            .serve_changes = [](const state_feed::changes_request&, const std::string&,
                                const std::function<void(std::string)>&) {},
            .on_introduced = [] {},
            .metrics = [] { return std::string(); },
            .serve_weights = {}};
  }

public:
  void setUp() override
  {
    async_io::http_listener probe(
        m_loop, [](const async_io::message_head&, const async_io::http_listener::responder&) {});
    CPPUNIT_ASSERT(probe.listen({entry_ip, 0}));
    m_peer_port = probe.port();
  }

  /// Guards against layers that are loaded again after each restart of the agent, and against a
  /// proof that is sent for reports which hold one themselves.
  void agent_gets_the_proof_of_its_earlier_run()
  {
    const peers::layer_proof known{"127.77.2.101:80", {5, 2}};
    unsigned asked_proven = 0;
    unsigned reports = 0;
    auto entry_handlers = make_handlers();
    entry_handlers.on_load = [&](const peers::load_message&)
    {
      ++reports;
    };
    entry_handlers.find_proof = [&](const peers::load_message& load)
    {
      asked_proven += load.proven ? 1U : 0U;
      return load.mark == known.mark ? std::optional(known) : std::nullopt;
    };
    std::optional<peers::engine_mark> returned;
    auto agent_handlers = make_handlers();
    agent_handlers.on_proof = [&](const peers::engine_mark& proof)
    {
      returned = proof;
    };
    peer_process entry(m_loop, make_settings(entry_ip, protocol::process_role::entry),
                       std::move(entry_handlers));
    peer_process agent(m_loop, make_settings(agent_ip, protocol::process_role::agent),
                       std::move(agent_handlers));
    test::run_until(m_loop, [&] { return !agent.peers.live(peers::peer_role::entry).empty(); });
    const auto report = [&](const peers::engine_mark& mark, bool proven)
    {
      peers::load_message load;
      load.engine = known.engine;
      load.mark = mark;
      load.proven = proven;
      const unsigned before = reports;
      agent.peers.send_load(load);
      test::run_until(m_loop, [&] { return reports > before; });
      m_timer.start(milliseconds(50), [this] { m_loop.stop(); });
      m_loop.run();
    };
    report({5, 1}, false);
    report({5, 2}, true);
    CPPUNIT_ASSERT(!returned);
    CPPUNIT_ASSERT_EQUAL(0U, asked_proven);
    report({5, 2}, false);
    CPPUNIT_ASSERT(returned);
    CPPUNIT_ASSERT(*returned == known.mark);
  }

  /// Guards against an entry in a planned stop that gives up servers, as it hears no more of them.
  void entry_that_leaves_hears_of_the_servers()
  {
    unsigned loads = 0;
    unsigned messages = 0;
    auto entry_handlers = make_handlers();
    entry_handlers.on_load = [&](const peers::load_message&)
    {
      ++loads;
    };
    entry_handlers.on_entry_message = [&](const peers::peer_message&, const std::string&)
    {
      ++messages;
    };
    peer_process entry(m_loop, make_settings(entry_ip, protocol::process_role::entry),
                       std::move(entry_handlers));
    peer_process other(m_loop, make_settings(agent_ip, protocol::process_role::entry),
                       make_handlers());
    const auto sees_two = [&]
    {
      return other.peers.live(peers::peer_role::entry).size() == 2;
    };
    test::run_until(m_loop, sees_two);
    entry.peers.set_leaving();
    test::run_until(m_loop, [&] { return !sees_two(); });
    other.peers.send_load({.engine = "127.77.2.101:80"});
    other.peers.tell_entries(peers::server_leaving{.server = "s1", .started_ms = 1});
    test::run_until(m_loop, [&] { return loads > 0 && messages > 0; });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(proof_return_test, "Node.ProofReturn");

} // namespace
