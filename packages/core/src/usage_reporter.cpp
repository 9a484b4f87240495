#include "skylarkwind/usage_reporter.h"

#include "skylarkwind/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace skylarkwind {

namespace {

using nlohmann::json;

/// Pause before a window that was not acknowledged is sent again.
constexpr std::chrono::milliseconds kRetryPause{ 500 };
/// Windows that wait for the platform at most, 10 minutes of 5 s. Older ones are dropped.
constexpr std::size_t kMaxWaiting = 120;
/// Longest state as it is stored, i.e. as a text in another JSON object. The store takes objects of
/// up to 1 MB; with 10,000 accounts a window takes 0.3 MB.
constexpr std::size_t kMaxStateBytes = 900'000;
/// Attempts without an answer before other windows are tried. A single answer that is lost does not
/// change the order.
constexpr unsigned int kUnansweredInOrder = 2;
/// Latest window of a state that is plausible, in the year 5138 with windows of 1 s.
constexpr std::uint64_t kMaxWindow = 100'000'000'000;
/// Time from when a window should be fixed until the second daemon in the reporting order acts. It
/// reads the record each second, so that it has seen a write of the first one by then. The third
/// one waits another second.
constexpr std::chrono::milliseconds kOverdue{ 3'000 };
constexpr std::chrono::milliseconds kOverduePerPlace{ 1'000 };
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;

/// Bytes of a part of the state as it is stored: quotes and backslashes are escaped.
std::size_t
StoredBytes(const json& aState)
{
  const auto text = aState.dump();
  return text.size() +
         static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char aCharacter) {
           return aCharacter == '"' || aCharacter == '\\';
         }));
}

/// A window of the state. Empty when it is malformed: it may have been sent with counts that cannot
/// be read.
std::optional<usage_window>
ParseWindow(const std::string& aNumber, const json& aCounts)
{
  usage_window window;
  const auto* last = aNumber.data() + aNumber.size();
  const auto read = std::from_chars(aNumber.data(), last, window.mWindow);
  if (read.ec != std::errc{} || read.ptr != last || !aCounts.is_object()) {
    return std::nullopt;
  }
  for (const auto& [name, requests] : aCounts.items()) {
    if (!requests.is_number_unsigned()) {
      return std::nullopt;
    }
    window.mCounts[name] = requests.get<std::uint64_t>();
  }
  return window;
}

} // namespace

std::vector<std::size_t>
ReportingOrder(std::span<const std::string> aDataCentres)
{
  std::vector<std::size_t> order;
  if (aDataCentres.empty()) {
    return order;
  }
  order.push_back(0);
  for (const bool same : { true, false }) {
    for (std::size_t i = 1; i < aDataCentres.size(); ++i) {
      if ((aDataCentres[i] == aDataCentres.front()) == same) {
        order.push_back(i);
        break;
      }
    }
  }
  return order;
}

usage_reporter::usage_reporter(std::chrono::milliseconds aWindow, std::chrono::milliseconds aSettle)
  : mWindow(aWindow)
  , mSettle(aSettle)
{
}

std::uint64_t
usage_reporter::WindowAt(wall_instant aTime) const
{
  return UsageWindowAt(aTime, mWindow);
}

bool
usage_reporter::IsDue(wall_instant aNow) const
{
  return !mHasStarted || !mFixed.empty() || mNextWindow < WindowAt(aNow - mSettle);
}

bool
usage_reporter::ActsAsFirst(const std::string& aStored, std::size_t aPlace, wall_instant aNow)
{
  Confirm(aStored);
  if (aPlace == 0 || (!mFixed.empty() && aStored == mConfirmed)) {
    return true;
  }
  if (mSeenState != aStored) {
    mSeenState = aStored;
    const auto state = ParseUntrustedJson(aStored);
    const auto next = state.is_object() ? state.value("next", json{}) : json{};
    mSeenNext =
      next.is_number_unsigned() ? std::optional{ next.get<std::uint64_t>() } : std::nullopt;
  }
  const auto late = kOverdue + kOverduePerPlace * static_cast<std::int64_t>(aPlace - 1);
  return mSeenNext && *mSeenNext < WindowAt(aNow - mSettle - late);
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
  mStoredNext = mNextWindow;
  mState = aState;
  mConfirmed = aState;
  const auto state = ParseUntrustedJson(aState);
  const auto valid = [&state](const char* aName) {
    return state.is_object() && state.contains(aName) && state[aName].is_number_unsigned();
  };
  if (!valid("next") || !valid("era") || state["era"].get<std::uint64_t>() != aEra ||
      state["next"].get<std::uint64_t>() > kMaxWindow) {
    return;
  }
  mNextWindow = state["next"].get<std::uint64_t>();
  mStoredNext = mNextWindow;
  const auto windows = state.value("windows", json::object());
  if (!windows.is_object()) {
    return;
  }
  for (const auto& [number, counts] : windows.items()) {
    // A window from `next` on is not fixed yet, and would be sent twice.
    auto window = ParseWindow(number, counts);
    if (window && window->mWindow < mNextWindow) {
      mFixed[window->mWindow].mWindow = *window;
    }
  }
  DropOldest();
}

void
usage_reporter::DropOldest()
{
  // The number of a window, braces, and the members beside the windows.
  constexpr std::size_t kWindowBytes = 32;
  std::size_t bytes = kWindowBytes * 3;
  std::size_t kept = 0;
  auto oldest = mFixed.end();
  while (oldest != mFixed.begin() && kept < kMaxWaiting) {
    const auto candidate = std::prev(oldest);
    bytes += kWindowBytes + StoredBytes(json(candidate->second.mWindow.mCounts));
    if (bytes > kMaxStateBytes) {
      break;
    }
    oldest = candidate;
    ++kept;
  }
  mFixed.erase(mFixed.begin(), oldest);
}

std::string
usage_reporter::State() const
{
  json windows = json::object();
  for (const auto& [number, window] : mFixed) {
    windows[std::to_string(number)] = window.mWindow.mCounts;
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
    mFixed[mNextWindow] = { { mNextWindow, aCount(mNextWindow) } };
  }
  if (mNextWindow == before) {
    return std::nullopt;
  }
  DropOldest();
  mState = State();
  return mState;
}

void
usage_reporter::Confirm(const std::string& aStored)
{
  if (mHasStarted && aStored == mState) {
    mConfirmed = mState;
    mStoredNext = mNextWindow;
  }
}

std::optional<usage_window>
usage_reporter::Next(const std::string& aStored, instant aNow)
{
  Confirm(aStored);
  // Windows that were fixed since wait for the next write.
  const auto end = mFixed.lower_bound(mStoredNext);
  if (end == mFixed.begin() || mIsSending || aStored != mConfirmed || aNow < mNotBefore) {
    return std::nullopt;
  }
  mIsSending = true;
  const auto next =
    std::min_element(mFixed.begin(), end, [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mUnanswered / kUnansweredInOrder <
             aRight.second.mUnanswered / kUnansweredInOrder;
    });
  return next->second.mWindow;
}

void
usage_reporter::OnSent(std::uint64_t aWindow, int aStatus, instant aNow)
{
  mIsSending = false;
  const bool isFinal =
    aStatus == kOk || (aStatus > kOk && aStatus < kServerError && aStatus != kTooManyRequests);
  if (isFinal) {
    mFixed.erase(aWindow);
    return;
  }
  mNotBefore = aNow + kRetryPause;
  if (const auto sent = mFixed.find(aWindow); sent != mFixed.end() && aStatus == 0) {
    ++sent->second.mUnanswered;
  }
}

} // namespace skylarkwind
