#include "skylarkwind/fleet.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace skylarkwind {

namespace {

using nlohmann::json;

/// Throws json::other_error for an unknown role; the library throws for wrong types as well.
engine_role
RoleOf(const json& aValue)
{
  const auto name = aValue.get<std::string>();
  const auto role = ParseRole(name);
  if (!role) {
    throw json::other_error::create(501, "unknown role " + name, &aValue);
  }
  return *role;
}

recorded_command::stage
StageOf(const json& aValue)
{
  const auto name = aValue.get<std::string>();
  if (name == "intended") {
    return recorded_command::stage::Intended;
  }
  if (name == "settled") {
    return recorded_command::stage::Settled;
  }
  throw json::other_error::create(501, "unknown stage " + name, &aValue);
}

json
CommandJson(const recorded_command& aCommand)
{
  return json{ { "engine", aCommand.mEngine },
               { "order", aCommand.mOrder },
               { "fencing", aCommand.mFencing },
               { "incarnation", aCommand.mIncarnation },
               { "role", std::string(RoleText(aCommand.mRole)) },
               { "model", aCommand.mModel },
               { "version", aCommand.mVersion },
               { "stage",
                 aCommand.mStage == recorded_command::stage::Intended ? "intended" : "settled" } };
}

recorded_command
ParseCommand(const json& aJson)
{
  recorded_command command;
  command.mEngine = aJson.at("engine").get<std::string>();
  command.mOrder = aJson.at("order").get<std::string>();
  command.mFencing = aJson.at("fencing").get<std::uint64_t>();
  command.mIncarnation = aJson.at("incarnation").get<std::uint64_t>();
  command.mRole = RoleOf(aJson.at("role"));
  command.mModel = aJson.at("model").get<std::string>();
  command.mVersion = aJson.at("version").get<std::string>();
  command.mStage = StageOf(aJson.at("stage"));
  return command;
}

std::vector<std::string>
Strings(const json& aObject, const char* aMember)
{
  const auto found = aObject.find(aMember);
  return found == aObject.end() ? std::vector<std::string>{}
                                : found->get<std::vector<std::string>>();
}

} // namespace

absl::StatusOr<fleet_object>
fleet_object::Parse(std::string_view aJson)
{
  // The JSON library reports malformed input by exceptions; they do not leave this function.
  try {
    const json value = json::parse(aJson);
    fleet_object object;
    object.mRevision = value.at("revision").get<std::uint64_t>();
    if (const auto commands = value.find("orders"); commands != value.end()) {
      for (const json& command : *commands) {
        object.mOrders.push_back(ParseCommand(command));
      }
    }
    object.mAudit = Strings(value, "audit");
    object.mLeaving = Strings(value, "leaving");
    return object;
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(std::string("fleet object: ") + error.what());
  }
}

std::string
fleet_object::ToJson() const
{
  json commands = json::array();
  for (const recorded_command& command : mOrders) {
    commands.push_back(CommandJson(command));
  }
  const std::size_t surplus =
    mAudit.size() > kFleetAuditLimit ? mAudit.size() - kFleetAuditLimit : 0;
  const json audit =
    std::vector<std::string>(mAudit.begin() + static_cast<std::ptrdiff_t>(surplus), mAudit.end());
  return json{
    { "revision", mRevision },
    { "orders", std::move(commands) },
    { "audit", audit },
    { "leaving", mLeaving }
  }.dump();
}

} // namespace skylarkwind
