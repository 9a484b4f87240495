#include "engine_batch.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

/// Cache events kept for readers that come late.
constexpr std::size_t kMaxChanges = 20'000;
/// Unused decode credit is dropped above this, so that a stalled process does not burst.
constexpr double kMaxCredit = 64;

} // namespace

std::vector<std::uint64_t>
prefix_cache::Pieces(const std::string& aPrompt)
{
  constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  std::vector<std::uint64_t> pieces;
  std::uint64_t before = 0;
  for (std::string_view rest{ aPrompt }; rest.size() >= kBlockBytes;
       rest.remove_prefix(kBlockBytes)) {
    before = Hash64(rest.substr(0, kBlockBytes), before);
    pieces.push_back(before);
  }
  return pieces;
}

std::uint64_t
prefix_cache::CachedTokens(const std::vector<std::uint64_t>& aPieces)
{
  std::uint64_t tokens = 0;
  for (auto piece : aPieces) {
    auto found = mWhere.find(piece);
    if (found == mWhere.end()) {
      break;
    }
    mOrder.splice(mOrder.begin(), mOrder, found->second);
    tokens += kBlockTokens;
  }
  return tokens;
}

void
prefix_cache::Add(const std::vector<std::uint64_t>& aPieces, std::int64_t aNowMs)
{
  for (auto piece : aPieces) {
    if (mWhere.contains(piece)) {
      continue;
    }
    mOrder.push_front(piece);
    mWhere[piece] = mOrder.begin();
    Record(true, piece, aNowMs);
    if (mOrder.size() > mLimit) {
      Record(false, mOrder.back(), aNowMs);
      mWhere.erase(mOrder.back());
      mOrder.pop_back();
    }
  }
}

void
prefix_cache::Clear(std::int64_t aNowMs)
{
  for (auto piece : mOrder) {
    Record(false, piece, aNowMs);
  }
  mOrder.clear();
  mWhere.clear();
}

void
prefix_cache::Record(bool aAdded, std::uint64_t aPiece, std::int64_t aNowMs)
{
  mChanges.push_back({ ++mSequence, aAdded, aPiece, aNowMs });
  if (mChanges.size() > kMaxChanges) {
    mChanges.pop_front();
  }
}

std::string
TokenText(std::uint64_t aKey, std::uint64_t aIndex)
{
  constexpr std::uint64_t kWords = 1000;
  auto word = Hash64({ reinterpret_cast<const char*>(&aIndex), sizeof(aIndex) }, aKey) % kWords;
  return "w" + std::to_string(word) + " ";
}

void
engine_batch::Add(std::shared_ptr<engine_stream> aStream)
{
  aStream->mPieces = prefix_cache::Pieces(aStream->mPrompt);
  aStream->mNext = aStream->mResumeFrom;
  auto place = std::upper_bound(
    mStreams.begin(), mStreams.end(), aStream, [](const auto& aLeft, const auto& aRight) {
      return std::pair{ -aLeft->mPriority, aLeft->mNumber } <
             std::pair{ -aRight->mPriority, aRight->mNumber };
    });
  mStreams.insert(place, std::move(aStream));
}

void
engine_batch::Imported(std::uint64_t aNumber, std::uint64_t aTokens)
{
  for (auto& stream : mStreams) {
    if (stream->mNumber == aNumber && stream->mPhase == stream_phase::Importing) {
      stream->mPhase = stream_phase::Queued;
      stream->mImported = aTokens > 0;
      stream->mCachedTokens = std::min(aTokens, stream->mPromptTokens);
    }
  }
}

void
engine_batch::Remove(const std::function<bool(const engine_stream&)>& aMatches)
{
  std::erase_if(mStreams, [&](const auto& aStream) { return aMatches(*aStream); });
}

void
engine_batch::Admit()
{
  auto inBatch = [](const auto& aStream) {
    return aStream->mPhase == stream_phase::Prefill || aStream->mPhase == stream_phase::Decode;
  };
  auto room = static_cast<std::ptrdiff_t>(mSpeed.mMaxBatch) -
              std::count_if(mStreams.begin(), mStreams.end(), inBatch);
  for (auto& stream : mStreams) {
    if (room <= 0) {
      return;
    }
    if (stream->mPhase != stream_phase::Queued) {
      continue;
    }
    --room;
    if (!stream->mImported) {
      stream->mCachedTokens = std::min(mCache.CachedTokens(stream->mPieces), stream->mPromptTokens);
    }
    // A resumed stream computes the cache of the tokens already delivered as well.
    auto needed = stream->mPromptTokens + stream->mResumeFrom - stream->mCachedTokens;
    stream->mPrefillLeft = static_cast<double>(std::max<std::uint64_t>(needed, 1));
    stream->mPhase = stream_phase::Prefill;
  }
}

void
engine_batch::Prefill(double aTokens, std::int64_t aNowMs)
{
  for (auto& stream : mStreams) {
    if (aTokens <= 0) {
      return;
    }
    if (stream->mPhase != stream_phase::Prefill) {
      continue;
    }
    auto step = std::min(aTokens, stream->mPrefillLeft);
    aTokens -= step;
    stream->mPrefillLeft -= step;
    mPromptTokensPart += step;
    if (stream->mPrefillLeft > 0) {
      continue;
    }
    mCache.Add(stream->mPieces, aNowMs);
    if (stream->mPrefillOnly || stream->mNext >= stream->mMaxTokens) {
      stream->mPhase = stream_phase::Ended;
      stream->mOnDone(*stream);
    } else {
      stream->mPhase = stream_phase::Decode;
    }
  }
  auto whole = static_cast<std::uint64_t>(mPromptTokensPart);
  mPromptTokensTotal += whole;
  mPromptTokensPart -= static_cast<double>(whole);
}

void
engine_batch::Decode(double aTokens, double aSeconds)
{
  auto decoding = std::count_if(mStreams.begin(), mStreams.end(), [](const auto& aStream) {
    return aStream->mPhase == stream_phase::Decode;
  });
  if (decoding == 0) {
    return;
  }
  auto share = aTokens / static_cast<double>(decoding);
  if (mSpeed.mStreamTokensPerSecond > 0) {
    share = std::min(share, mSpeed.mStreamTokensPerSecond * aSeconds);
  }
  for (auto& stream : mStreams) {
    if (stream->mPhase != stream_phase::Decode) {
      continue;
    }
    stream->mDecodeCredit = std::min(stream->mDecodeCredit + share, std::max(share, kMaxCredit));
    std::string text;
    while (stream->mDecodeCredit >= 1 && stream->mNext < stream->mMaxTokens) {
      stream->mDecodeCredit -= 1;
      text += TokenText(stream->mKey, stream->mNext++);
      ++mOutputTokensTotal;
    }
    if (!text.empty()) {
      stream->mOnTokens(*stream, text);
    }
    if (stream->mNext >= stream->mMaxTokens && stream->mPhase == stream_phase::Decode) {
      stream->mPhase = stream_phase::Ended;
      stream->mOnDone(*stream);
    }
  }
}

void
engine_batch::Advance(double aSeconds, std::int64_t aNowMs)
{
  Admit();
  Prefill(mSpeed.mPrefillTokensPerSecond * aSeconds, aNowMs);
  Decode(mSpeed.mDecodeTokensPerSecond * aSeconds, aSeconds);
  Remove([](const engine_stream& aStream) { return aStream.mPhase == stream_phase::Ended; });
}

engine_load
engine_batch::Load(std::int64_t aNowMs) const
{
  engine_load load;
  load.mAtMs = aNowMs;
  load.mRunning = mStreams.size();
  for (const auto& stream : mStreams) {
    if (stream->mPhase == stream_phase::Decode) {
      ++load.mDecodeStreams;
      load.mKvUsedTokens += stream->mPromptTokens + stream->mNext;
    } else if (stream->mPhase == stream_phase::Prefill) {
      load.mQueuedPromptTokens += static_cast<std::uint64_t>(stream->mPrefillLeft);
    } else if (stream->mPhase == stream_phase::Queued) {
      load.mQueuedPromptTokens += stream->mPromptTokens;
    }
  }
  load.mKvUsedTokens += mCache.Size() * kBlockTokens;
  load.mPromptTokensTotal = mPromptTokensTotal;
  load.mOutputTokensTotal = mOutputTokensTotal;
  return load;
}

} // namespace skylarkwind
