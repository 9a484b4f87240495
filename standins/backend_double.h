#pragma once

#include "http_host.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <fstream>
#include <list>
#include <map>
#include <string>

namespace skylarkwind {

/// The events of a backend server's streams.
struct backend_event_shape
{
  std::int64_t mPauseMs = 5; ///< between two events
  std::size_t mPaddedTo = 0; ///< size that a comment pads each event to; 0: no padding
  /// Streams have neither a length nor chunks and end with their connection.
  bool mUndelimited = false;
};

/// A part of prompts, never the last, that ends the process when it begins to answer a request.
struct backend_crash
{
  std::string mPart;    ///< id of the part; empty: none
  int mAfterEvents = 0; ///< events of the answer before the end
};

/// An engine or plain server of the users' platform. It answers any path, streams events when the
/// request has a token count, and records every run.
/// `POST /standin/mode` sets {"mode": "ok" | "shed" | "mute" | "cut" | "unsigned" | "other_id" |
/// "no_id" | "error" | "fail" | "torn" | "leaving" | "quiet" | "twice" | "twice_late" | "trickle" |
/// "slow" | "misdirected"}, one of the names in backend_floods.h, or {"mode": "refuse_again" |
/// "refuse_again_late" | "refuse_again_next"}, optionally with "_no_id" appended: the first request
/// on each connection since then is refused, and the refusal is written once more at once, after a
/// while, or right before the next request on the connection is processed. Later requests are
/// processed. In mode "report_again" the last state report on a connection is written once more
/// right before the response to an order. `GET /standin/log` returns the requests that arrived with
/// their headers.
class backend_double : public standin_app
{
public:
  /// With a log file each record is also a line of JSON there, with the time, which outlives the
  /// process.
  backend_double(std::string aId,
                 std::string aStage,
                 backend_event_shape aEvents,
                 const std::string& aLogFile = {},
                 backend_crash aCrash = {});

  void OnRequest(const standin_request& aRequest, standin_reply aReply) override;
  void OnTick() override;
  void OnConnectionClosed(std::uint64_t aConnection) override;

private:
  /// Bytes that are written again at each tick until the caller closes.
  struct flood
  {
    std::uint64_t mConnection = 0;
    standin_reply mReply;
    std::string mBytes;
  };
  /// An answer that is sent once more after its time.
  struct second_copy
  {
    standin_reply mReply;
    int mStatus = 200;
    std::string mBody;
    std::string mHeaderLines;
    std::int64_t mDueMs = 0;
  };
  struct stream
  {
    std::string mRequestId;
    std::uint64_t mConnection = 0;
    standin_reply mReply;
    int mNext = 1;
    int mLast = 0;
    int mCutAfter = 0;      ///< 0: never
    int mCrashAfter = 0;    ///< 0: never
    int mCommentsAfter = 0; ///< events before only comments come; 0: never
    std::int64_t mDueMs = 0;
  };

  void OnStandin(const standin_request& aRequest, const standin_reply& aReply);
  void OnCaller(const standin_request& aRequest, const standin_reply& aReply);
  /// Whether the request is refused in one of the modes that repeat refusals.
  bool RefuseAgain(const standin_request& aRequest, const standin_reply& aReply);
  void BeginEvents(const standin_request& aRequest, const standin_reply& aReply);
  void OnOrder(const standin_request& aRequest, const standin_reply& aReply);
  std::string EventText(int aId) const;
  /// Whether an answer to the request ends the process.
  bool Crashes(const standin_request& aRequest) const;
  /// Writes events or the end of a stream, in chunks or as they are.
  void Write(const stream& aStream, const std::string& aText) const;
  void EndStream(const stream& aStream) const;
  std::string HeaderLines(const standin_request& aRequest) const;
  void Record(const standin_request& aRequest, const std::string& aOutcome);
  void Append(nlohmann::json aRecord);

  std::string mId;
  std::string mStage;
  backend_event_shape mEvents;
  backend_crash mCrash;
  std::string mMode = "ok";
  std::list<stream> mStreams;
  std::list<flood> mFloods;
  std::list<second_copy> mSecondCopies;
  /// By connection: the header lines of the refusal of its first request.
  std::map<std::uint64_t, std::string> mRefused;
  std::map<std::uint64_t, std::string> mReports; ///< by connection: its last state report
  nlohmann::json mLog = nlohmann::json::array();
  std::ofstream mLogFile;
  std::uint64_t mOrders = 0;
  std::uint64_t mHandles = 0;
};

} // namespace skylarkwind
