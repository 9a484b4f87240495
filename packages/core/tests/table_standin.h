#pragma once

#include "skylarkwind/table.h"

#include <nlohmann/json.hpp>

namespace skylarkwind {

/// Test-only stand-in for the table's JSON form: reads the few members that the tests of `control`
/// set. To be deleted as soon as the branch has table_json.cpp; the texts are in its form.
[[gnu::weak]] absl::StatusOr<table>
table::Parse(std::string_view aJson)
{
  const auto json = nlohmann::json::parse(aJson);
  table out;
  out.mSerial = json.at("serial");
  for (const auto& row : json.at("services")) {
    out.mServices.emplace_back().mName = row.at("name");
    out.mServices.back().mMaxChanging = row.value("max_changing", 1U);
  }
  for (const auto& row : json.at("models")) {
    out.mModels.push_back({ row.at("name"), row.at("service"), row.at("version") });
  }
  for (const auto& row : json.at("engines")) {
    engine_row engine;
    engine.mName = row.at("name");
    engine.mAddress = row.at("address");
    engine.mDataCentre = row.at("data_centre");
    engine.mService = row.at("service");
    engine.mModel = row.at("model");
    const std::string role = row.at("role");
    engine.mRole = role == "prefill"  ? engine_role::Prefill
                   : role == "decode" ? engine_role::Decode
                                      : engine_role::Both;
    engine.mChecksFencing = row.at("checks_fencing");
    engine.mPinned = row.value("pinned", false);
    engine.mIntent =
      row.value("intent", "serve") == "drain" ? engine_intent::Drain : engine_intent::Serve;
    out.mEngines.push_back(engine);
  }
  return out;
}

} // namespace skylarkwind
