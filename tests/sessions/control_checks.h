#pragma once

#include "test_system.h"

#include <cppunit/TestAssert.h>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <map>
#include <set>

/// What the tests of authority over engines and of the table have in common.
namespace skylarkwind::sessions {

/// Completions at several daemons until the object is stopped; every answer has to be whole.
class traffic
{
public:
  traffic(const test_system& aSystem, const std::vector<std::string>& aVms)
    : mSystem{ aSystem }
  {
    for (const auto& vm : aVms) {
      mThreads.emplace_back([this, vm] { Run(vm); });
    }
  }
  ~traffic() { Stop(); }

  std::size_t Answers() const { return mAnswers; }
  /// True when `aCount` more answers came within the limit.
  bool More(std::size_t aCount) const
  {
    const auto from = Answers();
    return WaitUntil([&] { return Answers() >= from + aCount; });
  }
  /// Stops and fails the test when an answer was not whole.
  void CheckWhole()
  {
    Stop();
    CPPUNIT_ASSERT(mAnswers > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(mFirstFault, std::size_t{ 0 }, mFaults);
  }

private:
  static constexpr int kTokens = 30;
  static constexpr int kMostRequests = 20'000;

  void Run(const std::string& aVm)
  {
    for (int i = 0; i < kMostRequests && !mStopped; ++i) {
      const auto call = mSystem.Stream(aVm, aVm + " prompt " + std::to_string(i), kTokens);
      const auto reply = call->Wait();
      const auto view = ReadStream(reply.mBody);
      const auto tokens = std::count(view.mText.begin(), view.mText.end(), ' ');
      ++mAnswers;
      if (reply.mBroken || !view.mDone || !view.mError.empty() || tokens != kTokens) {
        const std::lock_guard lock{ mMutex };
        ++mFaults;
        mFirstFault = mFirstFault.empty() ? aVm + ": " + reply.mBody : mFirstFault;
      }
    }
  }
  void Stop()
  {
    mStopped = true;
    for (auto& thread : mThreads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  const test_system& mSystem;
  std::atomic<bool> mStopped{ false };
  std::atomic<std::size_t> mAnswers{ 0 };
  std::mutex mMutex;
  std::size_t mFaults = 0;
  std::string mFirstFault;
  std::vector<std::thread> mThreads;
};

inline nlohmann::json
EngineLog(test_system& aSystem, const std::string& aName)
{
  return nlohmann::json::parse(Call("GET", aSystem.Engine(aName).Url("/standin/log")).mBody);
}

inline nlohmann::json
EngineState(test_system& aSystem, const std::string& aName)
{
  const auto reply = Call("GET", aSystem.Engine(aName).Url("/v1/engine/state"));
  auto state = nlohmann::json::parse(reply.mBody, nullptr, false);
  return state.is_object() ? state : nlohmann::json::object();
}

inline bool
IsReadyWith(test_system& aSystem,
            const std::string& aName,
            const std::string& aKey,
            const std::string& aValue)
{
  const auto state = EngineState(aSystem, aName);
  return state.value("state", "") == "ready" && state.value(aKey, "") == aValue;
}

/// Engines of a data centre with an unsettled order, as the platform holds them.
inline std::vector<std::string>
OpenOrders(test_system& aSystem, const std::string& aDataCentre)
{
  const auto url = aSystem.Platform().Url("/v1/objects/fleet/" + aDataCentre);
  const auto object = nlohmann::json::parse(Call("GET", url).mBody, nullptr, false);
  std::vector<std::string> engines;
  if (object.is_object() && object.contains("value")) {
    for (const auto& order : object["value"]["orders"]) {
      if (order.at("stage") == "intended") {
        engines.push_back(order.at("engine"));
      }
    }
  }
  return engines;
}

/// The daemon among these that holds the lease of its data centre, or nothing.
inline std::string
HolderOf(const test_system& aSystem, const std::vector<std::string>& aVms)
{
  for (const auto& vm : aVms) {
    if (aSystem.Status(vm).value("holds_lease", false)) {
      return vm;
    }
  }
  return "";
}

inline std::uint64_t
SerialOf(const test_system& aSystem, const std::string& aVm)
{
  return aSystem.Status(aVm).value("table_serial", std::uint64_t{ 0 });
}

inline bool
AllAtSerial(const test_system& aSystem, std::uint64_t aSerial)
{
  const auto vms = aSystem.Vms();
  return std::ranges::all_of(
    vms, [&](const std::string& aVm) { return SerialOf(aSystem, aVm) >= aSerial; });
}

inline void
SetPlatformFault(test_system& aSystem, const std::string& aFault)
{
  Call("POST", aSystem.Platform().Url("/standin/faults"), {}, aFault);
}

/// The engine row of a table.
inline nlohmann::json&
RowOf(nlohmann::json& aTable, const std::string& aName)
{
  for (auto& row : aTable["engines"]) {
    if (row["name"] == aName) {
      return row;
    }
  }
  throw std::runtime_error("no engine " + aName);
}

inline void
ApplyOrFail(const test_system& aSystem, const nlohmann::json& aTable)
{
  std::string output;
  CPPUNIT_ASSERT_EQUAL_MESSAGE(output, 0, aSystem.Apply(aTable, &output));
}

/// `table apply` of a file of its own, so that two may run at once.
inline int
ApplyAs(const test_system& aSystem,
        const std::string& aWho,
        const nlohmann::json& aTable,
        std::string* aOutput)
{
  const auto file = "/tmp/skylarkwind-" + std::to_string(getpid()) + "-" + aWho + ".json";
  std::ofstream{ file } << aTable.dump(2);
  const auto status = aSystem.Client(
    aSystem.Vms().front(), { "--who=" + aWho, "--why=session", "table", "apply", file }, aOutput);
  unlink(file.c_str());
  return status;
}

} // namespace skylarkwind::sessions
