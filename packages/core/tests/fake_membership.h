#pragma once

#include "skylarkwind/membership.h"

#include <algorithm>
#include <set>

namespace skylarkwind {

/// Member list that the test sets.
class fake_membership final : public membership
{
public:
  fake_membership(process_id aSelf, std::vector<member_update> aLive)
    : mSelf{ std::move(aSelf) }
    , mLive{ std::move(aLive) }
  {
  }

  std::vector<std::pair<std::string, std::uint64_t>> mDead;

  void SetLive(std::vector<member_update> aLive) { mLive = std::move(aLive); }

  const process_id& Self() const override { return mSelf; }
  const daemon_location& Location() const override { return mLocation; }
  std::span<const member_update> Live() const override { return mLive; }
  bool MayBeAlive(const process_id& aProcess) const override
  {
    return std::none_of(mDead.begin(), mDead.end(), [&](const auto& aDead) {
      return aDead.first == aProcess.mVm && aDead.second == aProcess.mStartId;
    });
  }
  void SetDocuments(std::span<const document_version> /*aDocuments*/) override {}
  void OnTick(instant /*aNow*/, effect_list& /*aOut*/) override {}
  bool OnPeerAsked(const peer_asked& /*aAsked*/, instant /*aNow*/, effect_list& /*aOut*/) override
  {
    return false;
  }
  bool OnPeerAnswered(const peer_answered& /*aAnswered*/,
                      instant /*aNow*/,
                      effect_list& /*aOut*/) override
  {
    return false;
  }
  void OnVmList(const vm_list& /*aList*/, instant /*aNow*/) override {}
  void OnShutdown(instant /*aNow*/, effect_list& /*aOut*/) override {}
  std::vector<seen_document> TakeSeenDocuments() override { return {}; }
  std::optional<std::uint64_t> SeenVersion(const process_id& /*aProcess*/,
                                           std::string_view /*aDocument*/) const override
  {
    return std::nullopt;
  }

private:
  process_id mSelf;
  daemon_location mLocation;
  std::vector<member_update> mLive;
};

} // namespace skylarkwind
