#pragma once

#include "skylarkwind/membership.h"

#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Membership with a fixed list of live daemons named d0, d1 and so on.
class members_stub final : public membership
{
public:
  members_stub(std::size_t aDaemons, std::size_t aSelf)
    : mSelf{ "d" + std::to_string(aSelf), 1 }
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      mLive.push_back({ { "d" + std::to_string(i), 1 } });
    }
  }
  const process_id& Self() const override { return mSelf; }
  const daemon_location& Location() const override { return mLocation; }
  std::span<const member_update> Live() const override { return mLive; }
  bool MayBeAlive(const process_id&) const override { return true; }
  void SetDocuments(std::span<const document_version>) override {}
  void OnTick(instant, effect_list&) override {}
  bool OnPeerAsked(const peer_asked&, instant, effect_list&) override { return false; }
  bool OnPeerAnswered(const peer_answered&, instant, effect_list&) override { return false; }
  void OnVmList(const vm_list&, instant) override {}
  void OnShutdown(instant, effect_list&) override {}
  std::vector<seen_document> TakeSeenDocuments() override { return {}; }
  std::optional<std::uint64_t> SeenVersion(const process_id& /*aProcess*/,
                                           std::string_view /*aDocument*/) const override
  {
    return std::nullopt;
  }

  process_id mSelf;
  daemon_location mLocation;
  std::vector<member_update> mLive;
};

} // namespace skylarkwind
