#include "skylarkwind/fleet.h"

#include <absl/status/status.h>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace skylarkwind {

namespace {

constexpr std::array<std::pair<engine_role, const char*>, 3> kRoleNames{
  { { engine_role::Prefill, "prefill" },
    { engine_role::Decode, "decode" },
    { engine_role::Both, "both" } }
};

const char*
RoleName(engine_role aRole)
{
  for (const auto& [role, name] : kRoleNames) {
    if (role == aRole) {
      return name;
    }
  }
  return "both";
}

engine_role
RoleOf(const std::string& aName)
{
  for (const auto& [role, name] : kRoleNames) {
    if (aName == name) {
      return role;
    }
  }
  throw nlohmann::json::other_error::create(501, "unknown role", nullptr);
}

nlohmann::json
OrderJson(const recorded_order& aOrder)
{
  return { { "engine", aOrder.mEngine },
           { "order", aOrder.mOrder },
           { "fencing", aOrder.mFencing },
           { "incarnation", aOrder.mIncarnation },
           { "role", RoleName(aOrder.mRole) },
           { "model", aOrder.mModel },
           { "version", aOrder.mVersion },
           { "stage", aOrder.mStage == recorded_order::stage::Intended ? "intended" : "settled" } };
}

recorded_order
ReadOrder(const nlohmann::json& aJson)
{
  recorded_order order;
  order.mEngine = aJson.at("engine").get<std::string>();
  order.mOrder = aJson.at("order").get<std::string>();
  order.mFencing = aJson.at("fencing").get<std::uint64_t>();
  order.mIncarnation = aJson.at("incarnation").get<std::uint64_t>();
  order.mRole = RoleOf(aJson.at("role").get<std::string>());
  order.mModel = aJson.at("model").get<std::string>();
  order.mVersion = aJson.at("version").get<std::string>();
  const auto stage = aJson.at("stage").get<std::string>();
  if (stage != "intended" && stage != "settled") {
    throw nlohmann::json::other_error::create(501, "unknown stage", nullptr);
  }
  order.mStage =
    stage == "intended" ? recorded_order::stage::Intended : recorded_order::stage::Settled;
  return order;
}

} // namespace

absl::StatusOr<fleet_object>
fleet_object::Parse(std::string_view aJson)
{
  try {
    const auto json = nlohmann::json::parse(aJson);
    fleet_object object;
    object.mRevision = json.at("revision").get<std::uint64_t>();
    for (const auto& order : json.at("orders")) {
      object.mOrders.push_back(ReadOrder(order));
    }
    object.mAudit = json.at("audit").get<std::vector<std::string>>();
    object.mLeaving = json.at("leaving").get<std::vector<std::string>>();
    return object;
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(std::string("the fleet object cannot be read: ") +
                                      error.what());
  }
}

std::string
fleet_object::ToJson() const
{
  auto orders = nlohmann::json::array();
  for (const auto& order : mOrders) {
    orders.push_back(OrderJson(order));
  }
  return nlohmann::json{
    { "revision", mRevision }, { "orders", orders }, { "audit", mAudit }, { "leaving", mLeaving }
  }.dump();
}

} // namespace skylarkwind
