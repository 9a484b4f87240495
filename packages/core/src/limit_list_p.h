#pragma once

#include "skylarkwind/table.h"

#include <string>
#include <vector>

namespace skylarkwind {

/// The limits of one table row, with the limit's name.
struct limit_row
{
  std::string mName;
  row_limits mLimits;
};

/// The limits of all accounts, services and roles of a table. Rows without a limit are left out.
std::vector<limit_row> LimitsOf(const table& aTable);

} // namespace skylarkwind
