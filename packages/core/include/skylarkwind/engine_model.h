#pragma once

#include "skylarkwind/types.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Estimates a line y = a + b x from recent points. The slope is the median of the slopes between
/// pairs of points, so that up to a quarter of the points may be far off. Points that are all close
/// together in x do not change the slope.
class line_estimator
{
public:
  line_estimator(double aIntercept, double aSlope);
  void Add(double aX, double aY);
  double Intercept() const { return mIntercept; }
  double Slope() const { return mSlope; }
  /// Replaces the slope while no points have.
  void SetInitialSlope(double aSlope);

private:
  void Fit();

  static constexpr std::size_t kPoints = 64;
  std::array<std::pair<double, double>, kPoints> mPoints{};
  std::size_t mCount = 0; ///< points ever added
  double mIntercept;
  double mSlope;
  bool mHasSlope = false;
};

/// Quantile of the most recent values.
class recent_quantile
{
public:
  recent_quantile(double aInitial, double aQuantile)
    : mValue(aInitial)
    , mQuantile(aQuantile)
  {
  }
  void Add(double aValue);
  double Value() const { return mValue; }

private:
  static constexpr std::size_t kValues = 64;
  std::array<double, kValues> mValues{};
  std::size_t mCount = 0;
  double mValue;
  double mQuantile;
};

/// Timing of the model engines of one service as seen from this daemon, learnt from the requests it
/// sends. Times are in ms and hold for the usual engine of the service; how much slower a single
/// engine is, the load tracker knows.
class engine_model
{
public:
  /// `aPrefillTokensPerMs` is the prefill rate assumed until requests have shown another.
  explicit engine_model(double aPrefillTokensPerMs);

  /// An engine computed a prompt. `aTokens`: its own tokens and those queued ahead of it; `aMs`:
  /// from sending the request to the end of the prefill, or to the first event on a decode engine,
  /// without the transfers of cached prefixes.
  void OnPromptComputed(std::optional<engine_role> aRole, double aTokens, double aMs);
  /// A decode engine fetched a prompt's KV cache and sent the first event `aMs` after the request,
  /// without the transfer.
  void OnFetchedStreamStarted(double aMs);
  /// The longest pause between the events of a stream that had several.
  void OnLongestEventGap(double aMs);

  /// Time that an engine of this role spends on each prompt token.
  double MsPerPromptToken(std::optional<engine_role> aRole) const;
  /// Time of a request that does not depend on its prompt.
  double FixedPrefillMs(std::optional<engine_role> aRole) const;
  /// Time to the first event at a decode engine that fetches the prompt's KV cache.
  double FetchedStreamStartMs() const { return mStreamStart.Value(); }
  /// Time between two events of a stream on a decode engine that computes no prompts.
  double EventIntervalMs() const { return mEventInterval.Value(); }

private:
  line_estimator& Line(std::optional<engine_role> aRole);
  const line_estimator& Line(std::optional<engine_role> aRole) const;

  line_estimator mPrefill;
  line_estimator mDecode;
  recent_quantile mStreamStart;
  recent_quantile mEventInterval;
};

/// The models of all services with model engines.
class engine_models
{
public:
  explicit engine_models(double aPrefillTokensPerMs)
    : mInitial(aPrefillTokensPerMs)
  {
  }
  engine_model& At(std::string_view aService);
  /// The model of a service; one without any observations when none has been made.
  const engine_model& Find(std::string_view aService) const;

private:
  engine_model mInitial;
  std::map<std::string, engine_model, std::less<>> mModels;
};

} // namespace skylarkwind
