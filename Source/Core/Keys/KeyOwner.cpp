#include "Keys/KeyOwner.h"

#include <nlohmann/json.hpp>

#include "Keys/KeyService.h"

namespace pollenyoke::keys
{

namespace
{

table_options make_table_options(const key_owner::dependencies& deps)
{
  const protocol::key_settings& keys = deps.settings.keys;
  const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(keys.lifetime);
  table_options options;
  options.self = {deps.settings.host, deps.incarnation};
  options.service = deps.settings.service;
  options.ledger = {static_cast<std::uint64_t>(lifetime.count()),
                    static_cast<std::uint64_t>(keys.log_outage_threshold.count())};
  options.claim_timeout = keys.claim_timeout;
  options.outage_threshold = keys.log_outage_threshold;
  return options;
}

} // namespace

class key_owner::implementation
    : public key_service<log_follower::log_client, membership::membership>
{
public:
  explicit implementation(const dependencies& deps)
      : key_service(make_table_options(deps), deps.settings.keys.appends_per_s, deps.log,
                    deps.members, deps.metrics),
        m_drain(deps.settings.requests.drain_timeout)
  {
  }

  std::chrono::milliseconds drain() const
  {
    return m_drain;
  }

private:
  std::chrono::milliseconds m_drain;
};

key_owner::key_owner(dependencies deps) : m_impl(std::make_unique<implementation>(deps)) {}

key_owner::~key_owner() = default;

void key_owner::start()
{
  m_impl->start();
}

void key_owner::stop()
{
  m_impl->stop();
}

void key_owner::begin(const std::string& key, const digest& body, decision_callback decided)
{
  m_impl->begin(key, body, std::move(decided));
}

void key_owner::finished(const std::string& key, stored_response response)
{
  m_impl->finished(key, std::move(response));
}

void key_owner::failed(const std::string& key)
{
  m_impl->failed(key);
}

void key_owner::not_dispatched(const std::string& key)
{
  m_impl->not_dispatched(key);
}

std::string key_owner::mint_key()
{
  return m_impl->mint_key();
}

void key_owner::release_slots()
{
  m_impl->release_slots(m_impl->drain());
}

bool key_owner::resume()
{
  return m_impl->resume();
}

nlohmann::json key_owner::dump() const
{
  return m_impl->dump();
}

} // namespace pollenyoke::keys
