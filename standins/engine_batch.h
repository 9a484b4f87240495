#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

/// Tokens in one piece of the prefix cache, and bytes of prompt text in one token.
constexpr std::uint64_t kBlockTokens = 4096;
constexpr std::uint64_t kBytesPerToken = 4;

struct engine_speed
{
  double mPrefillTokensPerSecond = 20'000;
  double mDecodeTokensPerSecond = 2'000; ///< shared by the batch
  double mStreamTokensPerSecond = 0;     ///< upper limit of one stream; 0 means none
  std::size_t mMaxBatch = 32;
  std::size_t mMaxQueue = 10'000;
  std::size_t mCachePieces = 256;
};

struct cache_change
{
  std::uint64_t mSequence = 0;
  bool mAdded = false;
  std::uint64_t mPiece = 0;
  std::int64_t mAtMs = 0;
};

/// Prefix cache of limited size, least recently used piece out first.
class prefix_cache
{
public:
  explicit prefix_cache(std::size_t aPieces)
    : mLimit(aPieces)
  {
  }
  /// Hashes of the prompt's whole pieces; each covers the text up to its end.
  static std::vector<std::uint64_t> Pieces(const std::string& aPrompt);
  /// Tokens of the prompt that are cached, counted from its start.
  std::uint64_t CachedTokens(const std::vector<std::uint64_t>& aPieces);
  void Add(const std::vector<std::uint64_t>& aPieces, std::int64_t aNowMs);
  void Clear(std::int64_t aNowMs);
  std::size_t Size() const { return mWhere.size(); }
  const std::deque<cache_change>& Changes() const { return mChanges; }

private:
  void Record(bool aAdded, std::uint64_t aPiece, std::int64_t aNowMs);
  std::size_t mLimit;
  std::list<std::uint64_t> mOrder; ///< newest first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mWhere;
  std::deque<cache_change> mChanges;
  std::uint64_t mSequence = 0;
};

enum class stream_phase
{
  Importing,
  Queued,
  Prefill,
  Decode,
  Ended
};

/// One generation.
struct engine_stream
{
  std::uint64_t mNumber = 0; ///< unique in this process
  std::string mId;
  std::string mPrompt;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mSeed = 0;
  std::uint64_t mKey = 0; ///< hash of prompt, seed, model and version
  std::uint64_t mResumeFrom = 0;
  std::uint64_t mMaxTokens = 16;
  int mPriority = 0;
  bool mPrefillOnly = false;
  bool mImported = false;
  stream_phase mPhase = stream_phase::Queued;
  double mPrefillLeft = 0;
  double mDecodeCredit = 0;
  std::uint64_t mNext = 0; ///< index of the next token
  std::vector<std::uint64_t> mPieces;
  /// Takes the text of new tokens; the offset is mNext.
  std::function<void(const engine_stream&, const std::string&)> mOnTokens;
  std::function<void(const engine_stream&)> mOnDone;
};

/// Text of output token `aIndex` of the stream with this key.
std::string TokenText(std::uint64_t aKey, std::uint64_t aIndex);

/// Figures of a load report.
struct engine_load
{
  std::int64_t mAtMs = 0;
  std::uint64_t mRunning = 0;
  std::uint64_t mQueuedPromptTokens = 0;
  std::uint64_t mDecodeStreams = 0;
  std::uint64_t mKvUsedTokens = 0;
  std::uint64_t mPromptTokensTotal = 0;
  std::uint64_t mOutputTokensTotal = 0;
};

/// Continuous batching with separate rates of prefill and decode.
class engine_batch
{
public:
  explicit engine_batch(const engine_speed& aSpeed)
    : mSpeed(aSpeed)
    , mCache(aSpeed.mCachePieces)
  {
  }

  bool Full() const { return mStreams.size() >= mSpeed.mMaxBatch + mSpeed.mMaxQueue; }
  void Add(std::shared_ptr<engine_stream> aStream);
  /// The imported KV cache is there; the prompt needs no prefill.
  void Imported(std::uint64_t aNumber, std::uint64_t aTokens);
  /// Removes the streams for which `aMatches` holds.
  void Remove(const std::function<bool(const engine_stream&)>& aMatches);
  void Advance(double aSeconds, std::int64_t aNowMs);
  engine_load Load(std::int64_t aNowMs) const;
  bool Idle() const { return mStreams.empty(); }
  prefix_cache& Cache() { return mCache; }

private:
  void Admit();
  void Prefill(double aTokens, std::int64_t aNowMs);
  void Decode(double aTokens, double aSeconds);

  engine_speed mSpeed;
  prefix_cache mCache;
  std::vector<std::shared_ptr<engine_stream>> mStreams; ///< by priority, then arrival
  std::uint64_t mPromptTokensTotal = 0;
  std::uint64_t mOutputTokensTotal = 0;
  double mPromptTokensPart = 0;
};

} // namespace skylarkwind
