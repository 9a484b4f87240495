#include "flow_world.h"

#include <cstdio>
#include <future>
#include <numbers>

namespace skylarkwind::flow {

namespace {

constexpr int kSeeds = 3;
constexpr std::size_t kThreads = 4;

/// The price of a role change is an operator's setting; 8 goodput seconds is the value at which
/// the planner makes few changes and still follows the slow swing.
std::vector<deployment>
Deployments()
{
  return { { "Tallow Creek, 12 + 3 engines, price 8",
             { { "stones", 12, false, 0.75 }, { "crew", 3, true, 0.5 } },
             8,
             0.001 },
           { "Guild, 18 + 3 engines, price 8",
             { { "draft", 18, false, 0.75 }, { "desk", 3, true, 0.5 } },
             8,
             0.003 } };
}

double
Always(double /*aAt*/)
{
  return 1;
}

double
Half(double /*aAt*/)
{
  return 0.5;
}

/// 20 % prompt work for a minute, up to 80 % within a minute, there for a minute, back.
double
SlowSwing(double aAt)
{
  const double phase = std::fmod(aAt, 240) / 60;
  const double up = phase < 1 ? 0 : phase < 2 ? phase - 1 : phase < 3 ? 1 : 4 - phase;
  return 0.2 + 0.6 * up;
}

double
FastSwing(double aAt)
{
  return 0.5 + 0.3 * std::sin(2 * std::numbers::pi * aAt / 20);
}

/// Three times the capacity for ten seconds, with 75 % of it as the usual rate.
double
Pulse(double aAt)
{
  return aAt >= 60 && aAt < 70 ? 3 / 0.75 : 1;
}

std::vector<variant>
Policies(const deployment& aDeployment)
{
  const std::string service = aDeployment.mServices[0].mName;
  const auto proportional = [service] { return std::make_unique<proportional_planner>(service); };
  const auto fixed = [] { return std::make_unique<fixed_roles>(); };
  const auto real = [] { return std::make_unique<real_planner>(); };
  return { { "fixed roles", {}, fixed },
           { "proportional, no hysteresis", {}, proportional },
           { "least loaded, immediate return", { true, true }, real },
           { "skylarkwind, immediate return", { false, true }, real },
           { "skylarkwind", {}, real } };
}

/// Planners that know the future, with several ways to use it; the best run is the reference.
std::vector<variant>
Clairvoyants(const deployment& aDeployment, const scenario& aScenario)
{
  std::vector<variant> all;
  for (const clairvoyant_planner::outlook outlook :
       { clairvoyant_planner::outlook{ 10, 30, 0.002 },
         clairvoyant_planner::outlook{ 10, 50, 0.01 },
         clairvoyant_planner::outlook{ 15, 75, 0.01 },
         clairvoyant_planner::outlook{ 15, 75, 0.03 },
         clairvoyant_planner::outlook{ 20, 120, 0.02 } }) {
    all.push_back({ "knows the future", { false, true }, [=] {
                     return std::make_unique<clairvoyant_planner>(aDeployment, aScenario, outlook);
                   } });
  }
  return all;
}

struct job
{
  const deployment* mDeployment = nullptr;
  const scenario* mScenario = nullptr;
  variant mVariant;
  int mSeed = 0;
};

/// Runs the jobs on a few threads; the results are in the order of the jobs.
std::vector<outcome>
RunAll(const std::vector<job>& aJobs)
{
  std::vector<outcome> outcomes(aJobs.size());
  std::vector<std::future<void>> threads;
  for (std::size_t thread = 0; thread < kThreads; ++thread) {
    threads.push_back(std::async(std::launch::async, [&, thread] {
      for (std::size_t i = thread; i < aJobs.size(); i += kThreads) {
        const job& each = aJobs[i];
        outcomes[i] = world(*each.mDeployment,
                            *each.mScenario,
                            each.mVariant,
                            static_cast<std::uint64_t>(each.mSeed))
                        .Run();
      }
    }));
  }
  for (auto& thread : threads) {
    thread.get();
  }
  return outcomes;
}

void
CompareSwing(const deployment& aDeployment, const scenario& aScenario)
{
  std::vector<variant> variants = Policies(aDeployment);
  const std::size_t policies = variants.size();
  for (variant& each : Clairvoyants(aDeployment, aScenario)) {
    variants.push_back(std::move(each));
  }
  std::vector<job> jobs;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    for (const variant& each : variants) {
      jobs.push_back({ &aDeployment, &aScenario, each, seed });
    }
  }
  const auto outcomes = RunAll(jobs);
  std::printf("%s; %s\n", aDeployment.mName.c_str(), aScenario.mName.c_str());
  std::vector<double> best(kSeeds);
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    double& reference = best[i / variants.size()];
    reference = std::max(reference, outcomes[i].Share(0, aScenario.mSeconds));
  }
  for (std::size_t i = 0; i < variants.size(); ++i) {
    double goodput = 0;
    double share = 0;
    std::string changes;
    double sum = 0;
    for (std::size_t seed = 0; seed < kSeeds; ++seed) {
      const outcome& each = outcomes[seed * variants.size() + i];
      goodput += each.Share(0, aScenario.mSeconds) / kSeeds;
      share += each.Share(0, aScenario.mSeconds) / best[seed] / kSeeds;
      changes += " " + std::to_string(each.mChanges);
      sum += each.mChanges;
    }
    std::printf("  %-34s goodput %5.1f %%, of the best %5.1f %%, changes %5.1f (%s )%s\n",
                variants[i].mName.c_str(),
                goodput * 100,
                share * 100,
                sum / kSeeds,
                changes.c_str(),
                i >= policies ? " reference" : "");
  }
}

/// Seconds after the pulse until five seconds in a row reach 95 % of the goodput before it.
double
WholeAgain(const outcome& aOutcome)
{
  const double before = aOutcome.Share(20, 60);
  for (int at = 70; at < 170; ++at) {
    if (aOutcome.Share(at, at + 5) >= 0.95 * before) {
      return at - 70;
    }
  }
  return 100;
}

void
ComparePulse(const deployment& aDeployment)
{
  const scenario pulse{ "overload of three times the capacity for 10 s", 180, Half, Pulse };
  const auto variants = Policies(aDeployment);
  std::vector<job> jobs;
  for (const variant& each : variants) {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      jobs.push_back({ &aDeployment, &pulse, each, seed });
    }
  }
  const auto outcomes = RunAll(jobs);
  std::printf("%s; %s\n", aDeployment.mName.c_str(), pulse.mName.c_str());
  for (std::size_t i = 0; i < variants.size(); ++i) {
    std::printf("  %-34s", variants[i].mName.c_str());
    for (std::size_t seed = 0; seed < kSeeds; ++seed) {
      const outcome& each = outcomes[i * kSeeds + seed];
      std::printf(" whole after %3.0f s (before %5.1f %%, during %5.1f %%, changes %d);",
                  WholeAgain(each),
                  each.Share(20, 60) * 100,
                  each.Share(60, 70) * 100,
                  each.mChanges);
    }
    std::printf("\n");
  }
}

/// Lowest goodput of two seconds after the return, against that while the engine was away.
void
CompareReturn(const deployment& aDeployment)
{
  const scenario crash{
    "one engine crashes at 60 s and answers again at 80 s", 160, Half, Always, 60, 80
  };
  std::vector<variant> variants = Policies(aDeployment);
  variants.erase(variants.begin() + 1);
  std::vector<job> jobs;
  for (const variant& each : variants) {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      jobs.push_back({ &aDeployment, &crash, each, seed });
    }
  }
  const auto outcomes = RunAll(jobs);
  std::printf("%s; %s\n", aDeployment.mName.c_str(), crash.mName.c_str());
  for (std::size_t i = 0; i < variants.size(); ++i) {
    std::printf("  %-34s", variants[i].mName.c_str());
    for (std::size_t seed = 0; seed < kSeeds; ++seed) {
      const outcome& each = outcomes[i * kSeeds + seed];
      double lowest = 1;
      for (int at = 80; at < 110; at += 2) {
        lowest = std::min(lowest, each.Share(at, at + 2));
      }
      std::printf(
        " away %5.1f %%, 30 s after %5.1f %% (lowest 2 s %5.1f %%), serving after %4.1f s;",
        each.Share(63, 80) * 100,
        each.Share(80, 110) * 100,
        lowest * 100,
        each.mServingAgainAt - 80);
    }
    std::printf("\n");
  }
}

void
RunBench()
{
  const scenario slow{ "20 % to 80 % prompt work and back in 4 minutes", 960, SlowSwing, Always };
  const scenario fast{ "swing with a period of 20 s", 480, FastSwing, Always };
  for (const deployment& each : Deployments()) {
    CompareSwing(each, slow);
    CompareSwing(each, fast);
    ComparePulse(each);
    CompareReturn(each);
  }
}

} // namespace

} // namespace skylarkwind::flow

int
main()
{
  skylarkwind::flow::RunBench();
  return 0;
}
