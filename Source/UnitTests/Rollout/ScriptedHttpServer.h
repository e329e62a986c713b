#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>

#include "AsyncIo/HttpParser.h"
#include "AsyncIo/TcpConnection.h"

namespace pollenyoke::test
{

/// HTTP server that answers each request with the result of a function; an empty result closes the
/// connection.
class scripted_http_server
{
public:
  using handler =
      std::function<std::string(const async_io::message_head&, const std::string& body)>;

  scripted_http_server(async_io::event_loop& loop, handler on_request)
      : m_listener(loop, [this](const async_io::tcp_connection::pointer& connection)
                   { accept(connection); }),
        m_on_request(std::move(on_request))
  {
    CPPUNIT_ASSERT(m_listener.listen({"127.0.0.1", 0}));
  }
  ~scripted_http_server()
  {
    for (const auto& connection : m_connections)
    {
      connection->close();
    }
  }
  scripted_http_server(const scripted_http_server&) = delete;
  scripted_http_server& operator=(const scripted_http_server&) = delete;
  scripted_http_server(scripted_http_server&&) = delete;
  scripted_http_server& operator=(scripted_http_server&&) = delete;

  transport::endpoint address() const
  {
    return {"127.0.0.1", m_listener.port()};
  }

private:
  void accept(const async_io::tcp_connection::pointer& connection)
  {
    const auto parser = std::make_shared<async_io::http_parser>(async_io::message_kind::request,
                                                                async_io::parse_limits{});
    m_connections.push_back(connection);
    connection->start(
        [this, connection, parser](std::string_view data)
        {
          parser->feed(data);
          if (!parser->is_complete())
          {
            return;
          }
          const std::string answer = m_on_request(parser->head(), parser->take_body());
          *parser = async_io::http_parser(async_io::message_kind::request, {});
          if (answer.empty())
          {
            connection->close();
            return;
          }
          connection->write(answer);
        },
        [](async_io::close_reason) {});
  }

  async_io::tcp_listener m_listener;
  handler m_on_request;
  std::vector<async_io::tcp_connection::pointer> m_connections;
};

} // namespace pollenyoke::test
