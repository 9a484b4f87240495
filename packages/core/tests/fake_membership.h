#pragma once

#include "skylarkwind/membership.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Member list set by the test; sends and handles no messages.
class fake_membership final : public membership
{
public:
  fake_membership() = default;
  fake_membership(process_id aSelf, std::vector<member_update> aLive)
    : mSelf{ std::move(aSelf) }
    , mLive{ std::move(aLive) }
  {
  }
  /// Live daemons d0, d1, ...; this one has number `aSelf`.
  static fake_membership Numbered(std::size_t aDaemons, std::size_t aSelf)
  {
    fake_membership members;
    members.mSelf = { "d" + std::to_string(aSelf), 1 };
    for (std::size_t i = 0; i < aDaemons; ++i) {
      members.mLive.push_back({ { "d" + std::to_string(i), 1 } });
    }
    return members;
  }

  process_id mSelf;
  daemon_location mLocation;
  std::vector<member_update> mLive;
  std::vector<process_id> mDead;

  const process_id& Self() const override { return mSelf; }
  const daemon_location& Location() const override { return mLocation; }
  std::span<const member_update> Live() const override { return mLive; }
  bool MayBeAlive(const process_id& aProcess) const override
  {
    return std::ranges::find(mDead, aProcess) == mDead.end();
  }
  void SetDocuments(std::span<const document_version>) override {}
  void OnTick(instant, effect_list&) override {}
  bool OnPeerRequestReceived(const peer_request_received&, instant, effect_list&) override
  {
    return false;
  }
  bool OnPeerResponse(const peer_response_received&, instant, effect_list&) override
  {
    return false;
  }
  void OnVmList(const vm_list&, instant) override {}
  void OnShutdown(instant, effect_list&) override {}
  std::vector<seen_document> TakeSeenDocuments() override { return {}; }
  std::optional<std::uint64_t> ReportedVersion(const process_id&, std::string_view) const override
  {
    return std::nullopt;
  }
};

} // namespace skylarkwind
