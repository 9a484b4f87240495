#include "admin_p.h"

#include "skylarkwind/hash.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace skylarkwind {

namespace {

using nlohmann::json;

constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kEnginePath = "/admin/engine/";

local_answer
JsonAnswer(const json& aValue, int aStatus = 200)
{
  return { aStatus, std::string{ kJsonType }, aValue.dump() + "\n" };
}

local_answer
ErrorAnswer(int aStatus, std::string_view aType, std::string_view aMessage)
{
  return JsonAnswer({ { "error",
                        { { "message", aMessage },
                          { "type", aType },
                          { "code", aType },
                          { "run", RunStateText(run_state::NotRun) } } } },
                    aStatus);
}

std::string_view
MemberStateText(member_state aState)
{
  switch (aState) {
    case member_state::Alive:
      return "alive";
    case member_state::Suspect:
      return "suspect";
    case member_state::Dead:
      return "dead";
    case member_state::Left:
      return "left";
  }
  return "dead";
}

json
EngineRow(const engine_view& aView)
{
  return {
    { "name", aView.mName },
    { "address", aView.mAddress },
    { "data_centre", aView.mDataCentre },
    { "service", aView.mService },
    { "model", aView.mModel },
    { "version", aView.mVersion },
    { "role", RoleText(aView.mRole) },
    { "status", EngineStatusText(aView.mStatus) },
    { "incarnation", aView.mIncarnation },
    { "in_flight", aView.mInFlight },
    { "limit", aView.mStatus == engine_status::Serving ? json("none") : json(aView.mInFlightLimit) }
  };
}

json
MemberRows(const node& aNode)
{
  auto rows = json::array();
  for (const auto& member : aNode.Members().Live()) {
    const auto serial = member.mProcess == aNode.Members().Self()
                          ? std::optional{ aNode.Table().Serial() }
                          : aNode.Members().ReportedVersion(member.mProcess, "table");
    rows.push_back({ { "vm", member.mProcess.mVm },
                     { "start_id", member.mProcess.mStartId },
                     { "data_centre", member.mLocation.mDataCentre },
                     { "address", member.mLocation.mAddress },
                     { "state", MemberStateText(member.mState) },
                     { "table_serial", serial ? json(*serial) : json("-") } });
  }
  return rows;
}

json
LimitRows(const node& aNode)
{
  auto rows = json::array();
  for (const auto& share : aNode.Limits().View()) {
    rows.push_back({ { "limit", share.mLimit },
                     { "amount", share.mLimitAmount },
                     { "share", share.mShare },
                     { "in_use", share.mInUse } });
  }
  return rows;
}

} // namespace

admin::admin(const node& aNode,
             const counters& aCounters,
             counter& aRefused,
             std::string aOperatorCredentialSha256)
  : mNode{ aNode }
  , mCounters{ aCounters }
  , mRefused{ aRefused }
  , mOperatorCredentialSha256{ std::move(aOperatorCredentialSha256) }
{
}

local_answer
admin::Answer(const local_request& aRequest, instant aNow, std::size_t aOpenRequests) const
{
  if (aRequest.mMethod != "GET") {
    return ErrorAnswer(405, "method_not_allowed", "only GET is answered here");
  }
  if (aRequest.mPath == "/healthz") {
    return { 200, "text/plain", "ok\n" };
  }
  if (aRequest.mPath == "/readyz") {
    return mNode.Ready() ? local_answer{ 200, "text/plain", "ready\n" }
                         : local_answer{ 503, "text/plain", "not ready\n" };
  }
  if (aRequest.mPath == "/metrics") {
    return { 200, "text/plain; version=0.0.4", mCounters.PrometheusText() };
  }
  if (aRequest.mPath == "/v1/models") {
    return Models(aRequest.mBearer);
  }
  if (!EqualConstantTime(Sha256Hex(aRequest.mBearer), mOperatorCredentialSha256)) {
    mRefused.Add();
    return ErrorAnswer(401, "unauthorized", "the operators' credential is missing or wrong");
  }
  return AnswerOperator(aRequest.mPath, aNow, aOpenRequests);
}

local_answer
admin::AnswerOperator(const std::string& aPath, instant aNow, std::size_t aOpenRequests) const
{
  if (aPath == "/admin/status") {
    return Status(aNow, aOpenRequests);
  }
  if (aPath == "/admin/table") {
    return Table();
  }
  if (aPath == "/admin/audit") {
    return Audit();
  }
  if (aPath.starts_with(kEnginePath)) {
    return Engine(aPath.substr(kEnginePath.size()));
  }
  return ErrorAnswer(404, "not_found", "no such view");
}

local_answer
admin::Models(const std::string& aBearer) const
{
  if (mNode.Table().FindAccountByKey(Sha256Hex(aBearer)) == nullptr) {
    return ErrorAnswer(401, "invalid_api_key", "the API key is unknown");
  }
  auto models = json::array();
  for (const auto& model : mNode.Table().Models()) {
    models.push_back(
      { { "id", model.mName }, { "object", "model" }, { "owned_by", model.mService } });
  }
  return JsonAnswer({ { "object", "list" }, { "data", models } });
}

local_answer
admin::Status(instant aNow, std::size_t aOpenRequests) const
{
  const auto& documents = mNode.Documents();
  const auto& self = mNode.Members().Self();
  const auto* tableDocument = documents.Current("table");
  json status{ { "vm", self.mVm },
               { "start_id", self.mStartId },
               { "data_centre", mNode.Members().Location().mDataCentre },
               { "region", mNode.Members().Location().mRegion },
               { "ready", mNode.Ready() },
               { "table_serial", mNode.Table().Serial() },
               { "platform_away", documents.IsPlatformUnreachable() },
               { "platform_behind", documents.IsPlatformStale("table") },
               { "watcher", documents.IsWatcher() },
               { "lease_holder", mNode.Control().Holder() },
               { "holds_lease", mNode.Control().HoldsLease(aNow) },
               { "fencing", mNode.Control().Fencing() },
               { "open_requests", aOpenRequests },
               { "members", MemberRows(mNode) },
               { "limits", LimitRows(mNode) } };
  if (tableDocument != nullptr) {
    status["in_force_for_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - tableDocument->mInForceSince)
        .count();
  }
  status["documents"] = json::array();
  for (const auto& document : documents.Versions()) {
    status["documents"].push_back({ { "name", document.mName }, { "version", document.mVersion } });
  }
  status["backend_servers"] = json::array();
  for (const auto& view : mNode.Fleet().Engines()) {
    status["backend_servers"].push_back(EngineRow(view));
  }
  for (const auto& view : mNode.Fleet().Backends()) {
    auto row = EngineRow(view);
    row.erase("role");
    status["backend_servers"].push_back(std::move(row));
  }
  return JsonAnswer(status);
}

local_answer
admin::Engine(const std::string& aName) const
{
  for (const auto views : { mNode.Fleet().Engines(), mNode.Fleet().Backends() }) {
    for (const auto& view : views) {
      if (view.mName == aName) {
        auto row = EngineRow(view);
        row["reason"] = mNode.Fleet().Explain(aName);
        row["admits"] = view.Admits();
        row["reported_running"] = view.mReport.mRunning;
        row["reported_fencing"] = view.mReport.mFencing;
        return JsonAnswer(row);
      }
    }
  }
  return ErrorAnswer(404, "not_found", "no backend server has this name");
}

local_answer
admin::Table() const
{
  return { 200, std::string{ kJsonType }, mNode.Table().ToJson() + "\n" };
}

local_answer
admin::Audit() const
{
  auto records = json::array();
  for (const auto& document : mNode.Documents().Versions()) {
    const auto* current = mNode.Documents().Current(document.mName);
    if (!document.mName.starts_with("fleet/") || current == nullptr) {
      continue;
    }
    const auto object = fleet_object::Parse(current->mValue);
    if (object.ok()) {
      for (const auto& record : object->mAudit) {
        records.push_back(record);
      }
    }
  }
  return JsonAnswer(records);
}

} // namespace skylarkwind
