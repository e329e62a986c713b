#include "Rollout/RolloutAgent.h"

#include <algorithm>

#include "Common/BootClock.h"
#include "Common/Log.h"
#include "platform/Decode.h"
#include "platform/EngineCalls.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds confirmation_timeout{500};
// An engine that is still idle this long after it accepted an order will not execute it.
constexpr milliseconds order_start_timeout{2000};
// Passes over the staged pieces per load. One that takes too long is repeated: the host may have
// stood still.
constexpr unsigned max_checks = 3;
// An engine that ends its connections after each answer gets the order on one of its own.
constexpr unsigned max_confirmations = 4;

milliseconds since(async_io::time_point time)
{
  return std::chrono::duration_cast<milliseconds>(current_time() - time);
}

} // namespace

void rollout_agent::start_load(const load_step& step)
{
  ++m_load_attempt;
  m_load = step;
  m_load_base = {.mark = mark_of(*m_report),
                 .version = m_report->weight_version,
                 .sound = !engine_has_weights() || is_proven()};
  m_checks = 0;
  if (m_unanswered_order && held_pieces(m_unanswered_order->step.piece_version,
                                        m_unanswered_order->step.layers) != nullptr)
  {
    // An order that is only delayed would load its version from the pieces of the other one, so the
    // engine is given the same order again. It accepts one of the two.
    m_load = m_unanswered_order->step;
    m_load_base = m_unanswered_order->base;
    m_unanswered_order->restaged = true;
  }
  publish_report(!m_loads_while_serving);
  stage_piece(pieces_for_layers(m_load.layers, m_shape).first);
}

async_io::http_caller::handler
rollout_agent::for_current_load(async_io::http_caller::handler handle)
{
  return [this, attempt = m_load_attempt,
          handle = std::move(handle)](const result<async_io::http_response>& answer)
  {
    if (attempt == m_load_attempt)
    {
      handle(answer);
    }
  };
}

const piece_set* rollout_agent::pieces_to_stage() const
{
  return held_pieces(m_load.piece_version, m_load.layers);
}

void rollout_agent::stage_piece(std::uint32_t piece)
{
  const piece_set* pieces = pieces_to_stage();
  if (pieces == nullptr)
  {
    abort_load("pieces are no longer held");
    return;
  }
  const piece_range range = pieces_for_layers(m_load.layers, m_shape);
  if (piece == range.end)
  {
    begin_check();
    return;
  }
  ++m_unanswered_stagings;
  auto next = for_current_load(
      [this, piece](const result<async_io::http_response>& answer)
      {
        if (!answer || answer->head.status / 100 != 2)
        {
          abort_load(answer ? "staging answered " + std::to_string(answer->head.status)
                            : answer.error().message);
          return;
        }
        stage_piece(piece + 1);
      });
  m_environment.caller.call(platform::stage_put_call(m_engine, m_model, piece, *pieces->get(piece)),
                            [this, next = std::move(next)](const auto& answer)
                            {
                              --m_unanswered_stagings;
                              m_staging_is_known = m_staging_is_known && answer.has_value();
                              next(answer);
                            });
}

void rollout_agent::begin_check()
{
  ++m_checks;
  m_confirmations = 0;
  m_check.emplace(boot_clock::now(), m_load_base.mark.started_ms);
  // A piece that is still on its way may arrive behind the check, and be answered before the order.
  m_check_is_lasting = is_staging_known();
  verify_staged_piece(pieces_for_layers(m_load.layers, m_shape).first);
}

/// Reads each staged piece back right before the order, as it may have been corrupted since.
void rollout_agent::verify_staged_piece(std::uint32_t piece)
{
  if (piece == pieces_for_layers(m_load.layers, m_shape).end)
  {
    confirm_engine();
    return;
  }
  m_environment.caller.call(platform::stage_get_call(m_engine, m_model, piece),
                            for_current_load(
                                [this, piece](const result<async_io::http_response>& answer)
                                {
                                  const piece_set* pieces = pieces_to_stage();
                                  if (!answer || answer->head.status != 200 || pieces == nullptr ||
                                      !pieces->matches(piece, answer->body))
                                  {
                                    log_warning(log_category::weights,
                                                "staged piece differs from the manifest",
                                                {{"version", m_load.version}, {"piece", piece}});
                                    abort_load("staged piece is spoilt");
                                    return;
                                  }
                                  verify_staged_piece(piece + 1);
                                }));
}

/// The order follows on the same connection, so that it reaches the start of the engine that
/// reported, and an engine that has just answered accepts it without delay.
void rollout_agent::confirm_engine()
{
  ++m_confirmations;
  auto session = std::make_shared<async_io::call_session>();
  auto call = platform::report_call(m_engine);
  call.timeout = confirmation_timeout;
  call.session = session;
  m_environment.caller.call(
      std::move(call),
      for_current_load([this, session](const result<async_io::http_response>& answer)
                       { handle_confirmation(answer, session); }));
}

void rollout_agent::handle_confirmation(const result<async_io::http_response>& answer,
                                        std::shared_ptr<async_io::call_session> session)
{
  if (!answer || answer->head.status != 200)
  {
    abort_load("engine does not report");
    return;
  }
  const auto report = platform::decode_engine_report(answer->body);
  if (!report)
  {
    abort_load(report.error().message);
    return;
  }
  if (mark_of(*report) != m_load_base.mark)
  {
    abort_load("engine restarted or accepted another order");
    return;
  }
  if (report->waiting > 0 && !m_loads_while_serving)
  {
    abort_load("requests wait at the engine");
    return;
  }
  if (m_check->allows_order(report->started_ms, boot_clock::now()))
  {
    send_load_order(m_confirmations < max_confirmations ? std::move(session) : nullptr);
  }
  else if (m_checks < max_checks)
  {
    log_info(log_category::weights, "staged pieces were read back too long ago",
             {{"version", m_load.version}, {"passes", m_checks}});
    begin_check();
  }
  else
  {
    abort_load("staged pieces could not be read back in time");
  }
}

void rollout_agent::send_load_order(std::shared_ptr<async_io::call_session> session)
{
  const bool is_part = m_load.layers != protocol::layer_range{0, m_shape.layers};
  const auto layers = is_part ? std::optional(m_load.layers) : std::nullopt;
  auto call = platform::start_call(
      m_engine, m_model, m_load.version, layers, m_load_base.mark.orders,
      m_loads_while_serving ? platform::running_work::finish : platform::running_work::cut);
  call.timeout = std::min(call.timeout, m_check->order_time_limit(boot_clock::now()));
  call.session = std::move(session);
  m_order_in_flight = true;
  m_environment.caller.call(std::move(call),
                            for_current_load([this](const result<async_io::http_response>& answer)
                                             { handle_order_answer(answer); }));
}

void rollout_agent::handle_order_answer(const result<async_io::http_response>& answer)
{
  m_order_in_flight = false;
  if (!answer && answer.error().code == error_code::unavailable)
  {
    // Nothing was sent.
    if (m_confirmations < max_confirmations)
    {
      confirm_engine();
      return;
    }
    abort_load(answer.error().message);
    return;
  }
  if (!answer)
  {
    m_unanswered_order = {.step = m_load,
                          .base = m_load_base,
                          .check_is_lasting = m_check_is_lasting,
                          .lost_at = current_time()};
    abort_load("answer to the order was lost: " + answer.error().message);
    return;
  }
  // 200 says that an earlier order has loaded the same, from pieces that were checked then or not.
  if (answer->head.status != 202)
  {
    abort_load("order answered " + std::to_string(answer->head.status));
    return;
  }
  log_info(log_category::weights, "engine accepted the load order",
           {{"version", m_load.version},
            {"from_layer", m_load.layers.from},
            {"to_layer", m_load.layers.to},
            {"status", answer->head.status},
            {"running", m_report ? m_report->running : 0}});
  m_unanswered_order.reset();
  // The process or the engine may have stood still after the order was sent.
  const bool in_time = m_check->covers(boot_clock::now());
  const bool is_lasting = m_check_is_lasting && is_staging_known();
  if (!in_time && !is_lasting)
  {
    reject_load();
    return;
  }
  m_order_accepted_at = current_time();
  m_order_answered = true;
  m_load_in_doubt = !in_time || !is_lasting;
  m_rechecking = false;
  if (m_load_in_doubt)
  {
    recheck_load();
  }
  else
  {
    settle_doubt();
  }
}

/// Of an order that was answered it is known that it has been accepted. The engine may go on with
/// the layers that it held before, if they were proven.
void rollout_agent::settle_doubt()
{
  m_load_in_doubt = false;
  if (m_order_answered && m_load_base.sound && may_prove_load())
  {
    prove_load();
  }
}

bool rollout_agent::may_prove_load() const
{
  const bool ends_reload =
      m_reload && m_reload->steps.size() == 1 && m_reload->steps.front() == m_load;
  const bool keeps_no_unproven = m_load_base.sound || m_load_base.version != m_load.version;
  return ends_reload || (keeps_no_unproven && m_load.piece_version == m_load.version);
}

void rollout_agent::prove_load()
{
  m_proven.add({m_load_base.mark.started_ms, m_load_base.mark.orders + 1});
  m_rejected = false;
  if (m_report)
  {
    watch_proof();
    publish_report(is_loading());
  }
}

void rollout_agent::recheck_load()
{
  if (!m_rechecking)
  {
    m_rechecking = true;
    recheck_taken_piece(pieces_for_layers(m_load.layers, m_shape).first);
  }
}

void rollout_agent::recheck_taken_piece(std::uint32_t piece)
{
  if (piece == pieces_for_layers(m_load.layers, m_shape).end)
  {
    log_info(log_category::weights, "engine took whole pieces", {{"version", m_load.version}});
    m_rechecking = false;
    settle_doubt();
    return;
  }
  m_environment.caller.call(platform::stage_get_call(m_engine, m_model, piece),
                            for_current_load(
                                [this, piece](const result<async_io::http_response>& answer)
                                {
                                  if (!answer || answer->head.status / 100 == 5)
                                  {
                                    // The next report of the engine starts another pass.
                                    m_rechecking = false;
                                    return;
                                  }
                                  const piece_set* pieces = pieces_to_stage();
                                  if (answer->head.status == 200 && pieces != nullptr &&
                                      pieces->matches(piece, answer->body))
                                  {
                                    recheck_taken_piece(piece + 1);
                                    return;
                                  }
                                  reject_load();
                                }));
}

void rollout_agent::reject_load()
{
  log_warning(log_category::weights, "engine may have taken bad pieces",
              {{"version", m_load.version}});
  m_rejected = true;
  m_reload.reset();
  m_load_in_doubt = false;
  m_rechecking = false;
  m_order_accepted_at.reset();
  ++m_load_attempt;
  m_load = {};
  m_loads_while_serving = false;
}

void rollout_agent::abort_load(const std::string& reason)
{
  log_warning(log_category::weights, "load of a version failed",
              {{"version", m_load.version}, {"reason", reason}});
  ++m_load_attempt;
  m_load = {};
  m_loads_while_serving = false;
}

void rollout_agent::update_load()
{
  if (!m_order_accepted_at || m_report->busy)
  {
    return;
  }
  if (!has_loaded())
  {
    if (since(*m_order_accepted_at) > order_start_timeout)
    {
      m_order_accepted_at.reset();
      m_load_in_doubt = false;
      abort_load("engine accepted the order and does not load");
    }
    return;
  }
  if (m_load_in_doubt)
  {
    recheck_load();
    return;
  }
  if (may_prove_load())
  {
    prove_load();
  }
  finish_load();
}

void rollout_agent::finish_load()
{
  log_info(log_category::weights,
           engine_holds_all_layers() ? "engine serves the version"
                                     : "engine serves the first layers of the version",
           {{"version", m_report->weight_version},
            {"after_ms", m_named_versions.contains(m_load.version)
                             ? since(m_named_versions.at(m_load.version)).count()
                             : 0}});
  if (m_reload && !m_reload->steps.empty() && m_reload->steps.front() == m_load)
  {
    m_reload->steps.pop_front();
    m_reload->mark = mark_of(*m_report);
  }
  if (is_proven())
  {
    m_reload.reset();
    m_rejected = false;
    if (engine_holds_all_layers() && m_handlers.on_proven)
    {
      m_handlers.on_proven(mark_of(*m_report));
    }
  }
  ++m_load_attempt;
  m_order_accepted_at.reset();
  m_draining_since.reset();
  m_load = {};
  m_loads_while_serving = false;
}

void rollout_agent::resolve_unanswered_order()
{
  if (!m_unanswered_order || m_order_in_flight ||
      m_report->orders <= m_unanswered_order->base.mark.orders)
  {
    return;
  }
  const unanswered_order order = *m_unanswered_order;
  m_unanswered_order.reset();
  ++m_load_attempt;
  m_load = order.step;
  m_load_base = order.base;
  m_loads_while_serving = false;
  log_info(log_category::weights, "engine accepted a load order without an answer",
           {{"version", order.step.version}});
  if (order.restaged || !order.check_is_lasting || !is_staging_known() ||
      m_report->orders != order.base.mark.orders + 1)
  {
    reject_load();
    return;
  }
  m_order_accepted_at = current_time();
  m_order_answered = false;
  m_load_in_doubt = true;
  m_rechecking = false;
}

bool rollout_agent::has_loaded() const
{
  // An engine that does not state its layers holds all of them.
  return m_report->weight_version == m_load.version &&
         (!m_report->layers || m_report->layers == m_load.layers);
}

} // namespace pollenyoke::rollout
