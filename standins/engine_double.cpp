#include "engine_double.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <unistd.h>

namespace skylarkwind {

namespace {

using nlohmann::json;

constexpr std::int64_t kSampleStepMs = 10;
/// Prompts whose KV cache can still be exported after their stream ended.
constexpr std::size_t kMaxExportable = 4096;
constexpr std::string_view kNotRun =
  R"({"error":{"message":"engine is not ready"},"not_run":true})";

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

std::string
PromptText(const json& aBody)
{
  if (!aBody.contains("messages")) {
    return aBody.value("prompt", std::string{});
  }
  std::string text;
  for (const auto& message : aBody["messages"]) {
    if (message.contains("content") && message["content"].is_string()) {
      text += message["content"].get_ref<const std::string&>();
    }
  }
  return text;
}

} // namespace

engine_double::engine_double(engine_double_settings aSettings)
  : mSettings(std::move(aSettings))
  , mBatch(mSettings.mSpeed)
  , mIncarnation(static_cast<std::uint64_t>(WallMs()))
  , mLastTickMs(SteadyMs())
{
  mSamples.push_back(mBatch.Load(mLastTickMs));
}

void
engine_double::OnRequest(const standin_request& aRequest, standin_reply aReply)
{
  const auto& path = aRequest.mPath;
  bool post = aRequest.mMethod == "POST";
  if (post && (path == "/v1/completions" || path == "/v1/chat/completions")) {
    ServeGeneration(aRequest, aReply);
  } else if (path == "/v1/engine/state") {
    aReply.Send(200, Dump(StateJson()));
  } else if (post && path == "/v1/engine/orders") {
    ServeOrder(json::parse(aRequest.mBody), aReply);
  } else if (path == "/v1/engine/cache_events") {
    ServeCacheEvents(aRequest, aReply);
  } else if (path.starts_with("/v1/engine/kv/")) {
    ServeKv(aRequest, aReply);
  } else if (post && path.starts_with("/v1/engine/streams/") && path.ends_with("/cancel")) {
    ServeCancel(aRequest, aReply);
  } else {
    ServeControl(aRequest, aReply);
  }
}

void
engine_double::ServeGeneration(const standin_request& aRequest, const standin_reply& aReply)
{
  auto body = json::parse(aRequest.mBody, nullptr, false);
  if (!body.is_object()) {
    aReply.Send(400, R"({"error":{"message":"body is not a JSON object"}})");
    return;
  }
  if (mRefuseNotRun > 0 || mChange || mBatch.Full()) {
    mRefuseNotRun = std::max(0, mRefuseNotRun - 1);
    aReply.Send(503, kNotRun);
    return;
  }
  if (body.contains("model") && body["model"] != mSettings.mModel) {
    aReply.Send(404, R"({"error":{"message":"model is not loaded"}})");
    return;
  }
  StartStream(aRequest, body, aReply);
}

void
engine_double::StartStream(const standin_request& aRequest,
                           const json& aBody,
                           const standin_reply& aReply)
{
  auto extra = aBody.value("skylarkwind", json::object());
  auto stream = std::make_shared<engine_stream>();
  stream->mNumber = ++mNumbers;
  stream->mId = extra.value("stream", "local-" + std::to_string(mNumbers));
  stream->mPrompt = PromptText(aBody);
  stream->mPromptTokens =
    std::max<std::uint64_t>(1, (stream->mPrompt.size() + kBytesPerToken - 1) / kBytesPerToken);
  stream->mSeed = extra.value("seed", std::uint64_t{ 0 });
  stream->mKey =
    Hash64(stream->mPrompt + '\n' + mSettings.mModel + '\n' + mSettings.mVersion, stream->mSeed);
  stream->mResumeFrom = extra.value("resume_from", std::uint64_t{ 0 });
  stream->mMaxTokens =
    aBody.value("max_tokens", aBody.value("max_completion_tokens", std::uint64_t{ 16 }));
  stream->mPriority = extra.value("priority", 0);
  stream->mPrefillOnly = extra.value("prefill_only", false);
  stream->mOnTokens = [this](const engine_stream& aStream, const std::string& aText) {
    OnTokens(aStream, aText);
  };
  stream->mOnDone = [this](const engine_stream& aStream) { OnDone(aStream); };

  mStreamLog.push_back({ { "stream", stream->mId },
                         { "resume_from", stream->mResumeFrom },
                         { "seed", stream->mSeed },
                         { "priority", stream->mPriority },
                         { "prefill_only", stream->mPrefillOnly },
                         { "prompt_tokens", stream->mPromptTokens },
                         { "outcome", "running" },
                         { "at_ms", WallMs() } });
  open_stream open{ aRequest.mConnection,
                    aRequest.mPath == "/v1/chat/completions",
                    aBody.value("stream", false),
                    stream->mId,
                    {},
                    0,
                    mStreamLog.size() - 1,
                    aReply };
  if (mFailNext > 0) {
    --mFailNext;
    open.mFailAfter = stream->mResumeFrom + std::max<std::uint64_t>(1, stream->mMaxTokens / 2);
  }
  if (open.mStreaming) {
    aReply.BeginStream();
  }
  mOpen.emplace(stream->mNumber, std::move(open));
  bool import = extra.contains("kv") && extra["kv"].is_object();
  if (import) {
    stream->mPhase = stream_phase::Importing;
    StartImport(stream->mNumber, extra["kv"]);
  }
  mBatch.Add(std::move(stream));
}

void
engine_double::OnTokens(const engine_stream& aStream, const std::string& aText)
{
  auto found = mOpen.find(aStream.mNumber);
  if (found == mOpen.end()) {
    return;
  }
  auto& open = found->second;
  if (open.mStreaming) {
    open.mReply.Chunk("data: " + ChunkJson(open, aText, aStream.mNext) + "\n\n");
  } else {
    open.mText += aText;
  }
  mStreamLog[open.mLogIndex]["tokens"] = aStream.mNext;
  if (open.mFailAfter != 0 && aStream.mNext >= open.mFailAfter) {
    EndStream(aStream.mNumber, "failed", true);
  }
}

void
engine_double::OnDone(const engine_stream& aStream)
{
  auto found = mOpen.find(aStream.mNumber);
  if (found == mOpen.end()) {
    return;
  }
  auto& open = found->second;
  auto& log = mStreamLog[open.mLogIndex];
  log["cached_tokens"] = aStream.mCachedTokens;
  log["imported"] = aStream.mImported;
  mStreamPrefixes[aStream.mId] = aStream.mPromptTokens;
  mPrefixOrder.push_back(aStream.mId);
  if (mPrefixOrder.size() > kMaxExportable) {
    mStreamPrefixes.erase(mPrefixOrder.front());
    mPrefixOrder.pop_front();
  }
  if (open.mStreaming) {
    open.mReply.Chunk("data: " + LastChunkJson(open, aStream) + "\n\ndata: [DONE]\n\n");
    open.mReply.EndStream();
  } else {
    open.mReply.Send(200, WholeJson(open, aStream));
  }
  EndStream(aStream.mNumber, "finished", false);
}

/// Forgets the HTTP side; the batch drops a stream without one at the next step.
void
engine_double::EndStream(std::uint64_t aNumber, const std::string& aOutcome, bool aClose)
{
  auto found = mOpen.find(aNumber);
  if (found == mOpen.end()) {
    return;
  }
  mStreamLog[found->second.mLogIndex]["outcome"] = aOutcome;
  if (aClose) {
    found->second.mReply.Close();
  }
  mOpen.erase(found);
}

void
engine_double::ServeCancel(const standin_request& aRequest, const standin_reply& aReply)
{
  constexpr std::string_view kBefore = "/v1/engine/streams/";
  constexpr std::string_view kAfter = "/cancel";
  auto id =
    aRequest.mPath.substr(kBefore.size(), aRequest.mPath.size() - kBefore.size() - kAfter.size());
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, open] : mOpen) {
    if (open.mId == id) {
      numbers.push_back(number);
    }
  }
  for (auto number : numbers) {
    EndStream(number, "cancelled", true);
  }
  aReply.Send(200, json{ { "cancelled", numbers.size() } }.dump());
}

void
engine_double::OnConnectionClosed(std::uint64_t aConnection)
{
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, open] : mOpen) {
    if (open.mConnection == aConnection) {
      numbers.push_back(number);
    }
  }
  for (auto number : numbers) {
    EndStream(number, "cancelled", false);
  }
}

void
engine_double::OnTick()
{
  auto now = SteadyMs();
  auto seconds = static_cast<double>(now - mLastTickMs) / 1000.0;
  mLastTickMs = now;
  AdvanceChange(now);
  TakeImports(now);
  while (!mDelayed.empty() && mDelayed.front().mAtMs <= now) {
    mDelayed.front().mReply.Send(200, mDelayed.front().mBody);
    mDelayed.pop_front();
  }
  mBatch.Remove([&](const engine_stream& aStream) { return !mOpen.contains(aStream.mNumber); });
  if (!mFrozen && !mChange) {
    mBatch.Advance(seconds, now);
  }
  SampleLoad(now);
}

void
engine_double::SampleLoad(std::int64_t aNowMs)
{
  if (mSamples.empty() || aNowMs - mSamples.back().mAtMs >= kSampleStepMs) {
    mSamples.push_back(mBatch.Load(aNowMs));
  }
  while (mSamples.size() > 1 && mSamples[1].mAtMs <= aNowMs - mSettings.mReportLagMs) {
    mSamples.pop_front();
  }
}

} // namespace skylarkwind
