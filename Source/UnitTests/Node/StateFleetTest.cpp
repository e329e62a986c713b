#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/HttpListener.h"
#include "Node/PeerService.h"
#include "StateFeed/StateFollower.h"
#include "UnitTests/RunUntil.h"
#include "platform/Names.h"
#include "platform/StoreClient.h"

namespace
{

using namespace pollenyoke;
using async_io::message_head;
using async_io::query_parameter;
using state_feed::changes_request;
using state_feed::record;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string encode_base64(const std::string& data)
{
  std::string out(4 * ((data.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                   reinterpret_cast<const unsigned char*>(data.data()),
                                   static_cast<int>(data.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::string big_endian(std::uint64_t value, int bytes)
{
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
  {
    out.push_back(static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU));
  }
  return out;
}

/// Stand-in of the platform's store: keyed topics with long reads. Counts how many copies of a
/// configuration it sends.
class counting_store
{
public:
  explicit counting_store(async_io::event_loop& loop)
      : m_listener(loop, [this](const message_head& head,
                                const async_io::http_listener::responder& respond)
                   { serve(head, respond); })
  {
    CPPUNIT_ASSERT(m_listener.listen({"127.0.0.1", 0}));
  }

  std::uint16_t port() const
  {
    return m_listener.port();
  }

  void put(std::string_view topic, const std::string& key, const std::string& value)
  {
    auto& log = m_topics[std::string(topic)];
    log.push_back({key, value, log.size()});
    const auto pending = std::move(m_pending);
    m_pending.clear();
    for (const auto& [head, respond] : pending)
    {
      serve(head, respond);
    }
  }

  /// Drops the newest records of a topic, as a store does that comes back from an older copy.
  void restore(std::string_view topic, std::size_t lost)
  {
    auto& log = m_topics[std::string(topic)];
    log.resize(log.size() - lost);
    ++m_era;
    const auto pending = std::move(m_pending);
    m_pending.clear();
    for (const auto& [head, respond] : pending)
    {
      respond({.status = 503});
    }
  }

  std::size_t sent_configurations = 0;

private:
  void serve(const message_head& head, const async_io::http_listener::responder& with_fields)
  {
    const auto respond = [this, with_fields](async_io::simple_answer answer)
    {
      answer.fields.push_back({"Store-Era", std::to_string(m_era)});
      with_fields(std::move(answer));
    };
    const auto path = async_io::path_of(head.target);
    if (path == "/v1/log-newest")
    {
      respond({200, "application/json", newest(query_parameter(head.target, "topic"))});
      return;
    }
    if (path == "/v1/log-read")
    {
      read(head, respond);
      return;
    }
    respond({200, "application/json", R"({"offset":0,"end":1})"});
  }

  std::string newest(const std::string& topic)
  {
    std::map<std::string, record> by_key;
    for (const record& change : m_topics[topic])
    {
      by_key[change.key] = change;
    }
    nlohmann::json items = nlohmann::json::array();
    for (const auto& [key, change] : by_key)
    {
      count(key);
      items.push_back(
          {{"key", key}, {"value", encode_base64(*change.value)}, {"offset", change.offset}});
    }
    return nlohmann::json{{"items", items}, {"end", m_topics[topic].size()}, {"has_more", false}}
        .dump();
  }

  void read(const message_head& head, const async_io::http_listener::responder& respond)
  {
    const auto& log = m_topics[query_parameter(head.target, "topic")];
    std::uint64_t from = 0;
    CPPUNIT_ASSERT(async_io::parse_number(query_parameter(head.target, "from"), from));
    if (from > log.size())
    {
      respond({.status = 410});
      return;
    }
    if (from == log.size() && query_parameter(head.target, "wait_ms") != "0")
    {
      m_pending.emplace_back(head, respond);
      return;
    }
    std::string body = big_endian(log.size(), 8) + big_endian(0, 8);
    for (std::uint64_t offset = from; offset < log.size(); ++offset)
    {
      const record& change = log[offset];
      count(change.key);
      body += big_endian(1 + change.key.size() + change.value->size(), 4);
      body += static_cast<char>(change.key.size());
      body += change.key + *change.value;
    }
    respond({200, "application/octet-stream", body});
  }

  void count(const std::string& key)
  {
    sent_configurations += key == platform::names::config_key ? 1U : 0U;
  }

  async_io::http_listener m_listener;
  std::map<std::string, std::vector<record>> m_topics;
  std::uint64_t m_era = 1;
  std::vector<std::pair<message_head, async_io::http_listener::responder>> m_pending;
};

/// One process of the fleet, as far as state is concerned.
class process
{
public:
  process(async_io::event_loop& loop, const protocol::node_settings& settings)
      : m_settings(settings), m_caller(loop), m_store(m_caller, m_settings.store),
        m_peers(loop, m_caller, m_store, m_settings, make_peer_handlers()),
        m_feed(loop, m_store, make_feed_handlers(), is_entry(),
               is_entry() ? state_feed::store_use::direct : state_feed::store_use::last_resort)
  {
    CPPUNIT_ASSERT(m_peers.start());
  }

  std::string config() const
  {
    const auto found = m_records.find(std::string(platform::names::config_key));
    return found == m_records.end() ? std::string{} : found->second;
  }
  std::string record_of(const std::string& key) const
  {
    const auto found = m_records.find(key);
    return found == m_records.end() ? std::string{} : found->second;
  }
  bool knows_all(std::size_t processes) const
  {
    return m_peers.live(peers::peer_role::entry).size() +
               m_peers.live(peers::peer_role::agent).size() >=
           processes - (is_entry() ? 0U : 1U);
  }

private:
  bool is_entry() const
  {
    return m_settings.role == protocol::process_role::entry;
  }

  node::peer_handlers make_peer_handlers()
  {
    return {.operator_position = [this] { return m_feed.operator_position(); },
            .on_peer_position = [this](const state_feed::log_position& position)
            { m_feed.note_peer_position(position); },
            .version_ages = [] { return std::vector<peers::version_age>{}; },
            .on_version_ages = [](const std::vector<peers::version_age>&) {},
            .on_load = [](const peers::load_message&) {},
            .on_send_notice = [](const peers::send_notice&) {},
            .on_announcement = [](const std::string&, const peers::piece_announcement&) {},
            .serve_changes = [this](const changes_request& request, const std::string& left_out,
                                    std::function<void(std::string)> respond)
            { m_feed.serve_changes(request, left_out, std::move(respond)); },
            .on_introduced = [this] { m_feed.start(); },
            .metrics = [] { return std::string{}; },
            .serve_weights = nullptr};
  }

  state_feed::feed_handlers make_feed_handlers()
  {
    return {.on_operator_record = [this](const record& change)
            { m_records[change.key] = change.value.value_or(""); },
            .on_backend_record = [](const record&, std::optional<async_io::time_point>) {},
            .on_initialized =
                [this]
            {
              if (is_entry())
              {
                m_peers.set_has_state();
              }
            },
            .readers = [this] { return m_peers.readers(); },
            .next_peer = [this] { return m_peers.next_peer(); },
            .ask = [this](const std::string& ip, const changes_request& request, auto done)
            { m_peers.ask_changes(ip, request, {}, std::move(done)); },
            .is_older_operator_record =
                [](const record& known, const record& next)
            {
              return std::stoi(*next.value) < std::stoi(*known.value);
            }};
  }

  protocol::node_settings m_settings;
  async_io::http_caller m_caller;
  platform::store_client m_store;
  node::peer_service m_peers;
  state_feed::state_follower<platform::store_client> m_feed;
  std::map<std::string, std::string> m_records;
};

class state_fleet_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(state_fleet_test);
  CPPUNIT_TEST(loss_of_both_readers_does_not_send_all_processes_to_the_store);
  CPPUNIT_TEST(start_of_all_processes_reads_the_state_few_times);
  CPPUNIT_TEST_SUITE_END();

protected:
  static constexpr std::size_t entry_count = 8;
  static constexpr std::size_t agent_count = 12;
  // Copies of one configuration that leave the store for one failure domain: as many as readers are
  // asked in order. A second one reads while the first one takes over again.
  static constexpr std::size_t copies_per_change = 4;

  async_io::event_loop m_loop;
  async_io::timer m_timer{m_loop};
  std::unique_ptr<counting_store> m_store;
  std::vector<std::unique_ptr<process>> m_processes;
  int m_version = 0;
  /// The same on all hosts, each of which has an address of its own.
  std::uint16_t m_peer_port = 0;

  static std::string make_ip(std::size_t number)
  {
    return "127.77.1." + std::to_string(100 + number);
  }

  std::uint16_t find_free_port()
  {
    async_io::http_listener probe(
        m_loop, [](const message_head&, const async_io::http_listener::responder&) {});
    CPPUNIT_ASSERT(probe.listen({make_ip(0), 0}));
    return probe.port();
  }

  void run_until(const std::function<bool()>& condition)
  {
    test::run_until(m_loop, condition);
  }

  void run_for(milliseconds time)
  {
    m_timer.start(time, [this] { m_loop.stop(); });
    m_loop.run();
  }

  /// Entries first: the first two read the store for the others.
  void start(std::size_t number)
  {
    protocol::node_settings settings;
    settings.role =
        number < entry_count ? protocol::process_role::entry : protocol::process_role::agent;
    settings.ip = make_ip(number);
    settings.host = settings.ip;
    settings.region = "r";
    settings.failure_domain = "a";
    settings.domains = {{"a", "r"}};
    settings.peer_port = m_peer_port;
    settings.seeds = {make_ip(0)};
    settings.store = {"127.0.0.1", m_store->port()};
    m_processes.at(number) = std::make_unique<process>(m_loop, settings);
  }

  void publish()
  {
    m_store->put(platform::names::operator_topic, std::string(platform::names::config_key),
                 std::to_string(++m_version));
  }

  bool all_have_newest() const
  {
    return std::all_of(m_processes.begin(), m_processes.end(),
                       [this](const auto& process)
                       { return process && process->config() == std::to_string(m_version); });
  }

public:
  void setUp() override
  {
    m_store = std::make_unique<counting_store>(m_loop);
    m_peer_port = find_free_port();
    m_processes.resize(entry_count + agent_count);
    for (std::size_t i = 0; i < m_processes.size(); ++i)
    {
      m_store->put(platform::names::host_topic, make_ip(i), "entry");
    }
    publish();
    for (std::size_t i = 0; i < m_processes.size(); ++i)
    {
      start(i);
    }
    run_until([this] { return all_have_newest(); });
  }

  void tearDown() override
  {
    m_processes.clear();
    m_store = nullptr;
    m_version = 0;
  }

  /// Guards against the incident in which 39 processes of a failure domain read each configuration
  /// from the store after its readers had lost power and come back without state.
  void loss_of_both_readers_does_not_send_all_processes_to_the_store()
  {
    run_until(
        [this]
        {
          return std::all_of(m_processes.begin(), m_processes.end(),
                             [](const auto& process)
                             { return process->knows_all(entry_count + agent_count); });
        });
    // The reader that others see first has to have said that it has state.
    run_for(milliseconds(1500));
    m_processes[0] = nullptr;
    m_processes[1] = nullptr;
    m_store->sent_configurations = 0;
    run_for(milliseconds(50));
    start(0);
    start(1);
    constexpr std::size_t changes = 12;
    for (std::size_t i = 0; i < changes; ++i)
    {
      publish();
      run_for(milliseconds(250));
    }
    run_until([this] { return all_have_newest(); });
    CPPUNIT_ASSERT(m_store->sent_configurations <= (changes + 1) * copies_per_change);
  }

  /// Guards against a start after a loss of power at which each process reads the whole state over
  /// the same regional link.
  void start_of_all_processes_reads_the_state_few_times()
  {
    for (auto& process : m_processes)
    {
      process = nullptr;
    }
    m_store->sent_configurations = 0;
    for (std::size_t i = 0; i < m_processes.size(); ++i)
    {
      start(i);
    }
    run_until([this] { return all_have_newest(); });
    CPPUNIT_ASSERT(m_store->sent_configurations <= copies_per_change);
  }
};

/// A store that comes back from an older copy, so that offsets go back and are given out again.
class restored_store_test : public state_fleet_test
{
  CPPUNIT_TEST_SUITE(restored_store_test);
  CPPUNIT_TEST(configuration_written_after_a_restore_is_applied_by_all);
  CPPUNIT_TEST(topic_that_has_grown_past_its_old_end_is_read_whole);
  CPPUNIT_TEST(process_that_starts_after_a_restore_gets_what_the_copy_lacks);
  CPPUNIT_TEST(restores_in_short_succession);
  CPPUNIT_TEST_SUITE_END();

  void lose(std::size_t records)
  {
    m_store->restore(platform::names::operator_topic, records);
  }

  void publish_often(int times)
  {
    for (int i = 0; i < times; ++i)
    {
      publish();
    }
    run_until([this] { return all_have_newest(); });
  }

public:
  /// Guards against CONFIG: a configuration at an offset that was read before is taken for old.
  void configuration_written_after_a_restore_is_applied_by_all()
  {
    publish_often(6);
    lose(4);
    run_for(milliseconds(300));
    publish();
    run_until([this] { return all_have_newest(); });
  }

  void topic_that_has_grown_past_its_old_end_is_read_whole()
  {
    publish_often(3);
    lose(2);
    m_store->put(platform::names::operator_topic, "version/m1", "2");
    for (int i = 0; i < 4; ++i)
    {
      m_store->put(platform::names::operator_topic, "version/m2", std::to_string(i));
    }
    publish();
    run_until([this] { return all_have_newest(); });
    run_until(
        [this]
        {
          return std::all_of(m_processes.begin(), m_processes.end(),
                             [](const auto& process)
                             { return process->record_of("version/m1") == "2"; });
        });
  }

  /// The operator has not written the lost configuration again yet.
  void process_that_starts_after_a_restore_gets_what_the_copy_lacks()
  {
    publish_often(6);
    lose(4);
    run_for(milliseconds(1500));
    CPPUNIT_ASSERT(all_have_newest());
    for (const std::size_t restarted : {std::size_t{3}, entry_count + 2})
    {
      m_processes[restarted] = nullptr;
      start(restarted);
    }
    run_until([this] { return all_have_newest(); });
  }

  void restores_in_short_succession()
  {
    publish_often(8);
    lose(3);
    run_for(milliseconds(200));
    publish();
    lose(4);
    run_for(milliseconds(100));
    publish();
    run_until([this] { return all_have_newest(); });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(state_fleet_test, "Node.StateFleet");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restored_store_test, "Node.RestoredStore");

} // namespace
