// The engine stand-in's orders, reports, KV transfer and controls.

#include "engine_double.h"

#include "skylarkwind/hash.h"

#include <curl/curl.h>

#include <chrono>
#include <cstdio>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace skylarkwind {

namespace {

using nlohmann::json;

constexpr int kCrashStatus = 70;
constexpr std::size_t kMaxEvents = 1000;
constexpr long kImportLimitMs = 20'000;

std::int64_t
WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aText)
{
  static_cast<std::string*>(aText)->append(aData, aSize * aCount);
  return aSize * aCount;
}

/// Tokens of the KV cache at the other engine, 0 when it cannot be had.
std::uint64_t
FetchKv(const std::string& aUrl)
{
  CURL* handle = curl_easy_init();
  std::string body;
  curl_easy_setopt(handle, CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, kImportLimitMs);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &body);
  auto result = curl_easy_perform(handle);
  curl_easy_cleanup(handle);
  auto answer = json::parse(body, nullptr, false);
  if (result != CURLE_OK || !answer.is_object()) {
    return 0;
  }
  return answer.value("tokens", std::uint64_t{ 0 });
}

} // namespace

void
engine_double::StartImport(std::uint64_t aNumber, const json& aKv)
{
  auto url = "http://" + aKv.value("address", std::string{}) + "/v1/engine/kv/" +
             aKv.value("handle", std::string{});
  // The transfer blocks, so it has a thread of its own; the process lives as long as its threads.
  std::thread([this, aNumber, url]() {
    auto tokens = FetchKv(url);
    std::lock_guard guard{ mImportsMutex };
    mImports.push_back({ aNumber, tokens, 0 });
  }).detach();
}

void
engine_double::TakeImports(std::int64_t)
{
  std::vector<import_result> arrived;
  {
    std::lock_guard guard{ mImportsMutex };
    arrived.swap(mImports);
  }
  for (const auto& result : arrived) {
    mBatch.Imported(result.mNumber, result.mTokens);
  }
}

void
engine_double::ServeKv(const standin_request& aRequest, const standin_reply& aReply)
{
  constexpr std::string_view kPrefix = "/v1/engine/kv/";
  auto handle = aRequest.mPath.substr(kPrefix.size());
  if (aRequest.mMethod == "POST" && handle == "export") {
    auto found = mStreamPrefixes.find(json::parse(aRequest.mBody).value("stream", std::string{}));
    if (found == mStreamPrefixes.end()) {
      aReply.Send(404, R"({"error":{"message":"stream is not known"}})");
      return;
    }
    auto name = "kv-" + std::to_string(Hash64(found->first));
    mExports[name] = found->second;
    aReply.Send(200, json{ { "handle", name }, { "tokens", found->second } }.dump());
    return;
  }
  auto found = mExports.find(handle);
  if (found == mExports.end()) {
    aReply.Send(404, "{}");
    return;
  }
  // The answer stands for the cache itself, so it takes the time of a transfer of that size.
  auto transferMs = static_cast<std::int64_t>(1000.0 * static_cast<double>(found->second) /
                                              mSettings.mKvTokensPerSecond);
  mDelayed.push_back(
    { SteadyMs() + transferMs, json{ { "tokens", found->second } }.dump(), aReply });
}

void
engine_double::ServeOrder(const json& aBody, const standin_reply& aReply)
{
  auto refuse = [&](int aStatus, const char* aReason) {
    auto entry = aBody;
    entry["status"] = aStatus;
    entry["at_ms"] = WallMs();
    mRefusedOrders.push_back(std::move(entry));
    aReply.Send(aStatus, json{ { "error", { { "message", aReason } } } }.dump());
  };
  auto fencing = aBody.value("fencing", std::uint64_t{ 0 });
  if (mSettings.mChecksFencing && fencing < mFencing) {
    refuse(409, "fencing token is stale");
  } else if (aBody.value("incarnation", std::uint64_t{ 0 }) != mIncarnation) {
    refuse(412, "incarnation differs");
  } else if (aBody.value("order", std::string{}) == mLastOrder && !mLastOrder.empty()) {
    aReply.Send(202, "{}");
  } else if (mChange) {
    refuse(423, "another engine order is in progress");
  } else {
    AcceptOrder(aBody);
    aReply.Send(202, "{}");
  }
}

void
engine_double::AcceptOrder(const json& aBody)
{
  mFencing = std::max(mFencing, aBody.value("fencing", std::uint64_t{ 0 }));
  mLastOrder = aBody.value("order", std::string{});
  auto entry = aBody;
  entry["at_ms"] = WallMs();
  entry["running"] = mOpen.size();
  mOrders.push_back(std::move(entry));

  change next;
  next.mRole = aBody.value("role", mSettings.mRole);
  next.mModel = aBody.value("model", mSettings.mModel);
  next.mVersion = aBody.value("version", mSettings.mVersion);
  next.mLoads = next.mModel != mSettings.mModel || next.mVersion != mSettings.mVersion;
  next.mUntilMs = SteadyMs() + mSettings.mChangeMs;
  next.mCrashMs = mSettings.mCrashInChange ? SteadyMs() + mSettings.mChangeMs / 2 : 0;
  mChange = next;

  // A real engine drops its batch on a change; streams still open here are cut off.
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, open] : mOpen) {
    numbers.push_back(number);
  }
  for (auto number : numbers) {
    EndStream(number, "cut by order", true);
  }
}

void
engine_double::AdvanceChange(std::int64_t aNowMs)
{
  if (!mChange) {
    return;
  }
  if (mChange->mCrashMs != 0 && aNowMs >= mChange->mCrashMs) {
    std::cerr << "exits in the middle of an engine order, as --crash_in_change asks\n";
    _exit(kCrashStatus);
  }
  if (aNowMs >= mChange->mUntilMs) {
    mSettings.mRole = mChange->mRole;
    mSettings.mModel = mChange->mModel;
    mSettings.mVersion = mChange->mVersion;
    mBatch.Cache().Clear(aNowMs);
    mChange.reset();
  }
}

void
engine_double::ServeCacheEvents(const standin_request& aRequest, const standin_reply& aReply)
{
  auto after = aRequest.QueryNumber("after", 0);
  auto visible = SteadyMs() - mSettings.mCacheEventDelayMs;
  json events = json::array();
  auto next = after;
  for (const auto& change : mBatch.Cache().Changes()) {
    if (change.mSequence <= after) {
      continue;
    }
    if (change.mAtMs > visible || events.size() >= kMaxEvents) {
      break;
    }
    next = change.mSequence;
    if (mSettings.mCacheEventGapEvery != 0 &&
        change.mSequence % mSettings.mCacheEventGapEvery == 0) {
      continue;
    }
    char piece[17];
    std::snprintf(piece, sizeof(piece), "%016llx", static_cast<unsigned long long>(change.mPiece));
    events.push_back({ { "seq", change.mSequence },
                       { "op", change.mAdded ? "add" : "evict" },
                       { "piece", piece } });
  }
  aReply.Send(200,
              Dump({ { "events", events }, { "next", next }, { "incarnation", mIncarnation } }));
}

json
engine_double::StateJson() const
{
  const auto& load = mSamples.front();
  const char* state = "ready";
  if (mChange) {
    state = mChange->mLoads ? "loading" : "changing";
  }
  return { { "name", mSettings.mName },
           { "incarnation", mIncarnation },
           { "service", mSettings.mService },
           { "role", mSettings.mRole },
           { "model", mSettings.mModel },
           { "version", mSettings.mVersion },
           { "state", state },
           { "checks_fencing", mSettings.mChecksFencing },
           { "fencing", mFencing },
           { "order", mLastOrder },
           { "running", load.mRunning },
           { "queued_prompt_tokens", load.mQueuedPromptTokens },
           { "decode_streams", load.mDecodeStreams },
           { "kv_used_tokens", load.mKvUsedTokens },
           { "sampled_ms_ago", SteadyMs() - load.mAtMs },
           { "prompt_tokens_total", load.mPromptTokensTotal },
           { "output_tokens_total", load.mOutputTokensTotal },
           { "prefill_tokens_per_s", mSettings.mSpeed.mPrefillTokensPerSecond },
           { "decode_tokens_per_s", mSettings.mSpeed.mDecodeTokensPerSecond } };
}

json
engine_double::LogJson() const
{
  return { { "incarnation", mIncarnation },
           { "orders", mOrders },
           { "refused_orders", mRefusedOrders },
           { "streams", mStreamLog } };
}

void
engine_double::ServeControl(const standin_request& aRequest, const standin_reply& aReply)
{
  if (aRequest.mPath == "/standin/log") {
    aReply.Send(200, Dump(LogJson()));
  } else if (aRequest.mPath == "/standin/faults" && aRequest.mMethod == "POST") {
    auto faults = json::parse(aRequest.mBody);
    mFrozen = faults.value("freeze_streams", mFrozen);
    mFailNext = faults.value("fail_next", mFailNext);
    mRefuseNotRun = faults.value("refuse_not_run", mRefuseNotRun);
    aReply.Send(200, "{}");
  } else {
    aReply.Send(404, R"({"error":{"message":"no such path"}})");
  }
}

std::string
engine_double::ChunkJson(const open_stream& aOpen,
                         const std::string& aText,
                         std::uint64_t aOffset) const
{
  json choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (aOpen.mChat) {
    choice["delta"] = { { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  return Dump({ { "id", aOpen.mId },
                { "model", mSettings.mModel },
                { "choices", json::array({ choice }) },
                { "skylarkwind", { { "offset", aOffset } } } });
}

json
engine_double::UsageJson(const engine_stream& aStream) const
{
  return { { "prompt_tokens", aStream.mPromptTokens },
           { "completion_tokens", aStream.mNext },
           { "total_tokens", aStream.mPromptTokens + aStream.mNext },
           { "prompt_tokens_details", { { "cached_tokens", aStream.mCachedTokens } } } };
}

std::string
engine_double::LastChunkJson(const open_stream& aOpen, const engine_stream& aStream) const
{
  json choice{ { "index", 0 }, { "finish_reason", aStream.mPrefillOnly ? "prefill" : "length" } };
  if (aOpen.mChat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  return Dump({ { "id", aOpen.mId },
                { "model", mSettings.mModel },
                { "choices", json::array({ choice }) },
                { "usage", UsageJson(aStream) },
                { "skylarkwind", { { "offset", aStream.mNext }, { "load", StateJson() } } } });
}

std::string
engine_double::WholeJson(const open_stream& aOpen, const engine_stream& aStream) const
{
  json choice{ { "index", 0 }, { "finish_reason", "length" } };
  if (aOpen.mChat) {
    choice["message"] = { { "role", "assistant" }, { "content", aOpen.mText } };
  } else {
    choice["text"] = aOpen.mText;
  }
  return Dump({ { "id", aOpen.mId },
                { "model", mSettings.mModel },
                { "choices", json::array({ choice }) },
                { "usage", UsageJson(aStream) },
                { "skylarkwind", { { "load", StateJson() } } } });
}

} // namespace skylarkwind
