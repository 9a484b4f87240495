#include "distribution_p.h"

#include "document_version_p.h"
#include "skylarkwind/hash.h"

#include <absl/status/status.h>

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkwind {
namespace {

constexpr std::string_view kFleetPrefix = "fleet/";

} // namespace

absl::StatusOr<std::unique_ptr<distribution>>
distribution::Create(distribution_settings aSettings, const membership& aMembers)
{
  std::set<std::string> names;
  for (const auto& document : aSettings.mDocuments) {
    if (document.mName != "table" && !document.mName.starts_with(kFleetPrefix)) {
      return absl::InvalidArgumentError("unknown kind of document: " + document.mName);
    }
    if (!names.insert(document.mName).second) {
      return absl::InvalidArgumentError("document is listed twice: " + document.mName);
    }
  }
  if (aSettings.mFanOut == 0 || aSettings.mWatchersPerDataCentre == 0) {
    return absl::InvalidArgumentError("fan-out and watchers per data centre must be above 0");
  }
  return std::unique_ptr<distribution>{ new distribution_core{ std::move(aSettings), aMembers } };
}

distribution_core::distribution_core(distribution_settings aSettings, const membership& aMembers)
  : mSettings(std::move(aSettings))
  , mMembers(aMembers)
  , mRandom(mSettings.mRandomSeed ^ Hash64(aMembers.Self().mVm, aMembers.Self().mStartId))
{
  for (const auto& document : mSettings.mDocuments) {
    document_state state;
    state.mDocument = document;
    if (document.mName.starts_with(kFleetPrefix)) {
      state.mDataCentre = document.mName.substr(kFleetPrefix.size());
    }
    mStates.push_back(std::move(state));
  }
}

const document_state*
distribution_core::Find(std::string_view aName) const
{
  const auto found = std::find_if(mStates.begin(), mStates.end(), [&](const auto& aState) {
    return aState.mDocument.mName == aName;
  });
  return found == mStates.end() ? nullptr : &*found;
}

document_state*
distribution_core::Find(std::string_view aName)
{
  return const_cast<document_state*>(std::as_const(*this).Find(aName));
}

std::uint64_t
distribution_core::VersionOf(const document_state& aState)
{
  return aState.mCurrent ? aState.mCurrent->mVersion : 0;
}

bool
distribution_core::IsLocal(const document_state& aState) const
{
  return aState.mDataCentre.empty() || aState.mDataCentre == mMembers.Location().mDataCentre;
}

const distribution::document*
distribution_core::Current(std::string_view aName) const
{
  const auto* state = Find(aName);
  return state != nullptr && state->mCurrent ? &*state->mCurrent : nullptr;
}

std::vector<document_version>
distribution_core::Versions() const
{
  std::vector<document_version> versions;
  for (const auto& state : mStates) {
    if (state.mCurrent) {
      versions.push_back({ state.mDocument.mName, state.mCurrent->mVersion });
    }
  }
  return versions;
}

std::vector<std::string>
distribution_core::TakeChanged()
{
  return std::exchange(mChanged, {});
}

bool
distribution_core::IsPlatformStale(std::string_view aName) const
{
  const auto* state = Find(aName);
  return state != nullptr && state->mPlatformStale;
}

distribution_core::apply_result
distribution_core::ApplyIfNewer(document_state& aState,
                                std::string_view aValue,
                                std::string_view aSource,
                                instant aNow,
                                effect_list& aOut)
{
  const auto& name = aState.mDocument.mName;
  const auto version = DocumentVersion(name, aValue);
  if (!version.ok()) {
    aOut.push_back(log_line{ log_level::Error,
                             "distribution",
                             name + " from " + std::string{ aSource } +
                               " is refused: " + std::string{ version.status().message() } });
    return apply_result::Refused;
  }
  if (*version <= VersionOf(aState)) {
    return apply_result::NotNewer;
  }
  aState.mCurrent = document{ *version, std::string{ aValue }, aNow };
  if (std::find(mChanged.begin(), mChanged.end(), name) == mChanged.end()) {
    mChanged.push_back(name);
  }
  if (aState.mPullVersion <= *version) {
    aState.mPullVersion = 0;
  }
  aOut.push_back(log_line{ log_level::Info,
                           "distribution",
                           name + " version " + std::to_string(*version) + " is in force, from " +
                             std::string{ aSource } });
  return apply_result::Newer;
}

void
distribution_core::OnTick(instant aNow, effect_list& aOut)
{
  if (!mStartedAt) {
    mStartedAt = aNow;
  }
  ReadAfterPause(aNow);
  UpdateWatcherRank(aNow);
  for (auto& state : mStates) {
    if (state.mPendingCall != 0 && aNow >= state.mCallExpiresAt) {
      state.mPendingCall = 0;
      OnFailure(state, aNow);
    }
    if (state.mPendingCall == 0 && aNow >= state.mNextCallAt && MayCallPlatform(aNow) &&
        (IsLocal(state) || IsPolledSlowly(state))) {
      CallPlatform(state, aNow, aOut);
    }
    state.mPullPending = state.mPullPending && aNow < state.mPullExpiresAt;
    if (state.mPullVersion > VersionOf(state) && !state.mPullPending && aNow >= state.mPullAt) {
      Pull(state, aNow, aOut);
    }
    if (state.mPushAt && aNow >= *state.mPushAt) {
      state.mPushAt.reset();
      PushToAll(state, aOut);
    }
  }
}

void
distribution_core::OnOwnWrite(std::string_view aName,
                              std::uint64_t aVersion,
                              std::string_view aValue,
                              instant aNow,
                              effect_list& aOut)
{
  auto* state = Find(aName);
  if (state == nullptr || aVersion <= VersionOf(*state)) {
    return;
  }
  if (ApplyIfNewer(*state, aValue, "this daemon", aNow, aOut) == apply_result::Newer) {
    PushToAll(*state, aOut);
  }
}

} // namespace skylarkwind
