#pragma once

#include "skylarkwind/clock.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace skylarkwind {

/// Identifier that is unique for its `tag` within a process.
template<class tag>
struct handle
{
  std::uint64_t mValue = 0;
  auto operator<=>(const handle&) const = default; // NOLINT(modernize-use-nullptr)
};

using request_id = handle<struct request_tag>;
using attempt_id = handle<struct attempt_tag>;
using peer_call_id = handle<struct peer_call_tag>;

/// The component that made a platform call and receives its reply.
enum class part
{
  Configuration,
  VmList,
  Membership,
  LimitShares,
  RequestClaims,
  Lease,
  EngineCommands
};

/// Identifies a call to the platform; replies are routed by `mPart`.
struct call_id
{
  part mPart = part::Configuration;
  std::uint64_t mNumber = 0;
  auto operator<=>(const call_id&) const = default; // NOLINT(modernize-use-nullptr)
};

/// A daemon process: the VM's name and the process's start time in ms, which never changes
/// during its life.
struct process_id
{
  std::string mVm;
  std::uint64_t mStartId = 0;
  auto operator<=>(const process_id&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Address, data centre and region of a daemon.
struct daemon_location
{
  std::string mAddress; ///< ip:port of its Cap'n Proto RPC listener
  std::string mDataCentre;
  std::string mRegion;
  bool operator==(const daemon_location&) const = default;
};

/// The phases of inference that an engine runs.
enum class engine_role
{
  Prefill,
  Decode,
  Both
};

} // namespace skylarkwind

template<class tag>
struct std::hash<skylarkwind::handle<tag>>
{
  std::size_t operator()(const skylarkwind::handle<tag>& aHandle) const noexcept
  {
    return std::hash<std::uint64_t>{}(aHandle.mValue);
  }
};
