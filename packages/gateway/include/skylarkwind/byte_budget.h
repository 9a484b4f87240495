#pragma once

#include <cstddef>

namespace skylarkwind {

/// Limits the memory, in bytes, that buffered data of one kind takes together. A faulty backend
/// server or caller may send bytes without end until the daemon closes the connection.
class byte_budget
{
public:
  explicit byte_budget(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }
  /// Reserves the bytes; false, without a change, when they exceed what is left.
  bool TryReserve(std::size_t aBytes)
  {
    if (aBytes > mMaxBytes - mUsed) {
      return false;
    }
    mUsed += aBytes;
    return true;
  }
  /// Returns reserved bytes.
  void Release(std::size_t aBytes) { mUsed -= aBytes; }
  std::size_t Used() const { return mUsed; }

private:
  std::size_t mMaxBytes;
  std::size_t mUsed = 0;
};

} // namespace skylarkwind
