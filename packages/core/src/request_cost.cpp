#include "skylarkwind/request_cost.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <cmath>

namespace skylarkwind {

namespace {

/// Share of the plain requests that take longer than the others by a factor.
constexpr double kLongShare = 0.01;
constexpr double kLongFactor = 5;
/// Smallest weight of a new value. An estimate follows a shift within about 20 values.
constexpr double kWeight = 0.08;
/// Values further from the mean than this many standard deviations are moved to that distance.
constexpr double kMaxDeviations = 2.5;
constexpr double kMinVariance = 0.01;
constexpr double kMaxCount = 1'000;
/// The route counts like this many values of the account, the prior like this many of the route.
constexpr double kRouteValues = 6;
constexpr double kPriorValues = 2;
/// Priors of output tokens: the usual length without a caller's estimate, the spread of the
/// length and of the ratio to the caller's estimate, and the ratio to the caller's limit.
constexpr double kPriorTokens = 256;
constexpr double kPriorTokensVariance = 1;
constexpr double kPriorHintVariance = 0.5;
constexpr double kPriorLimitRatio = 0.5;
constexpr double kPriorLimitVariance = 1;

double
PriorServiceVariance()
{
  return service_time{}.mLogSpread * service_time{}.mLogSpread;
}

double
NormalCdf(double aValue)
{
  return 0.5 * std::erfc(-aValue / std::sqrt(2.0));
}

} // namespace

double
service_time::MedianMs() const
{
  return std::exp(mLogMedian);
}

double
service_time::MeanMs() const
{
  const double usual = std::exp(mLogMedian + mLogSpread * mLogSpread / 2);
  return usual * (1 - kLongShare + kLongShare * kLongFactor);
}

double
service_time::RemainingMs(double aElapsedMs) const
{
  if (aElapsedMs <= 0) {
    return MeanMs();
  }
  const double spread = std::max(mLogSpread, 0.05);
  const double elapsed = std::log(aElapsedMs);
  double alive = 0;
  double time = 0;
  for (const auto& [share, median] :
       { std::pair{ 1 - kLongShare, mLogMedian },
         std::pair{ kLongShare, mLogMedian + std::log(kLongFactor) } }) {
    alive += share * NormalCdf((median - elapsed) / spread);
    time += share * std::exp(median + spread * spread / 2) *
            NormalCdf((median + spread * spread - elapsed) / spread);
  }
  constexpr double kNegligible = 1e-6;
  // Beyond what the distribution covers, the remaining time is taken to be the elapsed time.
  return alive < kNegligible ? aElapsedMs : std::max(0.0, time / alive - aElapsedMs);
}

request_cost::request_cost() = default;

void
request_cost::log_estimate::Add(double aValue, double aPrior, double aPriorVariance)
{
  if (mCount == 0) {
    mMean = static_cast<float>(aPrior);
    mVariance = static_cast<float>(aPriorVariance);
  }
  const double weight = std::max(kWeight, 1 / (1 + kPriorValues / 2 + mCount));
  const double bound = kMaxDeviations * std::sqrt(std::max<double>(mVariance, kMinVariance));
  const double deviation = std::clamp(aValue - mMean, -bound, bound);
  mMean += static_cast<float>(weight * deviation);
  mVariance += static_cast<float>(weight * (deviation * deviation - mVariance));
  mCount = static_cast<float>(std::min<double>(kMaxCount, mCount + 1));
}

std::uint64_t
request_cost::Key(std::string_view aRoute, std::string_view aAccount)
{
  return Hash64(aAccount, Hash64(aRoute)) | 1U;
}

const request_cost::entry*
request_cost::Find(std::uint64_t aKey) const
{
  if (mAccounts.empty()) {
    return nullptr;
  }
  const auto& set = mAccounts[(aKey >> 1U) % kSets];
  const auto found =
    std::find_if(set.begin(), set.end(), [&](const entry& aEntry) { return aEntry.mKey == aKey; });
  return found == set.end() ? nullptr : &*found;
}

request_cost::entry&
request_cost::At(std::uint64_t aKey, instant aNow)
{
  if (mAccounts.empty()) {
    mAccounts.resize(kSets);
  }
  auto& set = mAccounts[(aKey >> 1U) % kSets];
  auto found =
    std::find_if(set.begin(), set.end(), [&](const entry& aEntry) { return aEntry.mKey == aKey; });
  if (found == set.end()) {
    found = std::min_element(set.begin(), set.end(), [](const entry& aLeft, const entry& aRight) {
      return (aLeft.mKey == 0 ? -1 : aLeft.mUsedAtMs) < (aRight.mKey == 0 ? -1 : aRight.mUsedAtMs);
    });
    *found = {};
    found->mKey = aKey;
  }
  found->mUsedAtMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow.time_since_epoch()).count();
  return *found;
}

request_cost::entry*
request_cost::Route(std::string_view aRoute)
{
  const auto key = Hash64(aRoute);
  if (mRoutes.size() >= kMaxRoutes && !mRoutes.contains(key)) {
    mRoutes.clear(); // Only a configuration that keeps renaming its routes gets here.
  }
  return &mRoutes[key];
}

const request_cost::entry*
request_cost::Route(std::string_view aRoute) const
{
  const auto found = mRoutes.find(Hash64(aRoute));
  return found == mRoutes.end() ? nullptr : &found->second;
}

request_cost::log_estimate
request_cost::Combine(const log_estimate* aAccount,
                      const log_estimate* aRoute,
                      double aPrior,
                      double aPriorVariance)
{
  log_estimate result{ static_cast<float>(aPrior), static_cast<float>(aPriorVariance), 0 };
  const auto mix = [&](const log_estimate* aNext, double aBaseValues) {
    if (aNext == nullptr || aNext->mCount == 0) {
      return;
    }
    const auto share = static_cast<float>(aNext->mCount / (aNext->mCount + aBaseValues));
    result.mMean += share * (aNext->mMean - result.mMean);
    result.mVariance += share * (aNext->mVariance - result.mVariance);
    result.mCount = aNext->mCount;
  };
  mix(aRoute, kPriorValues);
  mix(aAccount, kRouteValues);
  return result;
}

void
request_cost::OnServed(std::string_view aRoute,
                       std::string_view aAccount,
                       std::chrono::duration<double, std::milli> aTime,
                       instant aNow)
{
  constexpr double kMinMs = 0.1;
  const double value = std::log(std::max(kMinMs, aTime.count()));
  const double prior = service_time{}.mLogMedian;
  Route(aRoute)->mServiceMs.Add(value, prior, PriorServiceVariance());
  if (!aAccount.empty()) {
    const auto route = Combine(nullptr, &Route(aRoute)->mServiceMs, prior, PriorServiceVariance());
    At(Key(aRoute, aAccount), aNow).mServiceMs.Add(value, route.mMean, route.mVariance);
  }
}

service_time
request_cost::ServiceTime(std::string_view aRoute, std::string_view aAccount) const
{
  const auto* route = Route(aRoute);
  const auto* account = aAccount.empty() ? nullptr : Find(Key(aRoute, aAccount));
  const auto estimate = Combine(account != nullptr ? &account->mServiceMs : nullptr,
                                route != nullptr ? &route->mServiceMs : nullptr,
                                service_time{}.mLogMedian,
                                PriorServiceVariance());
  return { estimate.mMean, std::sqrt(std::max<double>(estimate.mVariance, kMinVariance)) };
}

void
request_cost::OnGenerated(std::string_view aRoute,
                          std::string_view aAccount,
                          const generation_spec& aGeneration,
                          double aTokens,
                          instant aNow)
{
  const double tokens = std::log(std::max(1.0, aTokens));
  const double limit = std::log(std::max(1.0, static_cast<double>(aGeneration.mOutputTokens)));
  const auto add = [&](entry& aEntry, const combined_tokens& aBase) {
    aEntry.mTokens.Add(tokens, aBase.mTokens.mMean, aBase.mTokens.mVariance);
    if (aGeneration.mOutputTokens > 0) {
      aEntry.mLimitRatio.Add(tokens - limit, aBase.mLimitRatio.mMean, aBase.mLimitRatio.mVariance);
    }
    if (aGeneration.mExpectedOutputTokens && *aGeneration.mExpectedOutputTokens > 0) {
      aEntry.mHintRatio.Add(tokens -
                              std::log(static_cast<double>(*aGeneration.mExpectedOutputTokens)),
                            aBase.mHintRatio.mMean,
                            aBase.mHintRatio.mVariance);
    }
  };
  const auto base = Tokens(aRoute, {});
  add(*Route(aRoute), base);
  if (!aAccount.empty()) {
    add(At(Key(aRoute, aAccount), aNow), base);
  }
}

request_cost::combined_tokens
request_cost::Tokens(std::string_view aRoute, std::string_view aAccount) const
{
  const auto* route = Route(aRoute);
  const auto* account = aAccount.empty() ? nullptr : Find(Key(aRoute, aAccount));
  const auto combine = [&](auto aMember, double aPrior, double aVariance) {
    return Combine(account != nullptr ? &(account->*aMember) : nullptr,
                   route != nullptr ? &(route->*aMember) : nullptr,
                   aPrior,
                   aVariance);
  };
  return { combine(&entry::mTokens, std::log(kPriorTokens), kPriorTokensVariance),
           combine(&entry::mHintRatio, 0, kPriorHintVariance),
           combine(&entry::mLimitRatio, std::log(kPriorLimitRatio), kPriorLimitVariance) };
}

output_estimate
request_cost::OutputTokens(std::string_view aRoute,
                           std::string_view aAccount,
                           const generation_spec& aGeneration) const
{
  const auto learned = Tokens(aRoute, aAccount);
  // Weighs the sources by the inverse of their variances.
  double weights = 0;
  double sum = 0;
  const auto add = [&](const log_estimate& aSource, double aBase) {
    const double weight = 1 / std::max<double>(aSource.mVariance, kMinVariance);
    weights += weight;
    sum += weight * (aBase + aSource.mMean);
  };
  add(learned.mTokens, 0);
  if (aGeneration.mOutputTokens > 0) {
    add(learned.mLimitRatio, std::log(static_cast<double>(aGeneration.mOutputTokens)));
  }
  if (aGeneration.mExpectedOutputTokens && *aGeneration.mExpectedOutputTokens > 0) {
    add(learned.mHintRatio, std::log(static_cast<double>(*aGeneration.mExpectedOutputTokens)));
  }
  double tokens = std::exp(sum / weights);
  if (aGeneration.mOutputTokens > 0) {
    tokens = std::min(tokens, static_cast<double>(aGeneration.mOutputTokens));
  }
  return { tokens, std::sqrt(1 / weights) };
}

} // namespace skylarkwind
