#include "Transport/HttpServer.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <httplib.h>

#include "Transport/HttpSocket.h"

namespace pollenyoke::transport
{

namespace
{

// The connection that this thread serves, for http_request::is_connected.
thread_local int served_socket = -1;
// The task that runs on this thread is a connection to be refused.
thread_local bool refuse_connection = false;

// The library's own pool has a fixed size, and one idle connection holds one thread, so that a few
// idle callers would block all others. This pool grows up to a cap instead.
class growing_pool final : public httplib::TaskQueue
{
public:
  growing_pool(std::size_t max_threads, std::size_t max_waiting, std::atomic<std::size_t>& waiting)
      : m_max_threads(max_threads), m_max_waiting(max_waiting), m_waiting(waiting)
  {
  }

  void enqueue(std::function<void()> task) override
  {
    {
      const std::lock_guard lock(m_mutex);
      if (m_tasks.size() < m_max_waiting)
      {
        m_tasks.push_back(std::move(task));
        m_waiting = m_tasks.size() > m_idle ? m_tasks.size() - m_idle : 0;
        if (m_idle < m_tasks.size() && m_threads.size() < m_max_threads)
        {
          m_threads.emplace_back([this] { work(); });
        }
        m_available.notify_one();
        return;
      }
    }
    // The task owns the connection and must run to close it.
    refuse_connection = true;
    task();
    refuse_connection = false;
  }

  void shutdown() override
  {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_available.notify_all();
    for (std::thread& thread : m_threads)
    {
      thread.join();
    }
  }

private:
  void work()
  {
    while (true)
    {
      std::function<void()> task;
      {
        std::unique_lock lock(m_mutex);
        ++m_idle;
        m_available.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty())
        {
          return;
        }
        task = std::move(m_tasks.front());
        m_tasks.pop_front();
        m_waiting = m_tasks.size() > m_idle ? m_tasks.size() - m_idle : 0;
      }
      task();
    }
  }

  const std::size_t m_max_threads;
  const std::size_t m_max_waiting;
  std::atomic<std::size_t>& m_waiting;
  std::mutex m_mutex;
  std::condition_variable m_available;
  std::deque<std::function<void()>> m_tasks;
  std::vector<std::thread> m_threads;
  std::size_t m_idle = 0;
  bool m_stopping = false;
};

/// Serves connections through bounded_socket instead of the library's own stream, which limits
/// neither the time nor the bytes of a request's header.
class bounded_server final : public httplib::Server
{
public:
  explicit bounded_server(const http_server_options& options) : m_options(options)
  {
    new_task_queue = [this]
    {
      return new growing_pool(m_options.max_threads, m_options.max_waiting, m_waiting);
    };
  }

private:
  bool process_and_close_socket(socket_t socket) override
  {
    if (refuse_connection)
    {
      refuse_socket(socket);
      return false;
    }
    bounded_socket stream(socket,
                          {.read_timeout = m_options.read_timeout,
                           .write_timeout = m_options.write_timeout,
                           .request_timeout = m_options.request_timeout,
                           .request_bytes = m_options.max_header_bytes + m_options.max_body_bytes});
    served_socket = socket;
    bool open = true;
    while (open && wait_for_request(stream))
    {
      stream.begin_request();
      bool closed = false;
      open = process_request(stream, svr_sock_ == INVALID_SOCKET, closed, nullptr) && !closed &&
             !stream.limit_reached();
    }
    served_socket = -1;
    stream.close();
    return open;
  }

  // While other connections wait for a thread, idle ones are closed soon.
  bool wait_for_request(const bounded_socket& stream) const
  {
    constexpr std::chrono::milliseconds slice{50};
    constexpr std::chrono::milliseconds crowded_timeout{200};
    const auto begin = std::chrono::steady_clock::now();
    while (svr_sock_ != INVALID_SOCKET)
    {
      if (stream.wait_readable(slice))
      {
        return true;
      }
      const auto limit = m_waiting > 0 ? std::min(crowded_timeout, m_options.idle_timeout)
                                       : m_options.idle_timeout;
      if (std::chrono::steady_clock::now() - begin >= limit)
      {
        return false;
      }
    }
    return false;
  }

  const http_server_options m_options;
  std::atomic<std::size_t> m_waiting{0};
};

http_headers parse_query(const std::string& target)
{
  http_headers out;
  const std::size_t mark = target.find('?');
  if (mark != std::string::npos)
  {
    httplib::Params params;
    httplib::detail::parse_query_text(target.substr(mark + 1), params);
    for (const auto& [name, value] : params)
    {
      out.push_back({name, value});
    }
  }
  return out;
}

http_request to_request(const httplib::Request& from)
{
  http_request request;
  request.method = from.method;
  request.path = from.path;
  request.body = from.body;
  for (const auto& [name, value] : from.headers)
  {
    request.headers.push_back({name, value});
  }
  // The library's own parameters also contain those of a form in the body.
  request.query = parse_query(from.target);
  request.is_connected = [socket = served_socket]
  {
    return is_socket_open(socket);
  };
  return request;
}

void apply(http_response&& response, httplib::Response& to)
{
  to.status = response.status;
  for (const http_header& header : response.headers)
  {
    to.set_header(header.name, header.value);
  }
  if (!response.stream)
  {
    to.set_content(response.body, response.content_type);
    return;
  }
  to.set_chunked_content_provider(
      response.content_type,
      [stream = std::move(response.stream)](std::size_t, httplib::DataSink& sink)
      {
        const body_writer write = [&sink](std::string_view data)
        {
          return sink.write(data.data(), data.size());
        };
        if (!stream(write))
        {
          return false;
        }
        sink.done();
        return true;
      });
}

void configure(httplib::Server& server, const http_server_options& options, http_handler handler)
{
  server.set_tcp_nodelay(true);
  server.set_payload_max_length(options.max_body_bytes);
  server.set_keep_alive_max_count(1000000);
  const auto dispatch =
      [handler = std::move(handler)](const httplib::Request& request, httplib::Response& response)
  {
    // The library takes multipart bodies apart, so that they cannot be passed on unchanged.
    if (request.is_multipart_form_data())
    {
      apply(error_response(415, "multipart bodies are not supported"), response);
      return;
    }
    apply(handler(to_request(request)), response);
  };
  server.Get(".*", dispatch);
  server.Post(".*", dispatch);
  server.Put(".*", dispatch);
  server.Delete(".*", dispatch);
  server.Patch(".*", dispatch);
}

} // namespace

class http_server::implementation
{
public:
  explicit implementation(const http_server_options& options) : server(options) {}

  bounded_server server;
  endpoint local;
  std::thread thread;
};

http_server::http_server(std::unique_ptr<implementation> impl) : m_impl(std::move(impl)) {}

http_server::~http_server()
{
  stop();
}

result<std::unique_ptr<http_server>> http_server::start(const http_server_options& options,
                                                        http_handler handler)
{
  auto impl = std::make_unique<implementation>(options);
  httplib::Server& server = impl->server;
  socket_t listening = INVALID_SOCKET;
  // The library's default is SO_REUSEPORT, with which two processes could share a port unnoticed.
  server.set_socket_options(
      [&listening](socket_t socket)
      {
        listening = socket;
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
      });
  configure(server, options, std::move(handler));

  impl->local = options.listen;
  if (options.listen.port == 0)
  {
    const int port = server.bind_to_any_port(options.listen.ip);
    if (port <= 0)
    {
      return fail(error_code::unavailable, "cannot listen on http " + to_string(options.listen));
    }
    impl->local.port = static_cast<std::uint16_t>(port);
  }
  else if (!server.bind_to_port(options.listen.ip, options.listen.port))
  {
    return fail(error_code::unavailable, "cannot listen on http " + to_string(options.listen));
  }
  // The library listens with a backlog of 5, which a burst of callers overflows.
  constexpr int backlog = 1024;
  ::listen(listening, backlog);
  impl->thread = std::thread([&server] { server.listen_after_bind(); });
  // stop() has no effect before the accept loop runs.
  while (!server.is_running())
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return std::unique_ptr<http_server>(new http_server(std::move(impl)));
}

endpoint http_server::local_endpoint() const
{
  return m_impl->local;
}

void http_server::stop()
{
  m_impl->server.stop();
  if (m_impl->thread.joinable())
  {
    m_impl->thread.join();
  }
}

} // namespace pollenyoke::transport
