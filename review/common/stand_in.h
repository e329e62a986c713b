#pragma once

// Stand-ins for clients, servers and the platform's store, as ../../given/kit/more/system/PROTOCOL.md
// describes them, on loopback addresses. Each connection has a thread of its own and blocking sockets.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review
{

/// Seconds since the start of the program.
double now();
void sleep_until(double time);
void sleep_for(double seconds);

/// False if the environment holds TROUBLE=0: the case then runs without its disruption.
bool with_trouble();

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_cannot_run = 2;

/// Writes a line to record.txt of the case.
void record(const std::string& line);
void open_record(const std::string& path);
/// Ends all started processes, deletes the temporary folder and ends the program.
[[noreturn]] void finish(int status, const std::string& result);

struct message
{
  /// First line: request line or status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string method() const;
  std::string target() const;
  std::string path() const;
  std::string query(const std::string& name) const;
  int status() const;
  std::string field(const std::string& name) const;
  bool has_field(const std::string& name) const;
};

enum class read_result
{
  whole,
  /// The connection ended before the first byte.
  closed,
  /// The connection ended within the message, or was reset.
  cut,
  timeout,
};

/// Reads messages from a connection.
class reader
{
public:
  explicit reader(int socket) : m_socket(socket) {}
  /// `on_head`: called when the head has been read.
  read_result read(message& out, double deadline, const std::function<void()>& on_head = {});

private:
  bool fill(double deadline, read_result& failure);
  int m_socket;
  std::string m_buffer;
};

/// Connects within `timeout` seconds; -1 if that fails.
int connect_to(const std::string& ip, int port, double timeout);
bool send_all(int socket, const std::string& data);
void reset_connection(int socket);

std::string make_answer(int status, const std::string& fields, const std::string& body);

/// Accepts connections and calls the handler for each request. The handler writes its answer to the
/// socket and returns false if the connection is to be closed.
class server
{
public:
  using handler = std::function<bool(int socket, const message& request)>;
  server(const std::string& ip, int port, handler on_request);
  int port() const
  {
    return m_port;
  }

private:
  int m_port = 0;
};

/// Passes bytes between its callers and a server. Connections may go silent: they stay open, and
/// what is sent on them reaches nobody.
class proxy
{
public:
  proxy(const std::string& ip, std::string to_ip, int to_port);
  int port() const
  {
    return m_port;
  }
  /// Silences the open connections on which a caller waits for an answer and nothing was sent for
  /// `idle` seconds; returns how many.
  int silence_waiting(double idle);
  int open_connections();

private:
  struct link
  {
    std::atomic<double> last_bytes{0};
    std::atomic<bool> awaits_answer{false};
    std::atomic<bool> silent{false};
    std::atomic<bool> open{true};
  };
  static void pass(const std::shared_ptr<link>& state, int from, int to, bool is_request);

  int m_port = 0;
  std::mutex m_mutex;
  std::vector<std::shared_ptr<link>> m_links;
};

/// The platform's store: a log with keyed topics of one partition each.
class store
{
public:
  store(const std::string& ip, int port);
  int port() const;
  void put(const std::string& topic, const std::string& key, const std::string& value);
  /// Writes the entry of a server again at each heartbeat.
  void keep_server(const std::string& id, const std::string& value);

private:
  struct keyed_record
  {
    std::string key;
    std::string value;
  };
  bool handle(int socket, const message& request);
  bool append(int socket, const message& request);
  bool read(int socket, const message& request);
  bool newest(int socket, const message& request);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::vector<keyed_record>> m_topics;
  std::unique_ptr<server> m_server;
};

/// A process of the system, started with the command of the deploy file.
class node
{
public:
  /// `output`: descriptor of its standard output; -1 for a file in the temporary folder.
  node(std::string name, const std::string& settings, int output = -1);
  void start();
  void signal(int number) const;
  bool is_running();
  double resident_mb() const;
  pid_t id() const
  {
    return m_id;
  }

private:
  std::string m_name;
  std::string m_settings_file;
  int m_output;
  pid_t m_id = -1;
};

/// Address on the loopback network that this run uses; the same number gives the same address.
std::string loopback(int number);

struct entry_ports
{
  int callers = 0;
  int readiness = 0;
  int lookup = 0;
  int peers = 0;
};

/// Ports that are free on all of these addresses.
entry_ports free_ports(const std::vector<std::string>& ips);

std::string entry_settings(const std::string& ip, const entry_ports& ports,
                           const std::string& store_address, const std::string& seeds,
                           const std::string& zone = "colombo-a");
std::string agent_settings(const std::string& ip, int peer_port, const std::string& store_address,
                           const std::string& seeds, const std::string& engine,
                           const std::string& service);
/// Waits until the readiness address answers with 200; ends the program with status 2 if it does
/// not within 15 seconds, with the logs of the processes in record.txt.
void wait_until_ready(const std::string& ip, int readiness_port);

std::string make_id(const std::string& prefix, int number);
std::string sha256_hex(const std::string& data);

} // namespace review
