#include "skylarkwind/engine_model.h"

#include <algorithm>
#include <cmath>

namespace skylarkwind {

namespace {

/// Points that are needed for a line, and how often it is fitted anew.
constexpr std::size_t kMinPoints = 8;
constexpr std::size_t kFitInterval = 4;
/// Pairs of points whose distance in x is below this part of the largest one say little of the
/// slope.
constexpr double kMinRelativeDistance = 0.2;
/// The points must differ by this factor in x, or the slope and the intercept cannot be told apart.
constexpr double kMinSpread = 1.5;
/// Part of the intercept's distribution over the points: what the daemon cannot see of a queue
/// makes points late, never early.
constexpr double kInterceptQuantile = 0.4;
/// An observation that differs from the estimate by more than this factor is cut to it, so that
/// one engine with wrong answers does not move the estimate of the others at once.
constexpr double kMaxObservationFactor = 32;

/// Values assumed before any observation. They are replaced within a few requests.
constexpr double kInitialFixedMs = 8;
constexpr double kInitialStreamStartMs = 15;
constexpr double kInitialEventIntervalMs = 60;
/// Rate of prompt computation between the decode steps of streams, relative to a prefill engine.
/// The engines' published interface states half.
constexpr double kDecodeRateFraction = 0.5;

/// Quantile of the event gaps that stands for engines without prompts.
constexpr double kUndisturbedQuantile = 0.25;

double
Quantile(std::vector<double>& aValues, double aQuantile)
{
  const auto index = static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size() - 1));
  const auto at = aValues.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(aValues.begin(), at, aValues.end());
  return *at;
}

} // namespace

line_estimator::line_estimator(double aIntercept, double aSlope)
  : mIntercept(aIntercept)
  , mSlope(aSlope)
{
}

void
line_estimator::SetInitialSlope(double aSlope)
{
  if (!mHasSlope) {
    mSlope = aSlope;
  }
}

void
line_estimator::Add(double aX, double aY)
{
  if (!std::isfinite(aX) || !std::isfinite(aY) || aX < 0 || aY < 0) {
    return;
  }
  const double expected = mIntercept + mSlope * aX;
  const double y =
    std::clamp(aY, expected / kMaxObservationFactor, expected * kMaxObservationFactor);
  mPoints[mCount++ % kPoints] = { aX, y };
  if (mCount >= kMinPoints && mCount % kFitInterval == 0) {
    Fit();
  }
}

void
line_estimator::Fit()
{
  const auto count = std::min(mCount, kPoints);
  const auto end = mPoints.begin() + static_cast<std::ptrdiff_t>(count);
  const auto [low, high] = std::minmax_element(mPoints.begin(), end);
  const double spread = high->first - low->first;
  if (spread > 0 && high->first >= kMinSpread * low->first) {
    std::vector<double> slopes;
    slopes.reserve(count * (count - 1) / 2);
    for (std::size_t i = 0; i < count; ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        const double distance = mPoints[i].first - mPoints[j].first;
        if (std::abs(distance) >= kMinRelativeDistance * spread) {
          slopes.push_back((mPoints[i].second - mPoints[j].second) / distance);
        }
      }
    }
    if (const double slope = slopes.size() < kMinPoints ? 0 : Quantile(slopes, 0.5); slope > 0) {
      mSlope = slope;
      mHasSlope = true;
    }
  }
  std::vector<double> intercepts;
  intercepts.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    intercepts.push_back(mPoints[i].second - mSlope * mPoints[i].first);
  }
  mIntercept = std::max(0.0, Quantile(intercepts, kInterceptQuantile));
}

void
recent_quantile::Add(double aValue)
{
  if (!std::isfinite(aValue) || aValue < 0) {
    return;
  }
  mValues[mCount++ % kValues] =
    std::clamp(aValue, mValue / kMaxObservationFactor, mValue * kMaxObservationFactor);
  if (mCount < kMinPoints) {
    return;
  }
  const auto count = std::min(mCount, kValues);
  std::vector<double> values{ mValues.begin(),
                              mValues.begin() + static_cast<std::ptrdiff_t>(count) };
  mValue = Quantile(values, mQuantile);
}

engine_model::engine_model(double aPrefillTokensPerMs)
  : mPrefill(kInitialFixedMs, 1 / aPrefillTokensPerMs)
  , mDecode(kInitialFixedMs, 1 / (kDecodeRateFraction * aPrefillTokensPerMs))
  , mStreamStart(kInitialStreamStartMs, 0.5)
  , mEventInterval(kInitialEventIntervalMs, kUndisturbedQuantile)
{
}

line_estimator&
engine_model::Line(std::optional<engine_role> aRole)
{
  return aRole == engine_role::Prefill ? mPrefill : mDecode;
}

const line_estimator&
engine_model::Line(std::optional<engine_role> aRole) const
{
  return aRole == engine_role::Prefill ? mPrefill : mDecode;
}

void
engine_model::OnPromptComputed(std::optional<engine_role> aRole, double aTokens, double aMs)
{
  Line(aRole).Add(aTokens, aMs);
  // Until one of the roles has been seen at work, its rate follows from the other's.
  mDecode.SetInitialSlope(mPrefill.Slope() / kDecodeRateFraction);
  mPrefill.SetInitialSlope(mDecode.Slope() * kDecodeRateFraction);
}

void
engine_model::OnFetchedStreamStarted(double aMs)
{
  mStreamStart.Add(aMs);
}

void
engine_model::OnLongestEventGap(double aMs)
{
  mEventInterval.Add(aMs);
}

double
engine_model::MsPerPromptToken(std::optional<engine_role> aRole) const
{
  return Line(aRole).Slope();
}

double
engine_model::FixedPrefillMs(std::optional<engine_role> aRole) const
{
  return Line(aRole).Intercept();
}

engine_model&
engine_models::At(std::string_view aService)
{
  const auto found = mModels.find(aService);
  return found != mModels.end() ? found->second
                                : mModels.emplace(std::string{ aService }, mInitial).first->second;
}

const engine_model&
engine_models::Find(std::string_view aService) const
{
  const auto found = mModels.find(aService);
  return found != mModels.end() ? found->second : mInitial;
}

} // namespace skylarkwind
