#include "Emulator/EngineWork.h"

#include <algorithm>
#include <random>

#include "Common/Log.h"
#include "Emulator/AnswerContent.h"
#include "platform/Decode.h"
#include "platform/Names.h"

namespace pollenyoke::emulator
{

namespace
{

namespace names = platform::names;
using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

constexpr unsigned default_priority = 5;
// A pass reads at most this many prompt tokens beside the tokens that it writes.
constexpr double prompt_tokens_per_pass = 2048;
constexpr std::string_view versions_field = "X-Pollenyoke-Weight-Versions";

std::uint64_t unix_ms()
{
  return static_cast<std::uint64_t>(
      duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::uint64_t number_field(const http_request& request, std::string_view name,
                           std::uint64_t fallback)
{
  std::uint64_t value = fallback;
  if (const auto* text = request.head.find(name))
  {
    (void)async_io::parse_number(*text, value);
  }
  return value;
}

void answer_as(const step_effect& effect, const std::shared_ptr<http_reply>& reply, unsigned status,
               std::string_view fields = {}, std::string_view body = {})
{
  switch (effect.answer)
  {
  case answer_fate::sent:
    reply->send(status, fields, body);
    return;
  case answer_fate::lost:
    return;
  case answer_fate::reset:
    reply->reset();
    return;
  }
}

} // namespace

engine_work::engine_work(const server_environment& environment, std::string model,
                         const engine_model& traits, const engine_directory& engines,
                         std::uint64_t first_version)
    : m_record(environment.record), m_later(environment.loop), m_model(std::move(model)),
      m_traits(traits), m_engines(engines), m_started_ms(unix_ms())
{
  if (first_version != 0)
  {
    m_version = first_version;
    m_layers = {0, traits.layers};
    for (std::uint32_t number = 0; number < traits.pieces; ++number)
    {
      m_staged[number] = make_piece(first_version, number, traits.piece_bytes);
    }
  }
}

bool engine_work::holds(const protocol::layer_range& layers) const
{
  return m_version != 0 && m_layers.contains(layers);
}

step_effect engine_work::pass_step(load_step step, double progress)
{
  return m_load_observer ? m_load_observer(step, progress) : step_effect{};
}

unsigned engine_work::refusal(const server_job& job,
                              const std::vector<protocol::pipeline_stage>& pipeline,
                              transport::endpoint& at_fault) const
{
  const std::uint64_t wanted = number_field(job.request, names::expected_weights, m_version);
  if (pipeline.empty())
  {
    return holds({0, m_traits.layers}) && wanted == m_version ? 0 : 421;
  }
  for (const protocol::pipeline_stage& stage : pipeline)
  {
    const auto engine = m_engines.find(stage.address);
    const bool ready = engine != m_engines.end() && engine->second->holds(stage.layers) &&
                       engine->second->m_version == wanted;
    if (!ready)
    {
      at_fault = stage.address;
      return 421;
    }
  }
  return 0;
}

void engine_work::accept(const std::shared_ptr<server_job>& job)
{
  if (!m_used_load)
  {
    m_used_load = true;
    (void)pass_step(load_step::request_after_load);
  }
  std::vector<protocol::pipeline_stage> pipeline;
  if (const auto* path = job->request.head.find(names::pipeline))
  {
    pipeline = decode_pipeline(*path).value_or(std::vector<protocol::pipeline_stage>{});
  }
  transport::endpoint at_fault;
  const unsigned status =
      m_waiting.size() >= m_traits.queue ? 503 : refusal(*job, pipeline, at_fault);
  if (status != 0)
  {
    std::string fields;
    if (at_fault.port != 0)
    {
      async_io::append_field(fields, names::server_at_fault, transport::to_string(at_fault));
    }
    refuse(*job, status, fields);
    return;
  }
  job->reply->on_caller_gone(
      [this, weak = std::weak_ptr<server_job>(job)]
      {
        if (const auto gone = weak.lock())
        {
          drop(gone);
        }
      });
  const protocol::request_labels labels = platform::decode_labels(job->request.head);
  m_waiting.push_back(
      {.job = job,
       .pipeline = std::move(pipeline),
       .prompt_tokens = static_cast<double>(labels.prompt_tokens),
       .next_event = 1 + static_cast<unsigned>(number_field(job->request, names::last_event, 0)),
       .event_count = event_count(job->id),
       .priority = static_cast<unsigned>(
           number_field(job->request, names::request_priority, default_priority))});
  start_pass();
}

void engine_work::drop(const std::shared_ptr<server_job>& job)
{
  end_run(m_record, *job);
  const auto is_gone = [&job](const sequence& entry)
  {
    return entry.job == job;
  };
  m_waiting.remove_if(is_gone);
  m_running.remove_if(is_gone);
}

/// Moves waiting requests into the batch, the most urgent first. While an
/// order waits for the running work, nothing new is admitted.
void engine_work::admit()
{
  const auto now = steady_clock::now();
  m_waiting.remove_if(
      [now](const sequence& entry)
      {
        if (now < entry.job->due)
        {
          return false;
        }
        refuse(*entry.job, 503);
        return true;
      });
  while (!m_load && !m_waiting.empty() && m_running.size() < m_traits.slots)
  {
    const auto first = std::min_element(m_waiting.begin(), m_waiting.end(),
                                        [](const sequence& a, const sequence& b)
                                        { return a.priority < b.priority; });
    first->version = m_version;
    m_running.splice(m_running.end(), m_waiting, first);
  }
}

void engine_work::start_pass()
{
  if (m_in_pass)
  {
    return;
  }
  admit();
  if (m_running.empty())
  {
    begin_load();
    return;
  }
  m_in_pass = true;
  double budget = prompt_tokens_per_pass;
  double read = 0;
  unsigned writers = 0;
  for (sequence& entry : m_running)
  {
    const double tokens = std::min(entry.prompt_tokens, budget);
    entry.prompt_tokens -= tokens;
    budget -= tokens;
    read += tokens;
    writers += entry.prompt_tokens <= 0 ? 1U : 0U;
  }
  const double steps = writers > 0 ? m_traits.steps_per_event : 1;
  const double pass_ms = steps * (m_traits.step_ms + m_traits.step_ms_per_request * writers) +
                         read / m_traits.prompt_tokens_per_s * 1000;
  m_later.after(duration_cast<nanoseconds>(duration<double, std::milli>(pass_ms * m_slowness)),
                [this] { finish_pass(); });
}

void engine_work::finish_pass()
{
  m_in_pass = false;
  const auto now = steady_clock::now();
  for (auto entry = m_running.begin(); entry != m_running.end();)
  {
    const auto current = entry++;
    if (current->prompt_tokens > 0)
    {
      continue;
    }
    const bool overdue = now >= current->job->due;
    if (overdue || cut_broken_pipeline(*current))
    {
      break_off_run(m_record, *current->job);
      current->job->reply->reset();
      m_running.erase(current);
      continue;
    }
    send_event(*current);
    if (current->next_event > current->event_count)
    {
      end_run(m_record, *current->job);
      current->job->reply->end_stream();
      m_running.erase(current);
    }
  }
  start_pass();
}

/// True if an engine of the pipeline no longer holds its part.
bool engine_work::cut_broken_pipeline(const sequence& writer)
{
  return std::any_of(writer.pipeline.begin(), writer.pipeline.end(),
                     [&](const protocol::pipeline_stage& stage)
                     {
                       const auto engine = m_engines.find(stage.address);
                       return engine == m_engines.end() || !engine->second->holds(stage.layers) ||
                              engine->second->m_version != writer.version;
                     });
}

void engine_work::send_event(sequence& writer)
{
  const server_job& job = *writer.job;
  arrival& came = m_record.arrival_at(job.arrival);
  if (!came.ran)
  {
    begin_run(m_record, job);
    came.weight_version = m_version;
    std::string fields = "Content-Type: text/event-stream\r\n";
    async_io::append_field(fields, versions_field, std::to_string(m_version));
    job.reply->begin_stream(answer_fields(job, fields));
  }
  if (writer.next_event > writer.event_count)
  {
    // The caller has all events and lacks only the end.
    return;
  }
  judge_layers(writer);
  job.reply->write_chunk(make_event(job.id, job.run, writer.next_event++));
}

/// Of each event: layers may be added while a request runs.
void engine_work::judge_layers(const sequence& writer)
{
  arrival& came = m_record.arrival_at(writer.job->arrival);
  const auto judge = [&came](const engine_work& engine, const protocol::layer_range& layers)
  {
    const layer_problem* problem = engine.find_layer_problem(layers);
    if (problem != nullptr && came.weight_problem.empty())
    {
      came.weight_problem = problem->text;
      came.disturbed_load = problem->disturbance;
    }
  };
  if (writer.pipeline.empty())
  {
    judge(*this, {0, m_traits.layers});
  }
  for (const protocol::pipeline_stage& stage : writer.pipeline)
  {
    judge(*m_engines.at(stage.address), stage.layers);
  }
}

engine_state engine_work::current_state() const
{
  const auto total = m_traits.memory_tokens * m_traits.layers;
  std::uint64_t used = 0;
  for (const sequence& entry : m_running)
  {
    used += number_field(entry.job->request, names::token_counts, 1000) * m_traits.layers;
  }
  return {.model = m_model,
          .layers = m_layers,
          .weight_version = m_version,
          .busy = m_load.has_value(),
          .orders = m_orders,
          .started_ms = m_started_ms,
          .waiting = static_cast<unsigned>(m_waiting.size()),
          .running = static_cast<unsigned>(m_running.size()),
          .memory_used = std::min(used, total),
          .memory_total = total};
}

void engine_work::fill_record(server_record& record) const
{
  record.model = m_model;
  record.layers = m_layers;
  record.weight_version = m_version;
  record.sequence = m_orders;
  record.started_ms = m_started_ms;
}

bool engine_work::answer_call(const http_request& request, const std::shared_ptr<http_reply>& reply)
{
  const auto path = async_io::path_of(request.head.target);
  if (path == "/v1/report")
  {
    answer_report(reply);
    return true;
  }
  if (path == "/v1/order")
  {
    receive_order(request, reply);
    return true;
  }
  if (path == "/v1/stage-put/" + m_model || path == "/v1/stage-get/" + m_model)
  {
    answer_stage(request, reply);
    return true;
  }
  return false;
}

void engine_work::answer_report(const std::shared_ptr<http_reply>& reply)
{
  step_effect effect;
  if (!m_reported_load)
  {
    m_reported_load = true;
    effect = pass_step(load_step::report_after_load);
  }
  else if (!m_put_pieces.empty() && m_read_back == m_put_pieces)
  {
    effect = pass_step(load_step::report_after_check);
  }
  answer_as(effect, reply, 200, "Content-Type: application/json\r\n",
            encode_engine_state(current_state()));
}

void engine_work::put_piece(std::uint32_t number, const std::string& content,
                            const std::shared_ptr<http_reply>& reply)
{
  m_staged[number] = content;
  m_spoilt_at.erase(number);
  if (!m_read_back.empty())
  {
    m_put_pieces.clear();
    m_read_back.clear();
  }
  m_put_pieces.insert(number);
  const double share = static_cast<double>(m_put_pieces.size()) / m_traits.pieces;
  answer_as(pass_step(load_step::piece_staged, share), reply, 200);
}

void engine_work::answer_stage(const http_request& request,
                               const std::shared_ptr<http_reply>& reply)
{
  std::uint64_t number = 0;
  const bool has_number =
      async_io::parse_number(async_io::query_parameter(request.head.target, "num"), number);
  if (request.head.method == "PUT")
  {
    put_piece(static_cast<std::uint32_t>(number), request.body, reply);
    return;
  }
  if (!has_number)
  {
    std::vector<std::uint32_t> held;
    for (const auto& [piece, content] : m_staged)
    {
      held.push_back(piece);
    }
    reply->send(200, "Content-Type: application/json\r\n", encode_staged(held));
    return;
  }
  const auto piece = m_staged.find(static_cast<std::uint32_t>(number));
  if (piece == m_staged.end())
  {
    reply->send(404, {}, {});
    return;
  }
  step_effect effect;
  if (m_put_pieces.contains(piece->first))
  {
    m_read_back.insert(piece->first);
    effect = pass_step(load_step::piece_read_back, static_cast<double>(m_read_back.size()) /
                                                       static_cast<double>(m_put_pieces.size()));
  }
  answer_as(effect, reply, 200, {}, piece->second);
  if (m_staged_reads_left > 0 && --m_staged_reads_left == 0)
  {
    const auto action = std::move(m_after_staged_reads);
    action();
  }
}

void engine_work::receive_order(const http_request& request,
                                const std::shared_ptr<http_reply>& reply)
{
  const auto order = decode_load_order(request.body);
  if (!order || order->operation != "start" || order->model != m_model)
  {
    reply->send(400, {}, {});
    return;
  }
  const step_effect effect = pass_step(load_step::order_received);
  if (effect.answer == answer_fate::reset)
  {
    reply->reset();
  }
  else if (effect.delay.count() > 0)
  {
    m_later.after(effect.delay, [this, order = *order, reply] { answer_order(order, reply); });
  }
  else
  {
    answer_order(*order, reply);
  }
}

void engine_work::answer_order(const load_order& order, const std::shared_ptr<http_reply>& reply)
{
  const protocol::layer_range layers =
      order.layers.value_or(protocol::layer_range{0, m_traits.layers});
  if (m_version == order.version && m_layers == layers)
  {
    reply->send(200, {}, {});
    return;
  }
  if (m_load || (order.expected_orders && *order.expected_orders != m_orders))
  {
    log_info(log_category::process, "engine refuses an order",
             {{"at", m_record.now()},
              {"version", order.version},
              {"expected", order.expected_orders.value_or(0)},
              {"orders", m_orders}});
    reply->send(409, {}, {});
    return;
  }
  accept_order(order, layers, reply);
}

void engine_work::accept_order(const load_order& order, const protocol::layer_range& layers,
                               const std::shared_ptr<http_reply>& reply)
{
  ++m_orders;
  m_load = take_staged(order, layers);
  m_put_pieces.clear();
  m_read_back.clear();
  log_info(log_category::process, "engine takes pieces",
           {{"at", m_record.now()},
            {"version", order.version},
            {"from_layer", layers.from},
            {"to_layer", layers.to},
            {"expected", order.expected_orders.value_or(0)},
            {"spoilt", m_spoilt_at.size()},
            {"problem", m_load->problems.empty() ? "" : m_load->problems.begin()->second.text},
            {"disturbance", m_disturbance}});
  m_disturbance.clear();
  const step_effect effect = pass_step(load_step::order_accepted);
  if (!m_load)
  {
    // The engine has just crashed.
    return;
  }
  if (effect.delay.count() > 0)
  {
    m_later.after(effect.delay, [effect, reply] { answer_as(effect, reply, 202); });
  }
  else
  {
    answer_as(effect, reply, 202);
  }
  // More layers of the same version load beside the work.
  if (m_version == order.version || order.cuts_running_work)
  {
    if (order.cuts_running_work && m_version != order.version)
    {
      const auto cut = std::move(m_running);
      m_running.clear();
      for (const sequence& entry : cut)
      {
        break_off_run(m_record, *entry.job);
        entry.job->reply->reset();
      }
    }
    begin_load();
    return;
  }
  start_pass();
}

engine_work::load engine_work::take_staged(const load_order& order,
                                           const protocol::layer_range& layers) const
{
  load out{.order = order, .layers = layers, .taken_layers = 0, .problems = {}};
  for (unsigned layer = layers.from; layer < layers.to; ++layer)
  {
    if (m_version == order.version && holds({layer, layer + 1}))
    {
      continue;
    }
    ++out.taken_layers;
    if (auto problem = find_staging_problem(order.version, layer); !problem.empty())
    {
      out.problems[layer] = {std::move(problem), m_disturbance};
    }
  }
  return out;
}

std::string engine_work::find_staging_problem(std::uint64_t version, unsigned layer) const
{
  const auto [first, last] = pieces_of_layers(m_traits, {layer, layer + 1});
  for (std::uint32_t number = first; number < last; ++number)
  {
    const auto piece = m_staged.find(number);
    if (piece == m_staged.end())
    {
      return "layers were loaded without piece " + std::to_string(number);
    }
    if (piece->second == make_piece(version, number, m_traits.piece_bytes))
    {
      continue;
    }
    const auto spoilt = m_spoilt_at.find(number);
    if (spoilt == m_spoilt_at.end())
    {
      return "layers were loaded from a wrong piece " + std::to_string(number);
    }
    const auto age = duration_cast<std::chrono::milliseconds>(steady_clock::now() - spoilt->second);
    if (age > m_traits.spoilage_tolerance)
    {
      return "layers were loaded from piece " + std::to_string(number) +
             ", which had been bad for " + std::to_string(age.count()) + " ms";
    }
  }
  return {};
}

const engine_work::layer_problem*
engine_work::find_layer_problem(const protocol::layer_range& layers) const
{
  const auto first = m_layer_problems.lower_bound(layers.from);
  return first != m_layer_problems.end() && first->first < layers.to ? &first->second : nullptr;
}

void engine_work::begin_load()
{
  if (!m_load || m_loading)
  {
    return;
  }
  m_loading = true;
  const double share = static_cast<double>(m_load->taken_layers) / m_traits.layers;
  if (m_load->order.version != m_version)
  {
    m_version = 0;
    m_layers = {};
  }
  m_later.after(duration_cast<nanoseconds>(m_traits.load_time * share), [this] { finish_load(); });
  (void)pass_step(load_step::load_begun);
}

void engine_work::finish_load()
{
  const load done = *m_load;
  if (m_version != done.order.version)
  {
    m_layer_problems.clear();
  }
  std::erase_if(m_layer_problems,
                [&done](const auto& item) {
                  return !done.layers.contains({item.first, item.first + 1});
                });
  m_layer_problems.insert(done.problems.begin(), done.problems.end());
  m_layers = done.layers;
  m_version = done.order.version;
  m_load.reset();
  m_loading = false;
  m_reported_load = false;
  m_used_load = false;
  refuse_outdated();
  start_pass();
}

/// Requests that waited during a load may want the version before it.
void engine_work::refuse_outdated()
{
  m_waiting.remove_if(
      [this](const sequence& entry)
      {
        transport::endpoint at_fault;
        const unsigned status = refusal(*entry.job, entry.pipeline, at_fault);
        if (status != 0)
        {
          refuse(*entry.job, status);
        }
        return status != 0;
      });
}

void engine_work::lose_power()
{
  m_later.clear();
  for (const sequence& entry : m_running)
  {
    break_off_run(m_record, *entry.job);
  }
  m_waiting.clear();
  m_running.clear();
  m_load.reset();
  m_loading = false;
  m_in_pass = false;
  m_version = 0;
  m_layers = {};
  m_layer_problems.clear();
  m_orders = 0;
  m_put_pieces.clear();
  m_read_back.clear();
  m_reported_load = true;
  m_used_load = true;
  // The next instance must not have the start of this one.
  m_started_ms = std::max(unix_ms(), m_started_ms + 1);
}

void engine_work::lose_staged()
{
  m_staged.clear();
  m_spoilt_at.clear();
}

void engine_work::spoil_staged(double share, std::uint64_t random)
{
  std::mt19937_64 draw(random);
  for (auto& [number, content] : m_staged)
  {
    const bool drawn = std::uniform_real_distribution<double>(0, 1)(draw) < share;
    if (drawn)
    {
      spoil(number);
    }
  }
}

void engine_work::spoil(std::uint32_t number)
{
  std::string& content = m_staged.at(number);
  if (!content.empty() && !m_spoilt_at.contains(number))
  {
    content.front() = static_cast<char>(content.front() ^ 1);
    m_spoilt_at[number] = steady_clock::now();
  }
}

void engine_work::spoil_read_back(double share, std::uint64_t random)
{
  std::vector<std::uint32_t> pieces(m_read_back.begin(), m_read_back.end());
  std::mt19937_64 draw(random);
  std::shuffle(pieces.begin(), pieces.end(), draw);
  const auto count = static_cast<std::size_t>(share * static_cast<double>(pieces.size()));
  pieces.resize(std::min(pieces.size(), std::max<std::size_t>(count, 1)));
  std::for_each(pieces.begin(), pieces.end(), [this](std::uint32_t number) { spoil(number); });
}

void engine_work::observe_loads(load_observer observer)
{
  m_load_observer = std::move(observer);
}

void engine_work::set_disturbance(std::string name)
{
  m_disturbance = std::move(name);
}

void engine_work::after_staged_reads(unsigned count, std::function<void()> action)
{
  m_staged_reads_left = count;
  m_after_staged_reads = std::move(action);
}

void engine_work::set_slowness(double factor)
{
  m_slowness = factor;
}

} // namespace pollenyoke::emulator
