#include "answer_format_p.h"

#include "caller_parse_p.h"

#include "skylarkwind/http_syntax.h"

#include <nlohmann/json.hpp>

#include <pistache/http_defs.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace skylarkwind {

namespace {

using nlohmann::json;

std::string
ToJson(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string
Quoted(std::string_view aText)
{
  return ToJson(json(aText));
}

std::string
UsageJson(const token_usage& aUsage)
{
  return "{\"prompt_tokens\":" + std::to_string(aUsage.mPromptTokens) +
         ",\"completion_tokens\":" + std::to_string(aUsage.mCompletionTokens) +
         ",\"total_tokens\":" + std::to_string(aUsage.mPromptTokens + aUsage.mCompletionTokens) +
         ",\"prompt_tokens_details\":{\"cached_tokens\":" + std::to_string(aUsage.mCachedTokens) +
         "}}";
}

bool
HasNoControls(std::string_view aText)
{
  return std::none_of(aText.begin(), aText.end(), [](char aChar) {
    return (static_cast<unsigned char>(aChar) < 0x20 && aChar != '\t') || aChar == 0x7f;
  });
}

bool
IsSendable(const std::string& aName, const std::string& aValue)
{
  const bool nameOk =
    !aName.empty() && HasNoControls(aName) && aName.find_first_of(": \t") == std::string::npos;
  return nameOk && HasNoControls(aValue) && !IsHopByHop(aName) &&
         !EqualIgnoringCase(aName, "Content-Length");
}

std::string
StatusLine(int aStatus)
{
  // Pistache's table has no text for unknown codes; HTTP allows an empty one.
  const char* reason = Pistache::Http::codeString(static_cast<Pistache::Http::Code>(aStatus));
  return "HTTP/1.1 " + std::to_string(aStatus) + " " + (reason != nullptr ? reason : "") + "\r\n";
}

std::string_view
ConnectionLine(const answer_framing& aFraming)
{
  if (!aFraming.mKeepAlive) {
    return "Connection: close\r\n";
  }
  return aFraming.mHttp10 ? "Connection: keep-alive\r\n" : "";
}

/// An event line must not break, whatever the token holds.
std::string
IdLine(std::string_view aResumeToken)
{
  return aResumeToken.empty() || !HasNoControls(aResumeToken)
           ? std::string{}
           : "id: " + std::string{ aResumeToken } + "\n";
}

} // namespace

std::string
ErrorBody(const caller_error& aError)
{
  return ToJson({ { "error",
                    { { "message", aError.mMessage },
                      { "type", aError.mType },
                      { "code", aError.mCode },
                      { "run", RunStateText(aError.mRun) } } } });
}

std::string
WholeAnswer(int aStatus,
            const header_list& aHeaders,
            std::string_view aBody,
            const answer_framing& aFraming)
{
  std::string out = StatusLine(aStatus);
  for (const auto& [name, value] : aHeaders) {
    if (IsSendable(name, value)) {
      out.append(name).append(": ").append(value).append("\r\n");
    }
  }
  out += ConnectionLine(aFraming);
  const bool bodyless = aStatus == 204 || aStatus == 304 || aStatus < 200;
  if (!bodyless) {
    out += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  out += "\r\n";
  if (!bodyless && !aFraming.mHead) {
    out += aBody;
  }
  return out;
}

std::string
StreamHead(const answer_framing& aFraming)
{
  std::string out = StatusLine(200);
  out += "Content-Type: text/event-stream\r\nCache-Control: no-cache\r\n";
  out += ConnectionLine(aFraming);
  out += aFraming.mHttp10 ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
  return out;
}

std::string
StreamPiece(std::string_view aText, const answer_framing& aFraming)
{
  if (aFraming.mHttp10) {
    return std::string{ aText };
  }
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), aText.size(), 16).ptr;
  std::string out{ digits.begin(), end };
  out.append("\r\n").append(aText).append("\r\n");
  return out;
}

std::string_view
StreamEnd(const answer_framing& aFraming)
{
  return aFraming.mHttp10 ? "" : "0\r\n\r\n";
}

completion_format::completion_format(std::uint64_t aRequest,
                                     bool aChat,
                                     std::string_view aModel,
                                     std::int64_t aCreatedSeconds)
  : mChat(aChat)
  , mId((aChat ? "chatcmpl-" : "cmpl-") + std::to_string(aRequest))
  , mModelJson(Quoted(aModel))
  , mCreatedSeconds(aCreatedSeconds)
{
}

std::string
completion_format::Opening(std::string_view aObject) const
{
  std::string out = R"({"id":")" + mId + R"(","object":")";
  out.append(aObject).append(R"(","created":)").append(std::to_string(mCreatedSeconds));
  out.append(R"(,"model":)").append(mModelJson).append(R"(,"choices":[{"index":0,)");
  return out;
}

std::string
completion_format::TokensEvent(std::string_view aText,
                               std::string_view aResumeToken,
                               bool aFirst) const
{
  std::string out = IdLine(aResumeToken) + "data: ";
  if (mChat) {
    out += Opening("chat.completion.chunk") + R"("delta":{)";
    out += aFirst ? R"("role":"assistant",)" : "";
    out += R"("content":)" + Quoted(aText) + "}";
  } else {
    out += Opening("text_completion") + R"("text":)" + Quoted(aText);
  }
  return out + ",\"finish_reason\":null}]}\n\n";
}

std::string
completion_format::LastEvents(const caller_completed& aCompleted,
                              std::string_view aResumeToken) const
{
  std::string out = IdLine(aResumeToken) + "data: ";
  out += mChat ? Opening("chat.completion.chunk") + R"("delta":{})"
               : Opening("text_completion") + R"("text":"")";
  out += ",\"finish_reason\":" + Quoted(aCompleted.mFinishReason) +
         "}],\"usage\":" + UsageJson(aCompleted.mUsage) + "}\n\n";
  return out + "data: [DONE]\n\n";
}

std::string
completion_format::WholeObject(const std::string& aText, const caller_completed& aCompleted) const
{
  std::string out = mChat ? Opening("chat.completion") +
                              R"("message":{"role":"assistant","content":)" + Quoted(aText) + "}"
                          : Opening("text_completion") + R"("text":)" + Quoted(aText);
  return out + ",\"finish_reason\":" + Quoted(aCompleted.mFinishReason) +
         "}],\"usage\":" + UsageJson(aCompleted.mUsage) + "}";
}

std::string
ErrorEvent(const caller_error& aError)
{
  return "data: " + ErrorBody(aError) + "\n\n";
}

} // namespace skylarkwind
