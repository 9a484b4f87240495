#include "generation_p.h"

namespace skylarkwind {

namespace {

/// Error bodies are kept only for their message.
constexpr std::size_t kMaxRefusalBytes = 64U << 10U;
constexpr int kOk = 200;

} // namespace

std::optional<attempt_tokens>
generation::Take(int aStatus, std::string_view aData)
{
  if (aStatus != kOk) {
    mRefusal.append(aData.substr(0, kMaxRefusalBytes - mRefusal.size()));
    return std::nullopt;
  }
  std::string text;
  auto before = mOffset;
  bool decoded = mDecoder.Feed(aData, [&](std::string_view aEvent) { TakeEvent(aEvent, text); });
  if (!decoded) {
    Fail("event is too large");
  }
  if (mOffset == before) {
    return std::nullopt;
  }
  return attempt_tokens{ std::move(text), before, mOffset };
}

void
generation::TakeEvent(std::string_view aData, std::string& aText)
{
  if (mDone || mFailed) {
    return;
  }
  if (aData == "[DONE]") {
    mDone = true;
    return;
  }
  auto chunk = ReadChunk(aData, mChat);
  if (!chunk) {
    Fail("chunk is not a JSON object");
    return;
  }
  if (!chunk->mError.empty()) {
    Fail(chunk->mError);
    return;
  }
  // Text without a growing offset, or the reverse, could duplicate or lose tokens on a resume.
  auto offset = chunk->mOffset.value_or(mOffset);
  if (offset < mOffset || (!chunk->mText.empty() && offset == mOffset)) {
    Fail("offset does not grow with the text");
    return;
  }
  mOffset = offset;
  aText += chunk->mText;
  if (!chunk->mFinishReason.empty()) {
    mGenerated.mFinishReason = chunk->mFinishReason;
  }
  if (chunk->mUsage) {
    mGenerated.mUsage = *chunk->mUsage;
  }
  if (chunk->mReport) {
    mGenerated.mReport = std::move(chunk->mReport);
  }
}

void
generation::Fail(std::string aReason)
{
  if (!mFailed && !mDone) {
    mFailed = true;
    mReason = std::move(aReason);
  }
}

} // namespace skylarkwind
