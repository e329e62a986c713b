#include "LoadScene.h"

#include <algorithm>
#include <future>

#include <cppunit/TestAssert.h>

#include "Common/BootClock.h"
#include "Common/Digest.h"

namespace pollenyoke::test
{

namespace
{

using async_io::make_response;
using async_io::message_head;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds tick_interval{3};
// As in Gateway/BackendTable.cpp.
constexpr milliseconds load_report_lifetime{700};
constexpr milliseconds partial_report_lifetime{250};
constexpr milliseconds whole_report_lifetime{2500};

peers::engine_mark mark_of(const protocol::engine_report& report)
{
  return {report.started_ms, report.orders};
}

} // namespace

agent_process::agent_process(transport::endpoint engine, transport::endpoint origin,
                             rollout::weight_shape shape, handler on_report)
    : m_engine(std::move(engine)), m_origin(std::move(origin)), m_shape(shape),
      m_on_report(std::move(on_report)), m_keep_running(std::make_unique<async_io::timer>(m_loop))
{
  m_keep_running->start(std::chrono::hours(1), [] {});
  m_thread = std::thread([this] { m_loop.run(); });
}

agent_process::~agent_process()
{
  kill();
  m_loop.stop();
  m_thread.join();
}

void agent_process::call(const std::function<void()>& work)
{
  std::promise<void> done;
  m_loop.post(
      [&]
      {
        work();
        done.set_value();
      });
  done.get_future().wait();
}

void agent_process::kill()
{
  call(
      [this]
      {
        m_agent = nullptr;
        m_caller = nullptr;
      });
}

void agent_process::restart(std::uint64_t newest_version)
{
  kill();
  call(
      [this, newest_version]
      {
        m_caller = std::make_unique<async_io::http_caller>(m_loop);
        m_agent = std::make_unique<rollout::rollout_agent>(
            rollout::fetch_environment{
                .loop = m_loop,
                .caller = *m_caller,
                .self = "127.0.0.1",
                .peer_port = 1,
                // As early as the rule of loads allows.
                .version_limit = milliseconds(1),
                .region = "east",
                .hosts =
                    [] {
                      return std::vector<rollout::rollout_host>{{"127.0.0.1", "east"}};
                    },
                .has_heard_all = [] { return true; },
                .origin = [this] { return m_origin; },
                .announce =
                    [](const std::string&, const peers::piece_announcement&) {
                    }},
            m_engine, rollout::rollout_handlers{m_on_report, [] {
                                                }});
        m_agent->set_model("m", m_shape);
        if (newest_version > 1)
        {
          m_agent->add_version({"m", newest_version});
        }
        m_agent->start();
      });
}

void agent_process::stand_still(milliseconds time)
{
  const auto started = std::make_shared<std::promise<void>>();
  m_loop.post(
      [started, time]
      {
        started->set_value();
        std::this_thread::sleep_for(time);
      });
  started->get_future().wait();
}

void agent_process::add_version(std::uint64_t version)
{
  m_loop.post(
      [this, version]
      {
        if (m_agent)
        {
          m_agent->add_version({"m", version});
        }
      });
}

void agent_process::send_proof(const peers::engine_mark& mark)
{
  m_loop.post(
      [this, mark]
      {
        if (m_agent)
        {
          m_agent->add_proof(mark);
        }
      });
}

void entry_view::receive(const protocol::engine_report& report, const rollout::engine_state& state)
{
  m_report = report;
  m_state = state;
  if (state.proven)
  {
    m_proven = mark_of(report);
  }
}

bool entry_view::remembers(const peers::engine_mark& mark) const
{
  return m_proven == mark;
}

milliseconds entry_view::age() const
{
  return std::chrono::duration_cast<milliseconds>(boot_clock::now() - m_state.asked);
}

bool entry_view::is_proven() const
{
  return m_report && (m_state.proven || remembers(mark_of(*m_report)));
}

std::uint64_t entry_view::version_for_whole(unsigned layers) const
{
  const bool is_used = is_proven() && protocol::holds_all(m_report->layers, layers) &&
                       age() < whole_report_lifetime &&
                       (!m_state.loading || age() > load_report_lifetime);
  return is_used ? m_report->weight_version : 0;
}

protocol::layer_range entry_view::part() const
{
  const bool is_used = is_proven() && m_report->weight_version != 0 && m_report->layers &&
                       age() < partial_report_lifetime && !m_state.loading;
  return is_used ? *m_report->layers : protocol::layer_range{};
}

bool entry_view::is_served(std::uint64_t version, const peers::engine_mark& mark) const
{
  return m_report && m_state.proven && !m_state.loading && m_report->weight_version == version &&
         mark_of(*m_report) == mark && age() < partial_report_lifetime;
}

std::uint64_t entry_view::reported_version() const
{
  return m_report ? m_report->weight_version : 0;
}

load_scene::load_scene(const rollout::weight_shape& shape)
    : m_shape(shape), m_engine(m_loop, shape),
      m_origin(m_loop, [this](const message_head& head, const std::string&,
                              const deferred_http_server::responder& respond)
               { answer_origin_call(head, respond); })
{
  m_agent = std::make_unique<agent_process>(
      m_engine.address(), m_origin.address(), shape,
      [this](const protocol::engine_report& report, const rollout::engine_state& state)
      { m_loop.post([this, report, state] { handle_report(report, state); }); });
}

load_scene::~load_scene() = default;

engine_stand_in& load_scene::engine()
{
  return m_engine;
}

agent_process& load_scene::agent()
{
  return *m_agent;
}

entry_view& load_scene::entry()
{
  return m_entry;
}

std::string load_scene::problem() const
{
  return m_problem;
}

void load_scene::note(const std::string& problem)
{
  if (m_problem.empty())
  {
    m_problem = problem;
  }
}

void load_scene::restart_agent(std::uint64_t newest_version)
{
  m_agent->restart(newest_version);
}

void load_scene::answer_origin_call(const message_head& head,
                                    const deferred_http_server::responder& respond)
{
  const bool is_manifest = async_io::path_of(head.target).starts_with("/v1/manifest/");
  if (on_origin_call && !on_origin_call(is_manifest))
  {
    respond({});
    return;
  }
  const std::uint64_t version = std::stoull(async_io::query_parameter(head.target, "version"));
  if (!is_manifest)
  {
    const auto piece = std::stoul(async_io::query_parameter(head.target, "num"));
    respond(make_response(200, "application/octet-stream",
                          piece_bytes(version, static_cast<std::uint32_t>(piece)), true));
    return;
  }
  std::string digests;
  for (std::uint32_t piece = 0; piece < m_shape.pieces; ++piece)
  {
    digests += (piece == 0 ? "\"" : ",\"") +
               to_hex(sha256(std::string_view(piece_bytes(version, piece)))) + "\"";
  }
  respond(make_response(200, "application/json",
                        R"({"model":"m","version":)" + std::to_string(version) +
                            R"(,"chunk_bytes":100,"digests":[)" + digests + "]}",
                        true));
}

void load_scene::handle_report(const protocol::engine_report& report,
                               const rollout::engine_state& state)
{
  const auto mark = mark_of(report);
  if (state.proven && !m_engine.problem_at(mark).empty())
  {
    note("said to be proven, but " + m_engine.problem_at(mark));
  }
  if (state.proven && !state.loading && mark == m_engine.mark() &&
      report.weight_version == m_engine.version() && !m_engine.problem().empty())
  {
    note("said to be proven and served, but " + m_engine.problem());
  }
  if (m_entry.returns_proofs && !state.proven && m_entry.remembers(mark))
  {
    m_agent->send_proof(mark);
  }
  m_entry.receive(report, state);
  if (on_report)
  {
    on_report(report, state);
  }
}

void load_scene::send_requests()
{
  if (m_engine.is_loading() || m_engine.version() == 0)
  {
    return;
  }
  const std::uint64_t whole = m_entry.version_for_whole(m_shape.layers);
  const bool runs_whole = whole == m_engine.version() && m_engine.holds_all();
  const auto part = m_entry.part();
  const bool runs_part = !part.is_empty() && m_engine.version() == m_entry.reported_version() &&
                         m_engine.layers().contains(part);
  const protocol::layer_range used = runs_whole  ? m_engine.layers()
                                     : runs_part ? part
                                                 : protocol::layer_range{};
  if (const std::string problem = m_engine.problem(used); !problem.empty())
  {
    note("token made although " + problem);
  }
}

void load_scene::tick()
{
  m_engine.advance();
  if (on_tick)
  {
    on_tick();
  }
  send_requests();
  if (m_condition() || steady_clock::now() > m_give_up)
  {
    m_loop.stop();
    return;
  }
  m_timer.start(tick_interval, [this] { tick(); });
}

bool load_scene::run_until(const std::function<bool()>& condition, milliseconds limit)
{
  m_condition = condition;
  m_give_up = steady_clock::now() + limit;
  m_timer.start(milliseconds(0), [this] { tick(); });
  m_loop.run();
  return condition();
}

void load_scene::run_for(milliseconds time)
{
  (void)run_until([] { return false; }, time);
}

bool load_scene::serves(std::uint64_t version) const
{
  return m_engine.version() == version && m_engine.holds_all() && !m_engine.is_loading() &&
         m_engine.problem().empty() && m_entry.is_served(version, m_engine.mark());
}

} // namespace pollenyoke::test
