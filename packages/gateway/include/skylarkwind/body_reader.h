#pragma once

#include "skylarkwind/byte_budget.h"

#include <kj/async-io.h>

#include <cstddef>
#include <string>
#include <utility>
#include <variant>

namespace skylarkwind {

/// A body in memory, charged to a budget, which must outlive it.
class buffered_body
{
public:
  buffered_body() = default;
  explicit buffered_body(byte_budget& aBudget)
    : mBudget(&aBudget)
  {
  }
  buffered_body(buffered_body&& aOther) noexcept { *this = std::move(aOther); }
  buffered_body& operator=(buffered_body&& aOther) noexcept
  {
    std::swap(mText, aOther.mText);
    std::swap(mBudget, aOther.mBudget);
    std::swap(mUsed, aOther.mUsed);
    return *this;
  }
  buffered_body(const buffered_body&) = delete;
  buffered_body& operator=(const buffered_body&) = delete;
  ~buffered_body()
  {
    if (mBudget != nullptr) {
      mBudget->Release(mUsed);
    }
  }

  const std::string& Text() const { return mText; }
  /// Extends the text by `aBytes`; false, without a change, when that would exceed the budget.
  bool Grow(std::size_t aBytes);
  /// Truncates the text to `aSize` bytes and returns the rest to the budget.
  void Shrink(std::size_t aSize);
  char* Data() { return mText.data(); }

private:
  std::string mText;
  byte_budget* mBudget = nullptr;
  std::size_t mUsed = 0;
};

/// Why a body was not read.
enum class body_error
{
  TooLong,
  OverBudget ///< other bodies use up the memory budget
};

using body_result = std::variant<buffered_body, body_error>;

/// Reads a whole body of at most `aMaxBytes` bytes. The promise rejects when the connection fails.
/// The stream and the budget must outlive it.
kj::Promise<body_result> ReadBody(kj::AsyncInputStream& aBody,
                                  std::size_t aMaxBytes,
                                  byte_budget& aBudget);
/// Like `ReadBody`, but also rejects when the body is too long or the budget is used up, for
/// callers that treat these as a failed connection.
kj::Promise<buffered_body> ReadBodyOrThrow(kj::AsyncInputStream& aBody,
                                           std::size_t aMaxBytes,
                                           byte_budget& aBudget);

} // namespace skylarkwind
