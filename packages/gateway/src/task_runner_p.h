#pragma once

#include "skylarkwind/object_store.h"
#include "skylarkwind/singleton_task.h"

#include <kj/async.h>

#include <cstdint>
#include <string>

namespace skylarkwind {

/// Executes the actions of a singleton task against the store, where its record is an object of the
/// kind of leases with the name of the task.
class task_runner
{
public:
  task_runner(std::string aName,
              singleton_task_settings aSettings,
              object_store& aStore,
              const clock_source& aClock,
              kj::TaskSet& aTasks);

  /// Advances the task; see `singleton_task::OnTick`.
  void OnTick(std::size_t aRank, bool aDue, instant aNow);
  singleton_task& Task() { return mTask; }

private:
  /// Tells the task when the store was restored since the last call. A daemon that has just started
  /// is told, too: it can't know for how long others may still call.
  void NoticeEra(instant aNow);
  void Execute(const read_task& aRead);
  void Execute(const write_task& aWrite);

  std::string mName;
  std::string mSelf;
  singleton_task mTask;
  object_store& mStore;
  const clock_source& mClock;
  kj::TaskSet& mTasks;
  std::uint64_t mEra = 0; ///< era of the store that the task knows
};

} // namespace skylarkwind
