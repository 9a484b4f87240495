#pragma once

#include "skylarkwind/engine_view.h"
#include "skylarkwind/table.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace skylarkwind {

/// A role change proposed by the role planner.
struct planned_role_change
{
  std::string mEngine;
  engine_role mRole = engine_role::Both;
  std::string mReason;
};

/// Interface of the role planner as used by `control`.
class role_change_source
{
public:
  virtual ~role_change_source() = default;
  /// Takes the rates and counters of an engine report.
  virtual void OnReport(const engine_report& aReport, instant aNow) = 0;
  /// Takes the number of tokens queued for a service; replaces the previous figures.
  virtual void OnQueued(std::string_view aService,
                        std::uint64_t aPromptTokens,
                        std::uint64_t aOutputTokens,
                        instant aNow) = 0;
  /// Returns the next role change for the engines of a data centre, or nothing.
  virtual std::optional<planned_role_change> Plan(std::span<const engine_view> aEngines,
                                                  const table& aTable,
                                                  std::string_view aDataCentre,
                                                  instant aNow) = 0;
};

} // namespace skylarkwind
