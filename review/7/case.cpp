// Two of 15 engines fail part of their requests for 6.5 s, time after time: some streams hang after a few events, some
// continued streams are answered with a failure. 15 entries, callers that read streams. Arguments: folder for settings
// and logs, file of the record. Without trouble (TROUBLE=0) no engine fails.
#include "../platform-2/Platform.h"

#include <cmath>
#include <random>

using namespace review;

namespace
{

constexpr int entries = 15;
constexpr int engines = 15;
constexpr int failing_engines = 2;
// Share of the new streams of a failing engine that hang, while fewer than the largest share of all its requests in this
// time of trouble have failed.
constexpr double hanging_share = 0.35;
constexpr double largest_failing_share = 0.45;
// The engines fail for this long, time after time.
constexpr double trouble_s = 6.5;
constexpr double trouble_period_s = 8;
constexpr int events = 20;
constexpr int event_interval_ms = 40;
constexpr int deadline_ms = 6000;
constexpr int callers = 90;
constexpr double begin_s = 12;
constexpr double end_s = 75;

std::atomic<unsigned> next_id{1};
bool trouble = true;

std::string event_of(const std::string& request_id, int number)
{
  return "id: " + std::to_string(number) + "\ndata: " + request_id + "." + std::to_string(number) + "\n\n";
}

std::string chunk(const std::string& data)
{
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

/// Requests of one failing engine in the current time of trouble.
struct failure_count
{
  std::mutex mutex;
  int period = -1;
  int requests = 0;
  int failed = 0;

  /// Counts a request. True if it fails: `wanted`, and the share stays within its limit.
  bool take(int now, bool wanted)
  {
    const std::lock_guard lock(mutex);
    if (now != period)
    {
      period = now;
      requests = 0;
      failed = 0;
    }
    ++requests;
    const bool fails = wanted && failed + 1 <= largest_failing_share * requests;
    failed += fails ? 1 : 0;
    return fails;
  }
};

failure_count failures[failing_engines];

/// Whether the peer has closed.
bool wait_for_close(stream& peer, int ms)
{
  return peer.read_some(clock::now() + milliseconds(ms)) != -2;
}

void run_engine(record_file& record, int index, stream& peer)
{
  static thread_local std::mt19937 random(std::random_device{}());
  const std::string id = "i-engine-" + std::to_string(index + 1);
  message request;
  while (peer.read_message(request, clock::now() + std::chrono::seconds(20)))
  {
    const std::string request_id = request.field("X-Pollenyoke-Request-Id");
    const std::string after_text = request.field("Last-Event-Id");
    const int after = std::atoi(after_text.c_str());
    if (request.field("X-Pollenyoke-Target-Instance") != id)
    {
      peer.write(response(421, "X-Pollenyoke-Instance-Id: " + id + "\r\n", ""));
      continue;
    }
    const std::string fields = "X-Pollenyoke-Request-Id: " + request_id + "\r\nX-Pollenyoke-Response-Seal: " + id + "." +
                               request_id + "\r\nX-Pollenyoke-Weight-Versions: 1\r\n";
    const double into_period = std::fmod(record.now(), trouble_period_s);
    const bool wanted = after > 0 || std::uniform_real_distribution<>(0, 1)(random) < hanging_share;
    const bool fails = trouble && index < failing_engines && into_period < trouble_s &&
                       failures[index].take(static_cast<int>(record.now() / trouble_period_s), wanted);
    const bool hangs = fails && after == 0;
    if (fails && after > 0)
    {
      record.write("run       %s at %s after event %d: answered 409", request_id.c_str(), id.c_str(), after);
      if (!peer.write(response(409, fields, "the stream cannot be continued here\n")))
      {
        return;
      }
      continue;
    }
    record.write("run       %s at %s after event %d%s", request_id.c_str(), id.c_str(), after,
                 hangs ? ", hangs after three events" : "");
    if (!peer.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + fields +
                    "Transfer-Encoding: chunked\r\n\r\n"))
    {
      return;
    }
    for (int number = after + 1; number <= events; ++number)
    {
      // It goes on when the time of trouble is over.
      if (hangs && number == 4 &&
          wait_for_close(peer, std::max(1, static_cast<int>(1000 * (trouble_s - std::fmod(record.now(), trouble_period_s))))))
      {
        return;
      }
      if (!peer.write(chunk(event_of(request_id, number))) || wait_for_close(peer, event_interval_ms))
      {
        return;
      }
    }
    if (!peer.write("0\r\n\r\n"))
    {
      return;
    }
  }
}

struct counts
{
  std::atomic<unsigned> sent{0}, whole{0}, failed{0}, cut{0}, foreign{0}, no_answer{0};
};

/// Reads one answer. Empty if it is one in the protocol, else what is wrong with it.
std::string read_answer(stream& peer, const std::string& id, clock::time_point until, counts& all, bool& reusable,
                        bool& whole)
{
  reusable = false;
  message head;
  if (!peer.read_head(head, until))
  {
    ++all.cut;
    return {};
  }
  if (!head.start_line.starts_with("HTTP/1.1 ") || head.status() < 200)
  {
    return "no status line: " + head.start_line.substr(0, 60);
  }
  if (head.field("X-Pollenyoke-Request-Id") != id)
  {
    ++all.foreign;
    return "the answer to another request: " + head.field("X-Pollenyoke-Request-Id");
  }
  if (head.field("Transfer-Encoding") != "chunked")
  {
    const std::size_t length = std::strtoul(head.field("Content-Length").c_str(), nullptr, 10);
    while (peer.data().size() < length)
    {
      if (peer.read_some(until) != 1)
      {
        ++all.cut;
        return {};
      }
    }
    peer.data().erase(0, length);
    ++all.failed;
    reusable = head.field("Connection") != "close";
    return {};
  }
  std::string body;
  for (;;)
  {
    std::size_t line_end = 0;
    while ((line_end = peer.data().find("\r\n")) == std::string::npos)
    {
      if (peer.read_some(until) != 1)
      {
        // Not complete, and it does not look so.
        ++all.cut;
        return {};
      }
    }
    const std::string line = peer.data().substr(0, line_end);
    if (line.empty() || line.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    {
      return "where a chunk begins: \"" + line.substr(0, 60) + "\"";
    }
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    while (peer.data().size() < line_end + 2 + size + 2)
    {
      if (peer.read_some(until) != 1)
      {
        ++all.cut;
        return {};
      }
    }
    body += peer.data().substr(line_end + 2, size);
    peer.data().erase(0, line_end + 2 + size + 2);
    if (size == 0)
    {
      break;
    }
  }
  std::string expected;
  for (int number = 1; number <= events; ++number)
  {
    expected += event_of(id, number);
  }
  if (body != expected)
  {
    return "a complete stream with other events than those of the engine";
  }
  ++all.whole;
  whole = true;
  reusable = head.field("Connection") != "close";
  return {};
}

/// False if there was no whole stream.
bool call(record_file& record, counts& all, std::unique_ptr<stream>& connection, const std::string& ip, int port)
{
  if (!connection)
  {
    connection = stream::connect(ip, port);
  }
  char id[17];
  std::snprintf(id, sizeof id, "%016x", next_id++);
  const std::string body = "{\"prompt\":\"" + std::string(id) + "\"}\n";
  if (!connection || !connection->write("POST /guide/1 HTTP/1.1\r\nHost: guides.example\r\nX-Pollenyoke-Request-Id: " +
                                        std::string(id) + "\r\nX-Pollenyoke-Model: m0\r\nX-Pollenyoke-Token-Count: "
                                        "300,100\r\nX-Pollenyoke-Prompt-Prefix: " + id + ":300\r\n"
                                        "X-Pollenyoke-Request-Deadline: " + std::to_string(deadline_ms) +
                                        "\r\nApi-Key: key-1\r\nContent-Length: " + std::to_string(body.size()) +
                                        "\r\n\r\n" + body))
  {
    connection = nullptr;
    return false;
  }
  ++all.sent;
  record.write("sent      %s", id);
  bool reusable = false;
  bool whole = false;
  const std::string wrong =
      read_answer(*connection, id, clock::now() + milliseconds(deadline_ms), all, reusable, whole);
  if (wrong.empty())
  {
    record.write("answered  %s%s", id, reusable ? "" : ", the connection ended");
  }
  else
  {
    ++all.no_answer;
    record.write("BYTES THAT ARE NO ANSWER for %s: %s", id, wrong.c_str());
  }
  if (!reusable)
  {
    connection = nullptr;
  }
  return whole;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 3)
  {
    return 2;
  }
  const std::string work = argv[1];
  const char* trouble_text = std::getenv("TROUBLE");
  trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  record_file record(argv[2]);
  signal(SIGPIPE, SIG_IGN);

  store platform("127.20.0.1");
  platform.put("keyed.op", "config",
               "{\"version\":1,\"routes\":[{\"name\":\"r-guide\",\"host\":\"guides.example\",\"path_prefix\":\"/guide/\","
               "\"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"pool\","
               "\"max_attempts\":2,\"public\":false,\"sticky\":true,\"stream_resume\":true,\"target_gap_ms\":400}],"
               "\"services\":[{\"name\":\"pool\",\"health_path\":\"/health\",\"max_connections\":780,\"engine\":{"
               "\"slots\":16,\"stride\":5,\"models\":[{\"name\":\"m0\"}],\"step_ms\":9.27,\"per_seq_ms\":0.0232,"
               "\"read_per_s\":20700.0,\"pairs_per_m\":1.18,\"usual\":{\"prompt\":300,\"answer\":100},\"layers\":16}}],"
               "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
               "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"]}]}");
  std::vector<std::unique_ptr<server>> servers;
  std::vector<std::unique_ptr<registration>> registrations;
  for (int i = 0; i < engines; ++i)
  {
    servers.push_back(std::make_unique<server>("127.20.1." + std::to_string(i + 1),
                                               [&record, i](stream& peer) { run_engine(record, i, peer); }));
    registrations.push_back(std::make_unique<registration>(
        platform, "i-engine-" + std::to_string(i + 1), "pool", servers.back()->address(), zones[i % 3],
        ",\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]"));
  }
  const entry_ports ports{free_port(), free_port(), free_port(), free_port()};
  const auto ip = [](int i) { return "127.20.2." + std::to_string(i + 1); };
  std::vector<pid_t> pids;
  for (int i = 0; i < entries; ++i)
  {
    const std::string name = "entry-" + std::to_string(i + 1);
    const std::string peer_port = ":" + std::to_string(ports.peers);
    write_file(work + "/" + name + ".yaml",
               entry_settings(name, ip(i), i % 3, ip(0) + peer_port + "," + ip(1) + peer_port + "," + ip(2) + peer_port,
                              platform.address(), ports));
    const int log = open_log(work + "/" + name + ".log");
    pids.push_back(start_node(work + "/" + name + ".yaml", log));
    close(log);
  }
  for (int i = 0, tries = 0; i < entries; i += is_ready(ip(i), ports.readiness) ? 1 : 0)
  {
    if (++tries == 200)
    {
      record.write("an entry does not become ready");
      end_processes(pids);
      return 2;
    }
    sleep_ms(20);
  }
  record.write("the entries are ready; trouble=%d", trouble ? 1 : 0);
  counts all;
  std::vector<std::thread> threads;
  for (int i = 0; i < callers; ++i)
  {
    threads.emplace_back(
        [&, i]
        {
          std::unique_ptr<stream> connection;
          // A new process repeats little until its first budget window is over.
          while (record.now() < begin_s + 0.005 * i)
          {
            sleep_ms(10);
          }
          while (record.now() < end_s)
          {
            // A refused caller comes back later.
            sleep_ms(call(record, all, connection, ip(i % entries), ports.callers) ? 20 : 400);
          }
        });
  }
  for (auto& thread : threads)
  {
    thread.join();
  }
  end_processes(pids);
  const bool broken = all.no_answer > 0;
  record.write("%u sent, %u answered whole, %u answered with a failure, %u cut without an end, %u with bytes that are no "
               "answer (%u of them the answer to another request)",
               all.sent.load(), all.whole.load(), all.failed.load(), all.cut.load(), all.no_answer.load(),
               all.foreign.load());
  record.write("%s", broken ? "BROKEN: MIXED" : "the rule held");
  std::_Exit(broken ? 1 : 0);
}
