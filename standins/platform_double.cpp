#include "platform_double.h"

#include <algorithm>

namespace skylarkwind {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxValueBytes = 1'000'000;
/// Versions kept of each object, for restore_to_version.
constexpr std::size_t kMaxHistory = 64;
constexpr std::string_view kObjects = "/v1/objects/";

std::string
ObjectJson(std::uint64_t aVersion, const std::string& aValue)
{
  return "{\"version\":" + std::to_string(aVersion) + ",\"value\":" + aValue + "}";
}

std::string
VersionJson(std::uint64_t aVersion)
{
  return "{\"version\":" + std::to_string(aVersion) + "}";
}

} // namespace

bool
rate_limit::Take(std::int64_t aNowMs)
{
  if (mPerSecond <= 0) {
    return true;
  }
  if (mLastMs != 0) {
    mTokens =
      std::min(mBurst, mTokens + mPerSecond * static_cast<double>(aNowMs - mLastMs) / 1000.0);
  }
  mLastMs = aNowMs;
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

void
platform_double::OnRequest(const standin_request& aRequest, standin_reply aReply)
{
  if (aRequest.mPath.starts_with("/standin/")) {
    ServeControl(aRequest, aReply);
    return;
  }
  if (mOutage && mSilent) {
    ++mCalls["silenced"];
    return;
  }
  if (mDelayMs > 0) {
    mDelayed.push_back({ SteadyMs() + mDelayMs, aRequest, std::move(aReply) });
    return;
  }
  Serve(aRequest, aReply);
}

void
platform_double::OnTick()
{
  auto now = SteadyMs();
  while (!mDelayed.empty() && mDelayed.front().mAtMs <= now) {
    auto due = std::move(mDelayed.front());
    mDelayed.pop_front();
    Serve(due.mRequest, due.mReply);
  }
  std::erase_if(mWatches, [&](const waiting_watch& aWatch) {
    if (aWatch.mUntilMs > now) {
      return false;
    }
    if (!(mOutage && mSilent)) {
      aWatch.mReply.Send(304, "");
    }
    return true;
  });
}

void
platform_double::OnConnectionClosed(std::uint64_t aConnection)
{
  std::erase_if(mWatches,
                [&](const waiting_watch& aWatch) { return aWatch.mConnection == aConnection; });
}

void
platform_double::ServeControl(const standin_request& aRequest, const standin_reply& aReply)
{
  if (aRequest.mPath == "/standin/calls") {
    ServeCalls(aReply);
  } else if (aRequest.mPath == "/standin/faults" && aRequest.mMethod == "POST") {
    ServeFaults(json::parse(aRequest.mBody));
    aReply.Send(200, "{}");
  } else if (aRequest.mPath == "/standin/vms" && aRequest.mMethod == "POST") {
    auto body = json::parse(aRequest.mBody);
    if (!body.contains("vms")) {
      body = json{ { "vms", body } };
    }
    mVmLists.push_back({ SteadyMs(), body.dump() });
    aReply.Send(200, "{}");
  } else {
    aReply.Send(404, "{}");
  }
}

void
platform_double::ServeFaults(const json& aFaults)
{
  mOutage = aFaults.value("outage", mOutage);
  mSilent = aFaults.value("silent", mSilent);
  mDelayMs = aFaults.value("delay_ms", mDelayMs);
  mLoseReplies = aFaults.value("lose_replies", mLoseReplies);
  mVmLagMs = aFaults.value("vm_list_lag_ms", mVmLagMs);
  if (aFaults.contains("restore_to_version")) {
    Restore(aFaults["restore_to_version"].get<std::uint64_t>());
  }
  if (mOutage && !mSilent) {
    for (const auto& watch : mWatches) {
      watch.mReply.Send(503, R"({"error":"outage"})");
    }
    mWatches.clear();
  }
}

void
platform_double::ServeCalls(const standin_reply& aReply)
{
  json body = json::object();
  for (const auto& [kind, count] : mCalls) {
    body[kind] = count;
  }
  body["waiting_watches"] = mWatches.size();
  aReply.Send(200, body.dump());
}

/// Brings every object back to its newest value at or below the version. As after a restore of
/// a database, object versions go back as well; the store-wide number does not.
void
platform_double::Restore(std::uint64_t aVersion)
{
  for (auto& [key, versions] : mHistory) {
    while (!versions.empty() && versions.back().mVersion > aVersion) {
      versions.pop_back();
    }
    if (versions.empty()) {
      mObjects.erase(key);
    } else {
      mObjects[key] = versions.back();
    }
  }
}

void
platform_double::Serve(const standin_request& aRequest, const standin_reply& aReply)
{
  if (mOutage) {
    ++mCalls["refused"];
    aReply.Send(503, R"({"error":"outage"})");
    return;
  }
  bool write = aRequest.mMethod == "PUT";
  if (!(write ? mWrites : mReads).Take(SteadyMs())) {
    ++mCalls["limited"];
    aReply.Send(429, R"({"error":"too many calls"})");
    return;
  }
  if (aRequest.mPath == "/v1/vms") {
    ++mCalls["vms"];
    ServeVms(aReply);
  } else if (aRequest.mPath.starts_with(kObjects)) {
    ServeObject(aRequest, aReply);
  } else {
    aReply.Send(404, "{}");
  }
}

void
platform_double::ServeVms(const standin_reply& aReply)
{
  auto seen = SteadyMs() - mVmLagMs;
  while (mVmLists.size() > 1 && mVmLists[1].mAtMs <= seen) {
    mVmLists.pop_front();
  }
  bool visible = !mVmLists.empty() && mVmLists.front().mAtMs <= seen;
  aReply.Send(200, visible ? mVmLists.front().mBody : R"({"vms":[]})");
}

void
platform_double::ServeObject(const standin_request& aRequest, const standin_reply& aReply)
{
  auto key = aRequest.mPath.substr(kObjects.size());
  if (key.find('/') == std::string::npos) {
    ++mCalls["list"];
    ServeList(key, aReply);
  } else if (aRequest.mMethod == "PUT") {
    ++mCalls["write"];
    ServeWrite(aRequest, key, aReply);
  } else if (aRequest.mMethod == "GET") {
    ++mCalls[aRequest.mQuery.contains("after") ? "watch" : "read"];
    ServeRead(aRequest, key, aReply);
  } else {
    aReply.Send(405, "{}");
  }
}

void
platform_double::ServeRead(const standin_request& aRequest,
                           const std::string& aKey,
                           const standin_reply& aReply)
{
  auto found = mObjects.find(aKey);
  bool watch = aRequest.mQuery.contains("after");
  auto after = aRequest.QueryNumber("after", 0);
  if (found != mObjects.end() && (!watch || found->second.mVersion > after)) {
    aReply.Send(200, ObjectJson(found->second.mVersion, found->second.mValue));
  } else if (watch) {
    auto until = SteadyMs() + static_cast<std::int64_t>(aRequest.QueryNumber("wait_ms", 0));
    mWatches.push_back({ aKey, after, until, aRequest.mConnection, aReply });
  } else {
    aReply.Send(404, "{}");
  }
}

void
platform_double::ServeWrite(const standin_request& aRequest,
                            const std::string& aKey,
                            const standin_reply& aReply)
{
  if (aRequest.mBody.size() > kMaxValueBytes) {
    aReply.Send(413, R"({"error":"value above 1 MB"})");
    return;
  }
  if (!json::accept(aRequest.mBody) || aRequest.Header("if-match").empty()) {
    aReply.Send(400, R"({"error":"JSON value and If-Match are required"})");
    return;
  }
  auto expected = std::stoull(aRequest.Header("if-match"));
  auto found = mObjects.find(aKey);
  auto present = found == mObjects.end() ? 0 : found->second.mVersion;
  if (expected != present) {
    ++mCalls["conflict"];
    aReply.Send(409, VersionJson(present));
    return;
  }
  Store(aKey, aRequest.mBody);
  if (mLoseReplies > 0) {
    --mLoseReplies;
    ++mCalls["lost_reply"];
    aReply.Close();
  } else {
    aReply.Send(200, VersionJson(mVersion));
  }
  AnswerWatches(aKey);
}

void
platform_double::ServeList(const std::string& aKind, const standin_reply& aReply)
{
  json objects = json::array();
  auto prefix = aKind + "/";
  for (const auto& [key, object] : mObjects) {
    if (key.starts_with(prefix)) {
      objects.push_back({ { "name", key.substr(prefix.size()) }, { "version", object.mVersion } });
    }
  }
  aReply.Send(200, json{ { "objects", objects } }.dump());
}

void
platform_double::Store(const std::string& aKey, std::string aValue)
{
  stored object{ ++mVersion, std::move(aValue) };
  auto& history = mHistory[aKey];
  history.push_back(object);
  if (history.size() > kMaxHistory) {
    history.erase(history.begin());
  }
  mObjects[aKey] = std::move(object);
}

void
platform_double::AnswerWatches(const std::string& aKey)
{
  const auto& object = mObjects[aKey];
  std::erase_if(mWatches, [&](const waiting_watch& aWatch) {
    if (aWatch.mKey != aKey || aWatch.mAfter >= object.mVersion) {
      return false;
    }
    aWatch.mReply.Send(200, ObjectJson(object.mVersion, object.mValue));
    return true;
  });
}

} // namespace skylarkwind
