// Measures the look-up time and the memory of the index of client accounts. Prints the rows of
// docs/measurements.md.

#include "skylarkwind/account_index.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <random>
#include <string>
#include <vector>

namespace skylarkwind {
namespace {

constexpr std::uint64_t kSeed = 7;
constexpr std::size_t kKeys = 10'000;
constexpr std::size_t kKeyBytes = 40;
constexpr std::size_t kLookUps = 2'000'000;
constexpr int kRuns = 5;

std::string
RandomKey(std::mt19937_64& aRandom)
{
  constexpr std::string_view kCharacters = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::string key;
  while (key.size() < kKeyBytes) {
    key += kCharacters[aRandom() % kCharacters.size()];
  }
  return key;
}

std::size_t
AllocatedBytes()
{
  const auto use = mallinfo2();
  return use.uordblks + use.hblkhd;
}

/// Mean times of a look-up.
struct look_up_time
{
  double mNs = 0;
  double mProcessorNs = 0; ///< without the time during which other programs ran
};

/// The sum of what was found is printed, so that no look-up is optimized away.
look_up_time
MeasureLookUps(const account_index& aIndex,
               const std::vector<std::string>& aKeys,
               std::size_t& aFound)
{
  const auto start = std::chrono::steady_clock::now();
  const auto processorStart = std::clock();
  for (std::size_t i = 0; i < kLookUps; ++i) {
    aFound += aIndex.Find(aKeys[i % aKeys.size()]) == nullptr ? 0 : 1;
  }
  const std::chrono::duration<double, std::nano> passed = std::chrono::steady_clock::now() - start;
  constexpr double kNsPerS = 1e9;
  const auto processor = static_cast<double>(std::clock() - processorStart) / CLOCKS_PER_SEC;
  return { passed.count() / kLookUps, processor * kNsPerS / kLookUps };
}

int
Run()
{
  std::mt19937_64 random{ kSeed };
  std::vector<client_account> accounts;
  std::vector<std::string> known;
  std::vector<std::string> unknown;
  for (std::size_t i = 0; i < kKeys; ++i) {
    known.push_back(RandomKey(random));
    unknown.push_back(RandomKey(random));
    accounts.push_back({ "account-" + std::to_string(i), { known.back() }, {} });
  }
  // Callers come in any order, so that the index is not read in the order of its memory.
  std::shuffle(known.begin(), known.end(), random);
  const auto before = AllocatedBytes();
  account_index index{ random() };
  const auto start = std::chrono::steady_clock::now();
  index.Replace(accounts);
  const std::chrono::duration<double, std::milli> building =
    std::chrono::steady_clock::now() - start;
  const auto bytes = AllocatedBytes() - before;
  std::printf("seed %llu, %zu keys of %zu bytes: %.0f KiB beside the configuration, indexed in "
              "%.2f ms\n",
              static_cast<unsigned long long>(kSeed),
              index.KeyCount(),
              kKeyBytes,
              static_cast<double>(bytes) / 1'024,
              building.count());
  for (int run = 1; run <= kRuns; ++run) {
    std::size_t found = 0;
    const auto ofKnown = MeasureLookUps(index, known, found);
    const auto ofUnknown = MeasureLookUps(index, unknown, found);
    std::printf(
      "run %d: known key %.0f ns (processor %.0f), unknown key %.0f ns (processor %.0f) a "
      "look-up, %zu found\n",
      run,
      ofKnown.mNs,
      ofKnown.mProcessorNs,
      ofUnknown.mNs,
      ofUnknown.mProcessorNs,
      found);
  }
  return index.KeyCount() == kKeys ? 0 : 1;
}

} // namespace
} // namespace skylarkwind

int
main()
{
  return skylarkwind::Run();
}
