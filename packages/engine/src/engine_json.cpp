#include "engine_json_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace skylarkwind {

namespace {

using nlohmann::json;

json
Parse(std::string_view aText)
{
  return json::parse(aText.begin(), aText.end(), nullptr, false);
}

/// The member, or null when there is none.
const json&
Member(const json& aObject, const char* aName)
{
  static const json kNull;
  if (!aObject.is_object()) {
    return kNull;
  }
  auto found = aObject.find(aName);
  return found == aObject.end() ? kNull : *found;
}

std::string
Text(const json& aObject, const char* aName)
{
  const auto& member = Member(aObject, aName);
  return member.is_string() ? member.get<std::string>() : std::string{};
}

std::uint64_t
Number(const json& aObject, const char* aName)
{
  const auto& member = Member(aObject, aName);
  return member.is_number_unsigned() ? member.get<std::uint64_t>() : 0;
}

double
Rate(const json& aObject, const char* aName)
{
  const auto& member = Member(aObject, aName);
  return member.is_number() ? member.get<double>() : 0;
}

constexpr std::array kRoles{ std::pair{ engine_role::Prefill, "prefill" },
                             std::pair{ engine_role::Decode, "decode" },
                             std::pair{ engine_role::Both, "both" } };

constexpr std::array kActivities{ std::pair{ engine_report::activity::Ready, "ready" },
                                  std::pair{ engine_report::activity::Loading, "loading" },
                                  std::pair{ engine_report::activity::Changing, "changing" } };

template<class table>
auto
Find(const table& aTable, const std::string& aText)
{
  auto found = std::find_if(
    aTable.begin(), aTable.end(), [&](const auto& aEntry) { return aEntry.second == aText; });
  return found == aTable.end() ? std::nullopt : std::optional{ found->first };
}

std::optional<engine_report>
ReportFrom(const json& aState)
{
  auto role = Find(kRoles, Text(aState, "role"));
  auto activity = Find(kActivities, Text(aState, "state"));
  if (!role || !activity || Number(aState, "incarnation") == 0) {
    return std::nullopt;
  }
  engine_report report;
  report.mName = Text(aState, "name");
  report.mIncarnation = Number(aState, "incarnation");
  report.mService = Text(aState, "service");
  report.mRole = *role;
  report.mModel = Text(aState, "model");
  report.mVersion = Text(aState, "version");
  report.mActivity = *activity;
  const auto& checks = Member(aState, "checks_fencing");
  report.mChecksFencing = checks.is_boolean() && checks.get<bool>();
  report.mFencing = Number(aState, "fencing");
  report.mOrder = Text(aState, "order");
  report.mRunning = Number(aState, "running");
  report.mQueuedPromptTokens = Number(aState, "queued_prompt_tokens");
  report.mDecodeStreams = Number(aState, "decode_streams");
  report.mKvUsedTokens = Number(aState, "kv_used_tokens");
  // An age beyond a day says nothing more than "old" and would overflow in arithmetic.
  constexpr std::uint64_t kDayMs = 86'400'000;
  report.mSampleAge =
    std::chrono::milliseconds{ std::min(Number(aState, "sampled_ms_ago"), kDayMs) };
  report.mPromptTokensTotal = Number(aState, "prompt_tokens_total");
  report.mOutputTokensTotal = Number(aState, "output_tokens_total");
  report.mPrefillTokensPerSecond = Rate(aState, "prefill_tokens_per_s");
  report.mDecodeTokensPerSecond = Rate(aState, "decode_tokens_per_s");
  return report;
}

std::optional<token_usage>
UsageFrom(const json& aUsage)
{
  if (!aUsage.is_object()) {
    return std::nullopt;
  }
  return token_usage{ Number(aUsage, "prompt_tokens"),
                      Number(aUsage, "completion_tokens"),
                      Number(Member(aUsage, "prompt_tokens_details"), "cached_tokens") };
}

std::optional<std::uint64_t>
HexNumber(const std::string& aText)
{
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  auto [stop, error] = std::from_chars(aText.data(), end, value, 16);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return value;
}

std::string
LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
    return std::tolower(aByte);
  });
  return aText;
}

} // namespace

std::string_view
EngineErrorText(engine_error aError)
{
  switch (aError) {
    case engine_error::NotSent:
      return "not sent";
    case engine_error::NotRun:
      return "not run";
    case engine_error::Rejected:
      return "rejected";
    case engine_error::Broken:
      return "connection failed";
    case engine_error::Silent:
      return "silent";
    case engine_error::Malformed:
      return "malformed answer";
  }
  return "unknown";
}

attempt_failed::cause
ConvertEngineError(engine_error aError)
{
  switch (aError) {
    case engine_error::NotSent:
      return attempt_failed::cause::NotSent;
    case engine_error::NotRun:
      return attempt_failed::cause::NotRun;
    case engine_error::Rejected:
      return attempt_failed::cause::Rejected;
    case engine_error::Silent:
      return attempt_failed::cause::Silent;
    case engine_error::Broken:
    case engine_error::Malformed:
      break;
  }
  return attempt_failed::cause::Interrupted;
}

std::optional<std::string>
GenerationBody(const generate_call& aCall)
{
  auto body = Parse(aCall.mBody);
  if (!body.is_object()) {
    return std::nullopt;
  }
  json extra{ { "stream", aCall.mStream }, { "seed", aCall.mSeed } };
  extra["priority"] = aCall.mPriority;
  if (aCall.mResumeFrom > 0) {
    extra["resume_from"] = aCall.mResumeFrom;
  }
  if (!aCall.mPriorText.empty()) {
    extra["prior_text"] = aCall.mPriorText;
  }
  if (aCall.mKv) {
    extra["kv"] = { { "address", aCall.mKv->mAddress }, { "handle", aCall.mKv->mHandle } };
  }
  if (aCall.mPrefillOnly) {
    extra["prefill_only"] = true;
  }
  body["model"] = aCall.mModel;
  body["stream"] = true;
  body["skylarkwind"] = std::move(extra);
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<generation_chunk>
ReadChunk(std::string_view aText, bool aChat)
{
  auto value = Parse(aText);
  if (!value.is_object()) {
    return std::nullopt;
  }
  generation_chunk chunk;
  const auto& error = Member(value, "error");
  if (!error.is_null()) {
    chunk.mError = error.is_string() ? error.get<std::string>() : Text(error, "message");
    chunk.mError = chunk.mError.empty() ? "error in the stream" : chunk.mError;
    return chunk;
  }
  const auto& choices = Member(value, "choices");
  if (choices.is_array() && !choices.empty()) {
    const auto& choice = choices.front();
    chunk.mText = aChat ? Text(Member(choice, "delta"), "content") : Text(choice, "text");
    chunk.mFinishReason = Text(choice, "finish_reason");
  }
  const auto& extra = Member(value, "skylarkwind");
  if (Member(extra, "offset").is_number_unsigned()) {
    chunk.mOffset = Number(extra, "offset");
  }
  chunk.mUsage = UsageFrom(Member(value, "usage"));
  chunk.mReport = ReportFrom(Member(extra, "load"));
  return chunk;
}

std::optional<engine_report>
ReadReport(std::string_view aText)
{
  return ReportFrom(Parse(aText));
}

engine_error
ReadRefusal(int aStatus, std::string_view aBody)
{
  if (aStatus == 503 || aStatus == 429) {
    const auto body = Parse(aBody);
    const auto& notRun = Member(body, "not_run");
    if (notRun.is_boolean() && notRun.get<bool>()) {
      return engine_error::NotRun;
    }
  }
  return aStatus >= 400 && aStatus < 500 ? engine_error::Rejected : engine_error::Broken;
}

std::string
OrderBody(const engine_command& aOrder)
{
  const auto* role = std::find_if(
    kRoles.begin(), kRoles.end(), [&](const auto& aEntry) { return aEntry.first == aOrder.mRole; });
  return json{
    { "order", aOrder.mOrder },
    { "fencing", aOrder.mFencing },
    { "incarnation", aOrder.mIncarnation },
    { "expires_in_ms", aOrder.mExpiresIn.count() },
    { "role", role->second },
    { "model", aOrder.mModel },
    { "version", aOrder.mVersion }
  }.dump(-1, ' ', false, json::error_handler_t::replace);
}

engine_command_result
ReadOrderStatus(int aStatus)
{
  switch (aStatus) {
    case 202:
      return engine_command_result::Accepted;
    case 409:
      return engine_command_result::StaleFencing;
    case 412:
      return engine_command_result::WrongIncarnation;
    case 423:
      return engine_command_result::Busy;
    default:
      return engine_command_result::NoAnswer;
  }
}

std::string
ExportBody(const std::string& aStream)
{
  return json{ { "stream", aStream } }.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::string>
ReadExport(std::string_view aText)
{
  auto handle = Text(Parse(aText), "handle");
  return handle.empty() ? std::nullopt : std::optional{ handle };
}

std::optional<cache_events_page>
ReadCacheEventsPage(std::string_view aText)
{
  auto value = Parse(aText);
  const auto& events = Member(value, "events");
  if (!events.is_array() || !Member(value, "next").is_number_unsigned()) {
    return std::nullopt;
  }
  cache_events_page page;
  page.mNext = Number(value, "next");
  page.mIncarnation = Number(value, "incarnation");
  for (const auto& entry : events) {
    auto block = HexNumber(Text(entry, "piece"));
    auto operation = Text(entry, "op");
    if (block && (operation == "add" || operation == "evict")) {
      page.mEvents.push_back({ Number(entry, "seq"), operation == "add", *block });
    }
  }
  return page;
}

header_list
EndToEndHeaders(const header_list& aHeaders)
{
  std::vector<std::string> dropped{ "connection",       "keep-alive", "proxy-authenticate",
                                    "proxy-connection", "te",         "proxy-authorization",
                                    "trailer",          "upgrade",    "transfer-encoding",
                                    "content-length",   "host",       "expect" };
  for (const auto& [name, value] : aHeaders) {
    if (LowerCase(name) != "connection") {
      continue;
    }
    // The Connection header names further headers of this connection.
    std::string token;
    for (char byte : LowerCase(value) + ",") {
      if (byte == ',') {
        dropped.push_back(std::exchange(token, {}));
      } else if (byte != ' ' && byte != '\t') {
        token += byte;
      }
    }
  }
  header_list kept;
  for (const auto& header : aHeaders) {
    if (std::find(dropped.begin(), dropped.end(), LowerCase(header.first)) == dropped.end()) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace skylarkwind
