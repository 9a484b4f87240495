#pragma once

#include "skylarkwind/engine_view.h"
#include "skylarkwind/table.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace skylarkwind {

/// A role change that the role planner asks for.
struct planned_change
{
  std::string mEngine;
  engine_role mRole = engine_role::Both;
  std::string mReason;
};

/// What `control` needs of the role planner.
class plan_source
{
public:
  virtual ~plan_source() = default;
  virtual void OnReport(const engine_report& aReport, instant aNow) = 0;
  virtual void OnQueued(std::string_view aService,
                        std::uint64_t aPromptTokens,
                        std::uint64_t aOutputTokens,
                        instant aNow) = 0;
  virtual std::optional<planned_change> Plan(std::span<const engine_view> aEngines,
                                             const table& aTable,
                                             std::string_view aDataCentre,
                                             instant aNow) = 0;
};

} // namespace skylarkwind
