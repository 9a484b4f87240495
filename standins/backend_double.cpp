#include "backend_double.h"

#include "backend_floods.h"

#include <algorithm>
#include <cstdlib>

namespace skylarkwind {

namespace {

using nlohmann::json;

constexpr int kCutAfterEvents = 3;
/// How late the second copy of an answer is.
constexpr std::int64_t kSecondCopyMs = 100;
/// Pause between the events of a slow stream, in times the usual one.
constexpr std::int64_t kSlowFactor = 80;
/// Exit status of a process that a request has ended.
constexpr int kCrashStatus = 3;

} // namespace

backend_double::backend_double(std::string aId,
                               std::string aStage,
                               backend_event_shape aEvents,
                               const std::string& aLogFile,
                               backend_crash aCrash)
  : mId(std::move(aId))
  , mStage(std::move(aStage))
  , mEvents(aEvents)
  , mCrash(std::move(aCrash))
{
  if (!aLogFile.empty()) {
    mLogFile.open(aLogFile, std::ios::app);
  }
}

std::string
backend_double::EventText(int aId) const
{
  auto text = "id: " + std::to_string(aId) + "\ndata: token" + std::to_string(aId) + '\n';
  constexpr std::size_t kCommentFrame = 3; // the colon and two line ends
  if (text.size() + kCommentFrame < mEvents.mPaddedTo) {
    text += ':' + std::string(mEvents.mPaddedTo - text.size() - kCommentFrame, '.') + '\n';
  }
  return text + '\n';
}

bool
backend_double::Crashes(const standin_request& aRequest) const
{
  const auto parts = ',' + aRequest.Header("x-skylarkwind-prefix-hash");
  const auto found = parts.find(',' + mCrash.mPart + ':');
  return !mCrash.mPart.empty() && found != std::string::npos &&
         parts.find(',', found + 1) != std::string::npos;
}

void
backend_double::Write(const stream& aStream, const std::string& aText) const
{
  if (mEvents.mUndelimited) {
    aStream.mReply.Raw(aText);
  } else {
    aStream.mReply.Chunk(aText);
  }
}

void
backend_double::EndStream(const stream& aStream) const
{
  if (mEvents.mUndelimited) {
    aStream.mReply.Close();
  } else {
    aStream.mReply.EndStream();
  }
}

std::string
backend_double::HeaderLines(const standin_request& aRequest) const
{
  const auto id =
    mMode == "other_id" ? std::string{ "another" } : aRequest.Header("x-skylarkwind-request-id");
  std::string lines = "X-Skylarkwind-Engine-Load: 1,0,8\r\n";
  if (mMode != "no_id") {
    lines += "X-Skylarkwind-Request-Id: " + id + "\r\n";
  }
  if (mMode == "leaving") {
    lines += "Server-Leaving: 1\r\n";
  }
  if (mMode != "unsigned") {
    lines += "X-Skylarkwind-Response-Signature: signed." + mId + "\r\n";
  }
  return lines;
}

void
backend_double::Record(const standin_request& aRequest, const std::string& aOutcome)
{
  Append({ { "id", aRequest.Header("x-skylarkwind-request-id") },
           { "method", aRequest.mMethod },
           { "path", aRequest.mPath },
           { "body", aRequest.mBody },
           { "headers", aRequest.mHeaders },
           { "outcome", aOutcome } });
}

void
backend_double::Append(json aRecord)
{
  if (mLogFile.is_open()) {
    mLogFile << json{
      { "at_ms", SteadyMs() },
      { "backend", mId },
      { "id", aRecord["id"] },
      { "path", aRecord.value("path", "") },
      { "outcome", aRecord["outcome"] }
    }.dump() << std::endl;
  }
  mLog.push_back(std::move(aRecord));
}

void
backend_double::OnRequest(const standin_request& aRequest, standin_reply aReply)
{
  if (aRequest.mPath.starts_with("/standin/")) {
    OnStandin(aRequest, aReply);
  } else if (aRequest.mPath == "/skylarkwind/report") {
    const json report{ { "Stage", mStage }, { "Busy", false }, { "Seq", mOrders }, { "born", 1 } };
    mReports[aRequest.mConnection] = report.dump();
    aReply.Send(200, report.dump());
  } else if (aRequest.mPath == "/skylarkwind/order") {
    OnOrder(aRequest, aReply);
  } else if (aRequest.mPath.starts_with("/skylarkwind/kv-handle/")) {
    Record(aRequest, "released");
    aReply.Send(200, "");
  } else {
    OnCaller(aRequest, aReply);
  }
}

void
backend_double::OnStandin(const standin_request& aRequest, const standin_reply& aReply)
{
  if (aRequest.mPath == "/standin/mode") {
    mMode = json::parse(aRequest.mBody)["mode"].get<std::string>();
    mRefused.clear();
    aReply.Send(200, "{}");
    return;
  }
  aReply.Send(200, mLog.dump());
}

void
backend_double::OnOrder(const standin_request& aRequest, const standin_reply& aReply)
{
  const auto order = json::parse(aRequest.mBody);
  Record(aRequest, "order");
  if (const auto report = mReports.find(aRequest.mConnection);
      mMode == "report_again" && report != mReports.end()) {
    aReply.Send(200, report->second);
  }
  if (order.value("Expect", std::uint64_t{ 0 }) != mOrders) {
    aReply.Send(409, "{}");
    return;
  }
  ++mOrders;
  mStage = order.value("Stage", mStage);
  aReply.Send(202, "{}");
}

void
backend_double::OnCaller(const standin_request& aRequest, const standin_reply& aReply)
{
  const auto expected = aRequest.Header("x-skylarkwind-expect-instance");
  if (mMode == "misdirected" || (!expected.empty() && expected != mId)) {
    Record(aRequest, "other server");
    aReply.Send(421, "", "text/plain", "X-Skylarkwind-Instance-Id: " + mId + "\r\n");
    return;
  }
  if (mMode == "shed" || mMode == "quiet") {
    Record(aRequest, "shed");
    const std::string quiet = mMode == "quiet" ? "Retry-After: 1.5\r\n" : "";
    aReply.Send(503,
                "",
                "text/plain",
                quiet + "X-Skylarkwind-Not-Executed: 1\r\nX-Skylarkwind-Request-Id: " +
                  aRequest.Header("x-skylarkwind-request-id") + "\r\n");
    return;
  }
  if (mMode.starts_with("refuse_again") && RefuseAgain(aRequest, aReply)) {
    return;
  }
  if (aRequest.Header("x-skylarkwind-stage") == "prefill") {
    if (mMode == "mute") {
      Record(aRequest, "muted");
      return;
    }
    Record(aRequest, "prefilled");
    const json body{ { "KvHandle", "h" + std::to_string(++mHandles) }, { "Tokens", 1 } };
    aReply.Send(200, body.dump(), "application/json", HeaderLines(aRequest));
    return;
  }
  Record(aRequest, "ran");
  if (Crashes(aRequest) && mCrash.mAfterEvents == 0) {
    std::_Exit(kCrashStatus);
  }
  if (mMode == "mute") {
    return;
  }
  if (mMode == "torn") {
    aReply.Close();
    return;
  }
  if (const auto bytes = FloodOf(mMode, HeaderLines(aRequest))) {
    aReply.Raw(bytes->mFirst);
    mFloods.push_back({ aRequest.mConnection, aReply, bytes->mAgain });
    return;
  }
  if (!aRequest.Header("x-skylarkwind-token-count").empty() && mMode != "fail") {
    BeginEvents(aRequest, aReply);
    return;
  }
  const int status = mMode == "error" || mMode == "fail" ? 500 : 200;
  const auto body = "answer of " + mId + " to " + aRequest.Header("x-skylarkwind-request-id");
  aReply.Send(status, body, "text/plain", HeaderLines(aRequest));
  if (mMode == "twice") {
    aReply.Send(status, body, "text/plain", HeaderLines(aRequest));
  } else if (mMode == "twice_late") {
    mSecondCopies.push_back(
      { aReply, status, body, HeaderLines(aRequest), SteadyMs() + kSecondCopyMs });
  }
}

bool
backend_double::RefuseAgain(const standin_request& aRequest, const standin_reply& aReply)
{
  constexpr int kUnavailable = 503;
  const auto send = [&aReply](const std::string& aHeaderLines) {
    aReply.Send(kUnavailable, "", "text/plain", aHeaderLines);
  };
  if (const auto refused = mRefused.find(aRequest.mConnection); refused != mRefused.end()) {
    if (mMode.starts_with("refuse_again_next") && !refused->second.empty()) {
      send(refused->second);
      refused->second.clear();
    }
    return false;
  }
  std::string lines = "X-Skylarkwind-Not-Executed: 1\r\n";
  if (!mMode.ends_with("_no_id")) {
    lines += "X-Skylarkwind-Request-Id: " + aRequest.Header("x-skylarkwind-request-id") + "\r\n";
  }
  mRefused[aRequest.mConnection] = lines;
  Record(aRequest, "shed");
  send(lines);
  if (mMode.starts_with("refuse_again_late")) {
    mSecondCopies.push_back({ aReply, kUnavailable, "", lines, SteadyMs() + kSecondCopyMs });
  } else if (!mMode.starts_with("refuse_again_next")) {
    send(lines);
  }
  return true;
}

void
backend_double::BeginEvents(const standin_request& aRequest, const standin_reply& aReply)
{
  const auto counts = aRequest.Header("x-skylarkwind-token-count");
  const auto after = aRequest.Header("last-event-id");
  stream opened{ aRequest.Header("x-skylarkwind-request-id"), aRequest.mConnection, aReply };
  opened.mNext = after.empty() ? 1 : std::stoi(after) + 1;
  opened.mLast = std::stoi(counts.substr(counts.find(',') + 1));
  opened.mCutAfter = mMode == "cut" ? kCutAfterEvents : 0;
  opened.mCommentsAfter = mMode == "trickle" ? kCutAfterEvents : 0;
  // Such a stream never ends whole, also when it is resumed shortly before its end.
  opened.mCrashAfter =
    Crashes(aRequest) ? std::min(opened.mNext - 1 + mCrash.mAfterEvents, opened.mLast) : 0;
  if (mEvents.mUndelimited) {
    aReply.Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" +
               HeaderLines(aRequest) + "\r\n");
  } else {
    aReply.BeginStream(HeaderLines(aRequest));
  }
  mStreams.push_back(std::move(opened));
}

void
backend_double::OnTick()
{
  const auto now = SteadyMs();
  for (const auto& flood : mFloods) {
    flood.mReply.Raw(flood.mBytes);
  }
  std::erase_if(mSecondCopies, [&](const second_copy& aCopy) {
    if (now < aCopy.mDueMs) {
      return false;
    }
    aCopy.mReply.Send(aCopy.mStatus, aCopy.mBody, "text/plain", aCopy.mHeaderLines);
    return true;
  });
  std::erase_if(mStreams, [&](stream& aStream) {
    if (now < aStream.mDueMs) {
      return false;
    }
    aStream.mDueMs = now + mEvents.mPauseMs * (mMode == "slow" ? kSlowFactor : 1);
    if (aStream.mCommentsAfter != 0 && aStream.mNext > aStream.mCommentsAfter) {
      aStream.mReply.Chunk(": still here\n\n");
      return false;
    }
    if (aStream.mCrashAfter != 0 && aStream.mNext > aStream.mCrashAfter) {
      std::_Exit(kCrashStatus);
    }
    if (aStream.mNext > aStream.mLast) {
      EndStream(aStream);
      return true;
    }
    if (aStream.mCutAfter != 0 && aStream.mNext > aStream.mCutAfter) {
      // The stream breaks off within an event.
      aStream.mReply.Chunk("id: " + std::to_string(aStream.mNext) + "\nda");
      aStream.mReply.Close();
      return true;
    }
    Write(aStream, EventText(aStream.mNext));
    ++aStream.mNext;
    return false;
  });
}

void
backend_double::OnConnectionClosed(std::uint64_t aConnection)
{
  mRefused.erase(aConnection);
  mReports.erase(aConnection);
  std::erase_if(mFloods, [&](const flood& aFlood) { return aFlood.mConnection == aConnection; });
  std::erase_if(mStreams, [&](const stream& aStream) {
    if (aStream.mConnection != aConnection) {
      return false;
    }
    Append({ { "id", aStream.mRequestId }, { "outcome", "cancelled" } });
    return true;
  });
}

} // namespace skylarkwind
