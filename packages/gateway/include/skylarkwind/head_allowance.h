#pragma once

#include "skylarkwind/byte_budget.h"

#include <cstddef>

namespace skylarkwind {

/// Limits of the heads that are read on connections of one kind.
struct head_allowance
{
  std::size_t mMaxBytes; ///< of one head
  byte_budget mBudget;   ///< of all heads that are being read
};

/// Why a head was not read to its end.
enum class head_error
{
  TooLong,
  OverBudget ///< other heads use up the budget
};

} // namespace skylarkwind
