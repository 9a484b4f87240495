#include "skylarkwind/body_reader.h"

#include <kj/debug.h>

#include <algorithm>

namespace skylarkwind {

namespace {

/// Small bodies, which are the usual ones, take one read.
constexpr std::size_t kInitialReadBytes = 4 * 1'024;
constexpr std::size_t kMaxReadBytes = 64 * 1'024;

class body_reader
{
public:
  body_reader(kj::AsyncInputStream& aBody, std::size_t aMaxBytes, byte_budget& aBudget)
    : mBody(aBody)
    , mMaxBytes(aMaxBytes)
    , mBuffered(aBudget)
  {
  }

  kj::Promise<body_result> ReadMore()
  {
    const auto have = mBuffered.Text().size();
    // Reading one byte more than allowed detects a body that is too long.
    const auto step =
      std::min({ std::max(kInitialReadBytes, have), kMaxReadBytes, mMaxBytes + 1 - have });
    if (!mBuffered.Grow(step)) {
      return body_result{ body_error::OverBudget };
    }
    return mBody.tryRead(mBuffered.Data() + have, step, step)
      .then([this, have, step](size_t aBytes) -> kj::Promise<body_result> {
        mBuffered.Shrink(have + aBytes);
        if (have + aBytes > mMaxBytes) {
          return body_result{ body_error::TooLong };
        }
        if (aBytes < step) {
          return body_result{ std::move(mBuffered) };
        }
        return ReadMore();
      });
  }

private:
  kj::AsyncInputStream& mBody;
  std::size_t mMaxBytes;
  buffered_body mBuffered;
};

} // namespace

bool
buffered_body::Grow(std::size_t aBytes)
{
  if (mBudget != nullptr && !mBudget->TryReserve(aBytes)) {
    return false;
  }
  mUsed += aBytes;
  mText.resize(mText.size() + aBytes);
  return true;
}

void
buffered_body::Shrink(std::size_t aSize)
{
  const auto less = mText.size() - aSize;
  mText.resize(aSize);
  mUsed -= less;
  if (mBudget != nullptr) {
    mBudget->Release(less);
  }
}

kj::Promise<body_result>
ReadBody(kj::AsyncInputStream& aBody, std::size_t aMaxBytes, byte_budget& aBudget)
{
  auto reader = kj::heap<body_reader>(aBody, aMaxBytes, aBudget);
  auto promise = reader->ReadMore();
  return promise.attach(kj::mv(reader));
}

kj::Promise<buffered_body>
ReadBodyOrThrow(kj::AsyncInputStream& aBody, std::size_t aMaxBytes, byte_budget& aBudget)
{
  return ReadBody(aBody, aMaxBytes, aBudget).then([](body_result aResult) -> buffered_body {
    if (auto* body = std::get_if<buffered_body>(&aResult)) {
      return std::move(*body);
    }
    KJ_FAIL_REQUIRE(std::get<body_error>(aResult) == body_error::TooLong
                      ? "the body is too long"
                      : "too many bytes of bodies are held");
  });
}

} // namespace skylarkwind
