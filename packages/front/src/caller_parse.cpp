#include "caller_parse_p.h"

#include "completion_parse_p.h"
#include "skylarkwind/hash.h"
#include "skylarkwind/http_syntax.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace skylarkwind {

namespace {

constexpr std::chrono::milliseconds kMaxTimeLimit = std::chrono::hours{ 24 };
constexpr std::size_t kMaxKeyBytes = 256;

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

/// True when the Connection header names this header.
bool
NamedByConnection(const header_list& aHeaders, std::string_view aName)
{
  std::string_view rest = HeaderValue(aHeaders, "Connection");
  while (!rest.empty()) {
    const auto end = std::min(rest.find_first_of(", \t"), rest.size());
    if (end > 0 && EqualIgnoringCase(rest.substr(0, end), aName)) {
      return true;
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return false;
}

/// Headers for a plain service. The body is passed whole, so its framing is dropped; the API key
/// is a secret between the caller and this system.
header_list
ForwardedHeaders(const header_list& aHeaders)
{
  header_list kept;
  for (const auto& header : aHeaders) {
    const auto& name = header.first;
    const bool dropped = IsHopByHop(name) || EqualIgnoringCase(name, "Content-Length") ||
                         EqualIgnoringCase(name, "Expect") ||
                         EqualIgnoringCase(name, "Authorization") ||
                         NamedByConnection(aHeaders, name);
    if (!dropped) {
      kept.push_back(header);
    }
  }
  return kept;
}

std::optional<refusal>
ReadTimeLimit(const header_list& aHeaders, caller_request& aParsed)
{
  const auto text = HeaderValue(aHeaders, "X-Request-Timeout-Ms");
  if (text.empty()) {
    return std::nullopt;
  }
  std::int64_t limitMs = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, limitMs);
  if (error != std::errc{} || stop != end || limitMs < 1 || limitMs > kMaxTimeLimit.count()) {
    return refusal{
      400, "invalid_time_limit", "X-Request-Timeout-Ms must be a number from 1 to 86400000", {}
    };
  }
  aParsed.mTimeLimit = std::chrono::milliseconds{ limitMs };
  return std::nullopt;
}

} // namespace

route
RouteOf(std::string_view aTarget)
{
  constexpr std::array<std::string_view, 5> kLocal{
    "/healthz", "/readyz", "/metrics", "/v1/models", "/admin"
  };
  const auto path = PathOf(aTarget);
  if (path == "/v1/completions") {
    return route::Completions;
  }
  if (path == "/v1/chat/completions") {
    return route::ChatCompletions;
  }
  const bool local =
    path.starts_with("/admin/") || std::find(kLocal.begin(), kLocal.end(), path) != kLocal.end();
  return local ? route::Local : route::Plain;
}

std::string_view
BearerToken(const header_list& aHeaders)
{
  constexpr std::string_view kScheme = "Bearer ";
  auto value = HeaderValue(aHeaders, "Authorization");
  if (!EqualIgnoringCase(value.substr(0, kScheme.size()), kScheme)) {
    return {};
  }
  value.remove_prefix(kScheme.size());
  return value.substr(std::min(value.find_first_not_of(' '), value.size()));
}

local_request
ToLocalRequest(received_request&& aRequest)
{
  local_request local;
  local.mPath = PathOf(aRequest.mTarget);
  if (local.mPath.size() < aRequest.mTarget.size()) {
    local.mQuery = aRequest.mTarget.substr(local.mPath.size() + 1);
  }
  local.mBearer = BearerToken(aRequest.mHeaders);
  local.mMethod = std::move(aRequest.mMethod);
  local.mBody = std::move(aRequest.mBody);
  return local;
}

std::variant<caller_request, refusal>
ParseCallerRequest(received_request&& aRequest)
{
  const auto kind = RouteOf(aRequest.mTarget);
  if (kind != route::Plain && aRequest.mMethod != "POST") {
    return refusal{ 405, "method_not_allowed", "this path takes POST only", "POST" };
  }
  caller_request parsed;
  const auto token = BearerToken(aRequest.mHeaders);
  if (!token.empty()) {
    parsed.mApiKeySha256 = Sha256Hex(token);
  }
  parsed.mIdempotencyKey = HeaderValue(aRequest.mHeaders, "Idempotency-Key");
  if (parsed.mIdempotencyKey.size() > kMaxKeyBytes) {
    return refusal{ 400, "invalid_idempotency_key", "Idempotency-Key is too long", {} };
  }
  parsed.mResumeToken = HeaderValue(aRequest.mHeaders, "Last-Event-ID");
  if (auto wrong = ReadTimeLimit(aRequest.mHeaders, parsed)) {
    return std::move(*wrong);
  }
  if (kind == route::Plain) {
    parsed.mOperation = plain_request{ std::move(aRequest.mMethod),
                                       std::move(aRequest.mTarget),
                                       ForwardedHeaders(aRequest.mHeaders),
                                       std::move(aRequest.mBody) };
    return parsed;
  }
  auto completion = ParseCompletion(std::move(aRequest.mBody), kind == route::ChatCompletions);
  if (auto* wrong = std::get_if<refusal>(&completion)) {
    return std::move(*wrong);
  }
  parsed.mOperation = std::get<completion_request>(std::move(completion));
  return parsed;
}

bool
IsHopByHop(std::string_view aName)
{
  constexpr std::array<std::string_view, 9> kNames{ "Connection",
                                                    "Keep-Alive",
                                                    "Proxy-Authenticate",
                                                    "Proxy-Authorization",
                                                    "Proxy-Connection",
                                                    "TE",
                                                    "Trailer",
                                                    "Transfer-Encoding",
                                                    "Upgrade" };
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view aOther) {
    return EqualIgnoringCase(aName, aOther);
  });
}

} // namespace skylarkwind
