#pragma once

#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "Common/Result.h"
#include "StandIns/StandIn.h"

namespace pollenyoke::stand_ins
{

/// Starts one stand-in from `{"kind","listen":"IP:PORT","name","slots","faults":{},"hosts":[],
/// "routes":[],"weights":[]}`; members that do not belong to the kind are ignored.
result<std::unique_ptr<stand_in>> start_stand_in(const nlohmann::json& with);

/// Many stand-ins in one process, by name.
class fleet
{
public:
  /// `{"standins":[{...},...]}`, each with a unique `name`.
  static result<std::unique_ptr<fleet>> start(const nlohmann::json& config);

  stand_in* find(const std::string& name) const;

private:
  std::map<std::string, std::unique_ptr<stand_in>> m_members;
};

} // namespace pollenyoke::stand_ins
