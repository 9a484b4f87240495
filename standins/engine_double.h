#pragma once

#include "engine_batch.h"
#include "http_host.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

struct engine_double_settings
{
  std::string mName;
  std::string mService;
  std::string mRole;
  std::string mModel;
  std::string mVersion;
  engine_speed mSpeed;
  std::int64_t mReportLagMs = 0;
  std::int64_t mChangeMs = 500;
  std::int64_t mCacheEventDelayMs = 0;
  std::uint64_t mCacheEventGapEvery = 0; ///< each n-th event is never published; 0 means none
  double mKvTokensPerSecond = 2'000'000;
  bool mChecksFencing = true;
  bool mCrashInChange = false;
};

/// A model engine (docs/design.md 5.2) that computes nothing: output is a hash of its inputs.
class engine_double : public standin_app
{
public:
  explicit engine_double(engine_double_settings aSettings);

  void OnRequest(const standin_request& aRequest, standin_reply aReply) override;
  void OnTick() override;
  void OnConnectionClosed(std::uint64_t aConnection) override;

private:
  struct change
  {
    std::int64_t mUntilMs = 0;
    std::int64_t mCrashMs = 0;
    std::string mRole;
    std::string mModel;
    std::string mVersion;
    bool mLoads = false;
  };
  /// The HTTP side of one generation.
  struct open_stream
  {
    std::uint64_t mConnection = 0;
    bool mChat = false;
    bool mStreaming = false;
    std::string mId;
    std::string mText; ///< for a whole answer
    std::uint64_t mFailAfter = 0;
    std::size_t mLogIndex = 0;
    standin_reply mReply;
  };
  struct import_result
  {
    std::uint64_t mNumber = 0;
    std::uint64_t mTokens = 0;
    std::int64_t mAtMs = 0;
  };
  struct delayed_answer
  {
    std::int64_t mAtMs = 0;
    std::string mBody;
    standin_reply mReply;
  };

  void ServeGeneration(const standin_request& aRequest, const standin_reply& aReply);
  void StartStream(const standin_request& aRequest,
                   const nlohmann::json& aBody,
                   const standin_reply& aReply);
  void ServeOrder(const nlohmann::json& aBody, const standin_reply& aReply);
  void AcceptOrder(const nlohmann::json& aBody);
  void ServeCacheEvents(const standin_request& aRequest, const standin_reply& aReply);
  void ServeKv(const standin_request& aRequest, const standin_reply& aReply);
  void ServeCancel(const standin_request& aRequest, const standin_reply& aReply);
  void ServeControl(const standin_request& aRequest, const standin_reply& aReply);
  nlohmann::json StateJson() const;
  nlohmann::json LogJson() const;
  std::string ChunkJson(const open_stream& aOpen,
                        const std::string& aText,
                        std::uint64_t aOffset) const;
  std::string LastChunkJson(const open_stream& aOpen, const engine_stream& aStream) const;
  std::string WholeJson(const open_stream& aOpen, const engine_stream& aStream) const;
  nlohmann::json UsageJson(const engine_stream& aStream) const;
  void OnTokens(const engine_stream& aStream, const std::string& aText);
  void OnDone(const engine_stream& aStream);
  void EndStream(std::uint64_t aNumber, const std::string& aOutcome, bool aClose);
  void StartImport(std::uint64_t aNumber, const nlohmann::json& aKv);
  void AdvanceChange(std::int64_t aNowMs);
  void TakeImports(std::int64_t aNowMs);
  void SampleLoad(std::int64_t aNowMs);

  engine_double_settings mSettings;
  engine_batch mBatch;
  std::uint64_t mIncarnation;
  std::uint64_t mFencing = 0;
  std::string mLastOrder;
  std::optional<change> mChange;
  std::uint64_t mNumbers = 0;
  std::unordered_map<std::uint64_t, open_stream> mOpen;
  std::deque<engine_load> mSamples;
  std::deque<delayed_answer> mDelayed;
  std::map<std::string, std::uint64_t> mExports;        ///< handle -> tokens
  std::map<std::string, std::uint64_t> mStreamPrefixes; ///< stream -> tokens, for export
  std::deque<std::string> mPrefixOrder;
  std::vector<nlohmann::json> mOrders;
  std::vector<nlohmann::json> mRefusedOrders;
  std::vector<nlohmann::json> mStreamLog;
  std::int64_t mLastTickMs = 0;
  bool mFrozen = false;
  int mFailNext = 0;
  int mRefuseNotRun = 0;
  std::mutex mImportsMutex;
  std::vector<import_result> mImports; ///< guarded by mImportsMutex
};

} // namespace skylarkwind
