#include "crash_detector_p.h"

#include "skylarkwind/hash.h"
#include "skylarkwind/http_pool.h"
#include "skylarkwind/log.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// Limit for the connection that is tried. A server on a sound link answers within a few ms.
constexpr milliseconds kConnectLimit{ 300 };
/// Pause between the two connections of a check.
constexpr milliseconds kRecheckPause{ 100 };
/// Parts in one log line.
constexpr std::size_t kMaxLoggedParts = 24;

std::uint64_t
EngineKey(const backend_server& aServer)
{
  return Hash64(aServer.mId, aServer.mStartedAt);
}

void
Append(const std::vector<prompt_part>& aParts, std::vector<crash_part>& aTo)
{
  for (std::size_t i = 0; i < aParts.size(); ++i) {
    aTo.push_back({ aParts[i], static_cast<std::uint8_t>(std::min<std::size_t>(i, UINT8_MAX)) });
  }
}

bool
IsRefusal(const kj::Exception& aError)
{
  static const auto kText = std::generic_category().message(ECONNREFUSED);
  const auto text = aError.getDescription();
  return std::string_view{ text.cStr(), text.size() }.find(kText) != std::string_view::npos;
}

} // namespace

crash_detector::crash_detector(kj::Network& aNetwork,
                               kj::Timer& aTimer,
                               kj::TaskSet& aTasks,
                               const clock_source& aClock,
                               const backend_directory& aDirectory,
                               prompt_quarantine& aQuarantine,
                               counters& aCounters,
                               std::function<bool(instant)> aStalled)
  : mNetwork(aNetwork)
  , mTimer(aTimer)
  , mTasks(aTasks)
  , mClock(aClock)
  , mDirectory(aDirectory)
  , mQuarantine(aQuarantine)
  , mCounters(aCounters)
  , mStalled(std::move(aStalled))
{
}

void
crash_detector::OnCut(const backend_server& aServer, const std::vector<prompt_part>& aParts)
{
  if (aParts.empty() || MayLeave(aServer) || mStalled(mClock.Now())) {
    return;
  }
  Append(aParts, CheckOf(aServer).mCut);
}

void
crash_detector::OnAnswerEnd(const backend_server& aServer,
                            const std::vector<prompt_part>& aParts,
                            bool aDelimited)
{
  const auto now = mClock.Now();
  if (aParts.empty()) {
    return;
  }
  if (aDelimited) {
    mQuarantine.OnWholeAnswer(aParts, now);
  } else if (!mQuarantine.KnownHarmless(aParts, now) && !mStalled(now)) {
    Append(aParts, CheckOf(aServer).mAnswered);
  }
}

crash_detector::open_check&
crash_detector::CheckOf(const backend_server& aServer)
{
  const auto [check, added] = mChecks.try_emplace(aServer.mId);
  if (added) {
    check->second.mAt = mClock.Now();
    mTasks.add(Check(aServer.mAddress).then([this, server = aServer](server_state aState) {
      OnChecked(server, aState);
    }));
  }
  return check->second;
}

kj::Promise<crash_detector::server_state>
crash_detector::Check(const std::string& aAddress)
{
  // In a later turn, so that other calls that were cut at the same time join the check.
  return kj::evalLater([this, address = aAddress] { return Connect(address); })
    .then([this, address = aAddress](server_state aState) -> kj::Promise<server_state> {
      if (aState != server_state::Listening) {
        return aState;
      }
      return mTimer.afterDelay(ToKj(kRecheckPause)).then([this, address] {
        return Connect(address);
      });
    });
}

kj::Promise<crash_detector::server_state>
crash_detector::Connect(const std::string& aAddress)
{
  auto connecting = kj::evalNow([&] {
                      return mNetwork.parseAddress(ToKj(aAddress));
                    }).then([](kj::Own<kj::NetworkAddress> aParsed) {
    auto& parsed = *aParsed;
    return parsed.connect().attach(kj::mv(aParsed));
  });
  return mTimer.timeoutAfter(ToKj(kConnectLimit), kj::mv(connecting))
    .then([](kj::Own<kj::AsyncIoStream>&&) { return server_state::Listening; },
          [](kj::Exception&& aError) {
            return IsRefusal(aError) ? server_state::Ended : server_state::Unknown;
          });
}

bool
crash_detector::MayLeave(const backend_server& aServer) const
{
  const auto* listed = mDirectory.Find(aServer.mId);
  return listed == nullptr || listed->mDraining;
}

void
crash_detector::OnChecked(const backend_server& aServer, server_state aState)
{
  const auto node = mChecks.extract(aServer.mId);
  const auto& check = node.mapped();
  if (aState == server_state::Listening) {
    std::vector<prompt_part> answered;
    for (const auto& part : check.mAnswered) {
      answered.push_back(part.mPart);
    }
    mQuarantine.OnWholeAnswer(answered, mClock.Now());
  }
  if (aState != server_state::Ended || MayLeave(aServer)) {
    return;
  }
  auto parts = check.mCut;
  parts.insert(parts.end(), check.mAnswered.begin(), check.mAnswered.end());
  std::string text;
  for (std::size_t i = 0; i < std::min(parts.size(), kMaxLoggedParts); ++i) {
    text += (text.empty() ? "" : ",") + PromptPartText(parts[i].mPart);
  }
  Log(log_level::Warning,
      "servers",
      "server has ended while it ran requests id=" + aServer.mId + " parts=" + text);
  mCounters
    .Get("skylarkwind_server_crashes_total",
         "Servers that ended, as this daemon saw, while they ran its requests.")
    .Add();
  mQuarantine.OnCrash(EngineKey(aServer), parts, check.mAt);
}

} // namespace skylarkwind
