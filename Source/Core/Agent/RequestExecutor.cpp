#include "Agent/RequestExecutor.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "Agent/RequestRunner.h"

namespace pollenyoke::agent
{

namespace
{

runner_environment make_environment(const request_executor::dependencies& with)
{
  runner_environment out;
  out.send = [&node = with.node](transport::connection_id to, const transport::frame& message)
  {
    return node.send(to, message);
  };
  out.close = [&node = with.node](transport::connection_id connection)
  {
    node.close(connection);
  };
  if (weight_manager* weights = with.weights)
  {
    out.is_serving = [weights](std::string_view model, std::string_view version)
    {
      return weights->is_serving(model, version);
    };
    out.report_answer =
        [weights](std::string_view model, std::string_view version, std::string_view manifest)
    {
      weights->report_answer(model, version, manifest);
    };
    out.backend_lost = [weights]
    {
      weights->backend_lost();
    };
  }
  if (keys::key_owner* keys = with.keys)
  {
    out.begin_key = [keys](const std::string& key, const digest& body,
                           keys::key_owner::decision_callback decided)
    {
      keys->begin(key, body, std::move(decided));
    };
    out.key_finished = [keys](const std::string& key, keys::stored_response answer)
    {
      keys->finished(key, std::move(answer));
    };
    out.key_failed = [keys](const std::string& key)
    {
      keys->failed(key);
    };
    out.key_not_dispatched = [keys](const std::string& key)
    {
      keys->not_dispatched(key);
    };
    out.mint_key = [keys]
    {
      return keys->mint_key();
    };
  }
  return out;
}

} // namespace

class request_executor::implementation
{
public:
  explicit implementation(const dependencies& with)
      : runner(with.settings, with.incarnation, make_environment(with), with.metrics)
  {
  }

  request_runner runner;
};

request_executor::request_executor(dependencies with)
    : m_impl(std::make_unique<implementation>(with))
{
}

request_executor::~request_executor() = default;

bool request_executor::handle_frame(transport::connection_id from, const transport::frame& message)
{
  return m_impl->runner.handle_frame(from, message);
}

void request_executor::handle_closed(transport::connection_id connection)
{
  m_impl->runner.handle_closed(connection);
}

void request_executor::set_leaving(bool leaving)
{
  m_impl->runner.set_leaving(leaving);
}

bool request_executor::drain(std::chrono::milliseconds patience)
{
  return m_impl->runner.drain(patience);
}

std::uint32_t request_executor::in_flight() const
{
  return m_impl->runner.in_flight();
}

std::uint32_t request_executor::capacity() const
{
  return m_impl->runner.capacity();
}

void request_executor::stop()
{
  m_impl->runner.stop();
}

nlohmann::json request_executor::dump() const
{
  return m_impl->runner.dump();
}

} // namespace pollenyoke::agent
