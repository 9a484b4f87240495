#include "skylarkwind/usage_reporter.h"

#include "skylarkwind/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace skylarkwind {

namespace {

using nlohmann::json;

/// Pause before a window that was not acknowledged is sent again.
constexpr std::chrono::milliseconds kRetryPause{ 500 };
/// Windows that wait for the platform at most, 10 minutes of 5 s. Older ones are dropped, so that
/// the state stays far below the store's limit of 1 MB for an object with 77 accounts.
constexpr std::size_t kMaxWaiting = 120;
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;

} // namespace

usage_reporter::usage_reporter(std::chrono::milliseconds aWindow, std::chrono::milliseconds aSettle)
  : mWindow(aWindow)
  , mSettle(aSettle)
{
}

std::uint64_t
usage_reporter::WindowAt(wall_instant aTime) const
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, aTime.time_since_epoch() / mWindow));
}

bool
usage_reporter::IsDue(wall_instant aNow) const
{
  return !mHasStarted || !mFixed.empty() || mNextWindow < WindowAt(aNow - mSettle);
}

void
usage_reporter::OnAcquired(const std::string& aState, std::uint64_t aEra, wall_instant aNow)
{
  mHasStarted = true;
  mIsSending = false;
  mNotBefore = {};
  mFixed.clear();
  mEra = aEra;
  mNextWindow = WindowAt(aNow);
  mState = aState;
  const auto state = ParseUntrustedJson(aState);
  const auto valid = [&state](const char* aName) {
    return state.is_object() && state.contains(aName) && state[aName].is_number_unsigned();
  };
  if (!valid("next") || !valid("era") || state["era"].get<std::uint64_t>() != aEra) {
    return;
  }
  mNextWindow = state["next"].get<std::uint64_t>();
  const auto windows = state.value("windows", json::object());
  if (!windows.is_object()) {
    return;
  }
  for (const auto& [text, counts] : windows.items()) {
    usage_window window;
    const auto* last = text.data() + text.size();
    if (std::from_chars(text.data(), last, window.mWindow).ptr != last || !counts.is_object()) {
      continue;
    }
    for (const auto& [name, requests] : counts.items()) {
      if (requests.is_number_unsigned()) {
        window.mCounts[name] = requests.get<std::uint64_t>();
      }
    }
    mFixed[window.mWindow] = window;
  }
}

std::string
usage_reporter::State() const
{
  json windows = json::object();
  for (const auto& [number, window] : mFixed) {
    windows[std::to_string(number)] = window.mCounts;
  }
  return json{ { "next", mNextWindow }, { "era", mEra }, { "windows", windows } }.dump();
}

std::optional<std::string>
usage_reporter::FixWindows(const count_window& aCount, wall_instant aNow)
{
  if (!mHasStarted || aNow.time_since_epoch() < mSettle) {
    return std::nullopt;
  }
  const auto before = mNextWindow;
  const auto end = WindowAt(aNow - mSettle);
  if (end > mNextWindow + kMaxWaiting) {
    mNextWindow = end - kMaxWaiting;
  }
  for (; mNextWindow < end; ++mNextWindow) {
    mFixed[mNextWindow] = { mNextWindow, aCount(mNextWindow) };
  }
  while (mFixed.size() > kMaxWaiting) {
    mFixed.erase(mFixed.begin());
  }
  if (mNextWindow == before) {
    return std::nullopt;
  }
  mState = State();
  return mState;
}

std::optional<usage_window>
usage_reporter::Next(const std::string& aStored, instant aNow)
{
  if (mFixed.empty() || mIsSending || aStored != mState || aNow < mNotBefore) {
    return std::nullopt;
  }
  mIsSending = true;
  return mFixed.begin()->second;
}

void
usage_reporter::OnSent(std::uint64_t aWindow, int aStatus, instant aNow)
{
  mIsSending = false;
  const bool isFinal =
    aStatus == kOk || (aStatus > kOk && aStatus < kServerError && aStatus != kTooManyRequests);
  if (isFinal) {
    mFixed.erase(aWindow);
  } else {
    mNotBefore = aNow + kRetryPause;
  }
}

} // namespace skylarkwind
