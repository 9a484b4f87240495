#pragma once

#include "skylarkwind/role_controller.h"

#include <rapidcheck.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Lease time and step of the simulations of the command lease.
constexpr std::chrono::milliseconds kLease{ 3'000 };
constexpr std::chrono::milliseconds kStep{ 100 };

inline backend_server
Engine(std::string aId, std::string aDataCentre, engine_role aRole)
{
  backend_server server;
  server.mId = std::move(aId);
  server.mService = "s";
  server.mDataCentre = std::move(aDataCentre);
  server.mRole = aRole;
  return server;
}

inline role_controller::service_view
Service(std::vector<backend_server> aServers)
{
  role_controller::service_view view{ "s", std::chrono::seconds{ 3 }, {} };
  for (auto& server : aServers) {
    view.mEngines.push_back({ std::move(server), 0 });
  }
  return view;
}

/// One service that lacks a prefill engine, so that a command is always due.
inline std::vector<role_controller::service_view>
ServiceWithACommandDue()
{
  return { Service({ Engine("e0", "a", engine_role::Decode),
                     Engine("e1", "a", engine_role::Decode),
                     Engine("e2", "a", engine_role::Decode) }) };
}

struct sent_command
{
  std::size_t mDaemon = 0;
  std::uint64_t mFencing = 0;
  instant mAt{};
};

/// Fails the property unless fencing tokens never decrease, and commands of different daemons have
/// different tokens and are at least a lease time apart.
inline void
CheckCommands(std::span<const sent_command> aCommands)
{
  for (std::size_t i = 1; i < aCommands.size(); ++i) {
    RC_ASSERT(aCommands[i].mFencing >= aCommands[i - 1].mFencing);
    if (aCommands[i].mDaemon != aCommands[i - 1].mDaemon) {
      RC_ASSERT(aCommands[i].mAt - aCommands[i - 1].mAt >= kLease);
      RC_ASSERT(aCommands[i].mFencing > aCommands[i - 1].mFencing);
    }
  }
}

} // namespace skylarkwind
