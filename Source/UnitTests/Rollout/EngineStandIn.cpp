#include "EngineStandIn.h"

#include <algorithm>

#include <cppunit/TestAssert.h>

namespace pollenyoke::test
{

namespace
{

using async_io::make_response;
using async_io::message_head;
using async_io::query_parameter;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The rule excuses a piece that turned bad this long before it was taken.
constexpr milliseconds excused_age{3000};

std::optional<std::uint64_t> number_in(const std::string& order, const std::string& name)
{
  const auto at = order.find("\"" + name + "\":");
  return at == std::string::npos ? std::nullopt
                                 : std::optional(std::stoull(order.substr(at + name.size() + 3)));
}

engine_call kind_of(const message_head& head)
{
  const auto path = async_io::path_of(head.target);
  return path == "/v1/report"                 ? engine_call::report
         : path == "/v1/order"                ? engine_call::order
         : path.starts_with("/v1/stage-put/") ? engine_call::stage_put
                                              : engine_call::stage_get;
}

std::uint32_t piece_of(const message_head& head)
{
  const std::string number = query_parameter(head.target, "num");
  return number.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(number));
}

} // namespace

std::string piece_bytes(std::uint64_t version, std::uint32_t piece)
{
  return "version " + std::to_string(version) + " piece " + std::to_string(piece);
}

deferred_http_server::deferred_http_server(async_io::event_loop& loop, handler on_call)
    : m_listener(loop, [this](const async_io::tcp_connection::pointer& connection)
                 { accept(connection); }),
      m_on_call(std::move(on_call))
{
  CPPUNIT_ASSERT(m_listener.listen({"127.0.0.1", 0}));
}

deferred_http_server::~deferred_http_server()
{
  close_connections();
}

transport::endpoint deferred_http_server::address() const
{
  return {"127.0.0.1", m_listener.port()};
}

void deferred_http_server::close_connections()
{
  for (const auto& connection : m_connections)
  {
    connection->close();
  }
  m_connections.clear();
}

void deferred_http_server::accept(const async_io::tcp_connection::pointer& connection)
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
        const message_head head = parser->head();
        const std::string body = parser->take_body();
        *parser = async_io::http_parser(async_io::message_kind::request, {});
        m_on_call(head, body,
                  [connection](const std::string& answer)
                  {
                    if (!connection->is_open())
                    {
                      return;
                    }
                    if (answer.empty())
                    {
                      connection->close();
                      return;
                    }
                    connection->write(answer);
                  });
      },
      [](async_io::close_reason) {});
}

engine_stand_in::engine_stand_in(async_io::event_loop& loop, const rollout::weight_shape& shape)
    : m_shape(shape), m_server(loop, [this](const message_head& head, const std::string& body,
                                            const deferred_http_server::responder& respond)
                               { receive(head, body, respond); })
{
}

transport::endpoint engine_stand_in::address() const
{
  return m_server.address();
}

void engine_stand_in::hold(std::uint64_t version)
{
  m_version = version;
  for (unsigned layer = 0; layer < m_shape.layers; ++layer)
  {
    m_layers[layer] = {};
  }
  for (std::uint32_t piece = 0; piece < m_shape.pieces; ++piece)
  {
    m_staged[piece] = {piece_bytes(version, piece), std::nullopt};
  }
}

void engine_stand_in::stand_still(milliseconds time)
{
  m_still_until = steady_clock::now() + time;
}

void engine_stand_in::release()
{
  const auto held = std::move(m_held);
  m_held.clear();
  for (const waiting_call& call : held)
  {
    execute(call, call_fate::answered);
  }
}

void engine_stand_in::release(engine_call kind)
{
  const auto others = std::stable_partition(m_held.begin(), m_held.end(),
                                            [kind](const waiting_call& call)
                                            { return kind_of(call.head) != kind; });
  const std::vector<waiting_call> released(others, m_held.end());
  m_held.erase(others, m_held.end());
  for (const waiting_call& call : released)
  {
    execute(call, call_fate::answered);
  }
}

void engine_stand_in::release_answers()
{
  const auto held = std::move(m_held_answers);
  m_held_answers.clear();
  for (const auto& write : held)
  {
    write();
  }
}

void engine_stand_in::restart(bool loses_staged_pieces)
{
  started_ms += 1000;
  m_orders = 0;
  m_version = 0;
  m_layers.clear();
  m_load.reset();
  m_waiting.clear();
  m_held.clear();
  if (loses_staged_pieces)
  {
    m_staged.clear();
  }
  m_server.close_connections();
}

void engine_stand_in::spoil(std::uint32_t piece)
{
  staged_piece& staged = m_staged[piece];
  staged.bytes = "spoilt";
  staged.bad_since = staged.bad_since.value_or(steady_clock::now());
}

void engine_stand_in::advance()
{
  const auto now = steady_clock::now();
  if (now < m_still_until)
  {
    return;
  }
  if (m_load && now >= m_load->ends)
  {
    complete_load();
  }
  const auto waiting = std::move(m_waiting);
  m_waiting.clear();
  for (const waiting_call& call : waiting)
  {
    receive(call.head, call.body, call.respond);
  }
}

void engine_stand_in::complete_load()
{
  m_version = m_load->version;
  m_layers = m_load->layers;
  m_load.reset();
}

peers::engine_mark engine_stand_in::mark() const
{
  return {started_ms, m_orders};
}

std::uint64_t engine_stand_in::version() const
{
  return m_version;
}

protocol::layer_range engine_stand_in::layers() const
{
  return m_layers.empty()
             ? protocol::layer_range{}
             : protocol::layer_range{m_layers.begin()->first, m_layers.rbegin()->first + 1};
}

bool engine_stand_in::holds_all() const
{
  return m_layers.size() == m_shape.layers;
}

bool engine_stand_in::is_loading() const
{
  return m_load.has_value();
}

std::string engine_stand_in::problem() const
{
  return first_problem(m_layers);
}

std::string engine_stand_in::problem(const protocol::layer_range& layers) const
{
  const layer_states used(m_layers.lower_bound(layers.from), m_layers.lower_bound(layers.to));
  return first_problem(used);
}

std::string engine_stand_in::problem_at(const peers::engine_mark& mark) const
{
  const auto found = m_problems.find({mark.started_ms, mark.orders});
  return found == m_problems.end() ? std::string() : found->second;
}

std::string engine_stand_in::first_problem(const layer_states& layers)
{
  const auto bad = std::find_if(layers.begin(), layers.end(),
                                [](const auto& layer) { return !layer.second.empty(); });
  return bad == layers.end() ? std::string() : bad->second;
}

void engine_stand_in::receive(const message_head& head, const std::string& body,
                              const deferred_http_server::responder& respond)
{
  const waiting_call call{head, body, respond};
  const auto is_still = [this]
  {
    return steady_clock::now() < m_still_until;
  };
  if (is_still())
  {
    m_waiting.push_back(call);
    return;
  }
  const std::uint64_t started = started_ms;
  const auto fate = on_call ? on_call(kind_of(head), piece_of(head)) : call_fate::answered;
  if (fate == call_fate::lost || started != started_ms)
  {
    respond({});
    return;
  }
  if (fate == call_fate::held)
  {
    m_held.push_back(call);
    return;
  }
  if (is_still())
  {
    m_waiting.push_back(call);
    return;
  }
  execute(call, fate);
}

void engine_stand_in::execute(const waiting_call& call, call_fate fate)
{
  const auto kind = kind_of(call.head);
  const std::uint32_t piece = piece_of(call.head);
  const std::uint64_t started = started_ms;
  std::string answer;
  switch (kind)
  {
  case engine_call::report:
    answer = report();
    break;
  case engine_call::order:
    answer = execute_order(call.body);
    break;
  case engine_call::stage_put:
    m_staged[piece] = {call.body, std::nullopt};
    answer = make_response(200, "", "", true);
    break;
  case engine_call::stage_get:
    answer = m_staged.contains(piece)
                 ? make_response(200, "application/octet-stream", m_staged[piece].bytes, true)
                 : make_response(404, "", "", true);
    break;
  }
  if (on_executed)
  {
    on_executed(kind, piece);
  }
  const auto write = [this, kind, piece, started, fate, answer, respond = call.respond]
  {
    const bool lost = fate == call_fate::answer_lost || started != started_ms;
    respond(lost ? std::string() : answer);
    if (on_answered)
    {
      on_answered(kind, piece);
    }
  };
  if (fate == call_fate::answer_held)
  {
    m_held_answers.push_back(write);
    return;
  }
  write();
}

std::string engine_stand_in::execute_order(const std::string& order)
{
  const auto answer = [this](unsigned status)
  {
    order_statuses.push_back(status);
    return make_response(status, "", "", true);
  };
  const std::uint64_t version = number_in(order, "version").value();
  protocol::layer_range wanted{0, m_shape.layers};
  if (const auto to = number_in(order, "to"))
  {
    wanted = {static_cast<unsigned>(number_in(order, "from").value()), static_cast<unsigned>(*to)};
  }
  if (version == m_version && wanted == layers())
  {
    return answer(200);
  }
  if (m_load || number_in(order, "expected") != m_orders)
  {
    return answer(409);
  }
  ++m_orders;
  ++accepted_orders;
  ordered_versions.push_back(version);
  if (orders_to_ignore > 0)
  {
    --orders_to_ignore;
    m_problems[{started_ms, m_orders}] = problem();
    return answer(202);
  }
  load next{.version = version, .layers = {}, .ends = steady_clock::now() + load_time};
  for (unsigned layer = wanted.from; layer < wanted.to; ++layer)
  {
    const bool keeps = version == m_version && m_layers.contains(layer);
    next.layers[layer] = keeps ? m_layers[layer] : find_problem(version, layer);
  }
  m_problems[{started_ms, m_orders}] = first_problem(next.layers);
  if (version != m_version)
  {
    m_version = 0;
    m_layers.clear();
  }
  m_load = std::move(next);
  if (load_time.count() == 0)
  {
    complete_load();
  }
  return answer(202);
}

std::string engine_stand_in::report() const
{
  const std::string model =
      m_version == 0 ? "" : R"({"name":"m","version":)" + std::to_string(m_version) + "}";
  const auto held = layers();
  const std::string layers = m_version == 0 || !states_layers
                                 ? ""
                                 : "\"layers\":{\"from\":" + std::to_string(held.from) +
                                       ",\"to\":" + std::to_string(held.to) + "},";
  return make_response(200, "application/json",
                       "{" + layers + "\"models\":[" + model +
                           "],\"busy\":" + (m_load ? "true" : "false") +
                           ",\"sequence\":" + std::to_string(m_orders) +
                           ",\"born\":" + std::to_string(started_ms) + "}",
                       true);
}

std::string engine_stand_in::find_problem(std::uint64_t version, unsigned layer) const
{
  const auto range = rollout::pieces_for_layers({layer, layer + 1}, m_shape);
  for (std::uint32_t piece = range.first; piece < range.end; ++piece)
  {
    const std::string name = "piece " + std::to_string(piece);
    const auto staged = m_staged.find(piece);
    if (staged == m_staged.end())
    {
      return name + " was missing";
    }
    if (staged->second.bytes == piece_bytes(version, piece))
    {
      continue;
    }
    if (!staged->second.bad_since)
    {
      return name + " was of another version";
    }
    const auto age =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - *staged->second.bad_since);
    if (age > excused_age)
    {
      return name + " had been bad for " + std::to_string(age.count()) + " ms";
    }
  }
  return {};
}

} // namespace pollenyoke::test
