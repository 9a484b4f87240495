#include "store_double.h"

#include <utility>

namespace skylarkwind {

namespace {

using nlohmann::json;

const std::string kObjects = "/skylarkwind/objects/";

} // namespace

void
store_double::OnRequest(const standin_request& aRequest, standin_reply aReply)
{
  if (aRequest.mPath == "/standin/faults") {
    OnFaults(aRequest, aReply);
    return;
  }
  if (aRequest.mPath == "/standin/raw") {
    OnRaw(aRequest, aReply);
    return;
  }
  if (aRequest.mPath == "/standin/calls") {
    aReply.Send(200, json{ { "calls", mCalls } }.dump());
    return;
  }
  ++mCalls;
  if (mMode == "silent") {
    return;
  }
  if (mMode == "busy") {
    Answer(aReply, 503, "{}");
    return;
  }
  if (aRequest.mPath.starts_with(kObjects)) {
    OnObjects(aRequest, aReply);
    return;
  }
  Answer(aReply, 404, "{}");
}

void
store_double::OnRaw(const standin_request& aRequest, const standin_reply& aReply)
{
  const auto kind = aRequest.mQuery.at("kind");
  const auto name = aRequest.mQuery.at("name");
  ++mRevision;
  const auto marker = "raw-" + std::to_string(mRevision);
  mRawSpecs['"' + marker + '"'] = aRequest.mBody;
  mObjects[kind][name] = { { "Metadata", { { "Name", name }, { "Revision", mRevision } } },
                           { "Spec", marker } };
  Record(kind, mObjects[kind][name], false);
  aReply.Send(200, "{}");
}

std::string
store_double::Render(const json& aValue) const
{
  auto text = aValue.dump();
  for (const auto& [marker, spec] : mRawSpecs) {
    for (auto at = text.find(marker); at != std::string::npos;
         at = text.find(marker, at + spec.size())) {
      text.replace(at, marker.size(), spec);
    }
  }
  return text;
}

void
store_double::OnFaults(const standin_request& aRequest, const standin_reply& aReply)
{
  const auto faults = json::parse(aRequest.mBody);
  mMode = faults.value("mode", mMode);
  mLoseAnswers = faults.value("lose_answers", false);
  if (faults.value("drop_history", false)) {
    mHistoryFrom = ++mRevision;
    mHistory.clear();
    for (const auto& watch : mWatches) {
      watch.mReply.Close();
    }
    mWatches.clear();
  }
  if (const auto copy = faults.find("copy"); copy != faults.end()) {
    mCopy = { mObjects, mRevision };
    for (const auto& kind : copy->value("without", json::array())) {
      mCopy.mObjects.erase(kind.get<std::string>());
    }
  }
  if (faults.value("restore", false)) {
    Restore();
  }
  aReply.Send(200, "{}");
}

void
store_double::Restore()
{
  mObjects = mCopy.mObjects;
  mRevision = mCopy.mRevision;
  mHistoryFrom = mRevision;
  mHistory.clear();
  ++mEra;
  for (const auto& watch : std::exchange(mWatches, {})) {
    watch.mReply.Close();
  }
}

void
store_double::Answer(const standin_reply& aReply, int aStatus, std::string_view aBody) const
{
  const auto era = mEra == 0 ? std::string{} : "Store-Era: " + std::to_string(mEra) + "\r\n";
  aReply.Send(aStatus, aBody, "application/json", era);
}

void
store_double::OnObjects(const standin_request& aRequest, const standin_reply& aReply)
{
  const auto rest = aRequest.mPath.substr(kObjects.size());
  const auto slash = rest.find('/');
  const auto kind = rest.substr(0, slash);
  auto name = slash == std::string::npos ? std::string{} : rest.substr(slash + 1);
  if (aRequest.mMethod == "GET" && name.empty()) {
    List(kind, aRequest, aReply);
    return;
  }
  if (aRequest.mMethod == "GET") {
    const auto found = mObjects[kind].find(name);
    if (found == mObjects[kind].end()) {
      Answer(aReply, 404, "{}");
    } else {
      Answer(aReply, 200, Render(found->second));
    }
    return;
  }
  if (name.empty()) {
    name = json::parse(aRequest.mBody)["Metadata"]["Name"].get<std::string>();
  }
  Write(kind, name, aRequest, aReply);
}

void
store_double::List(const std::string& aKind,
                   const standin_request& aRequest,
                   const standin_reply& aReply)
{
  if (aRequest.mQuery.contains("Watch")) {
    const auto from = aRequest.QueryNumber("Watch", 0);
    if (from < mHistoryFrom || from > mRevision) {
      Answer(aReply, 410, "{}");
      return;
    }
    const auto until = SteadyMs() + static_cast<std::int64_t>(aRequest.QueryNumber("WaitMs", 0));
    open_watch watch{ aKind, from, until, aReply };
    if (!TryAnswer(watch)) {
      mWatches.push_back(std::move(watch));
    }
    return;
  }
  json items = json::array();
  for (const auto& [name, object] : mObjects[aKind]) {
    items.push_back(object);
  }
  Answer(aReply,
         200,
         Render({ { "items", std::move(items) }, { "HasMore", false }, { "At", mRevision } }));
}

void
store_double::Write(const std::string& aKind,
                    const std::string& aName,
                    const standin_request& aRequest,
                    const standin_reply& aReply)
{
  auto& objects = mObjects[aKind];
  const auto found = objects.find(aName);
  const bool exists = found != objects.end();
  const auto body = aRequest.mBody.empty() ? json::object() : json::parse(aRequest.mBody);
  const auto stored =
    exists ? found->second["Metadata"]["Revision"].get<std::uint64_t>() : std::uint64_t{ 0 };
  const auto meta = body.value("Metadata", json::object());
  const auto expected = meta.value("Revision", aRequest.QueryNumber("Revision", 0));
  if ((aRequest.mMethod == "POST" && exists) || (expected != 0 && expected != stored)) {
    Answer(aReply, 409, exists ? Render(found->second) : "{}");
    return;
  }
  if (aRequest.mMethod != "POST" && !exists) {
    Answer(aReply, 404, "{}");
    return;
  }
  ++mRevision;
  json object{ { "Metadata", { { "Name", aName }, { "Revision", mRevision } } },
               { "Spec", body.value("Spec", json{}) } };
  const bool removed = aRequest.mMethod == "DELETE";
  if (removed) {
    objects.erase(found);
  } else {
    objects[aName] = object;
  }
  Record(aKind, object, removed);
  if (!mLoseAnswers) {
    Answer(aReply, 200, object.dump());
  }
}

void
store_double::Record(const std::string& aKind, const json& aObject, bool aRemoved)
{
  mHistory.push_back({ mRevision, aKind, aObject, aRemoved });
  std::erase_if(mWatches, [this](const auto& aWatch) { return TryAnswer(aWatch); });
}

bool
store_double::TryAnswer(const open_watch& aWatch) const
{
  json events = json::array();
  for (const auto& change : mHistory) {
    if (change.mKind == aWatch.mKind && change.mAt > aWatch.mFrom) {
      events.push_back({ { "Object", change.mObject }, { "Removed", change.mRemoved } });
    }
  }
  if (events.empty()) {
    return false;
  }
  Answer(aWatch.mReply, 200, Render({ { "events", std::move(events) }, { "At", mRevision } }));
  return true;
}

void
store_double::OnTick()
{
  const auto now = SteadyMs();
  std::erase_if(mWatches, [&](const auto& aWatch) {
    if (now < aWatch.mUntilMs) {
      return false;
    }
    Answer(aWatch.mReply, 200, json{ { "events", json::array() }, { "At", mRevision } }.dump());
    return true;
  });
}

} // namespace skylarkwind
