#include "task_runner_p.h"

#include "skylarkwind/json_text.h"
#include "skylarkwind/log.h"
#include "skylarkwind/store_position.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace skylarkwind {

namespace {

using nlohmann::json;

constexpr const char* kKind = "skylarkwind-leases";

task_record
ParseRecord(const stored_object& aObject)
{
  const auto value = ParseUntrustedJson(aObject.mValue);
  const auto member = [&value](const char* aName) {
    return value.is_object() ? value.value(aName, json{}) : json{};
  };
  const auto holder = member("holder");
  const auto fencing = member("fencing");
  const auto state = member("state");
  task_record record;
  record.mRevision = aObject.mRevision;
  // A record that no daemon can have written is taken over like one of another holder, above all
  // earlier tokens: each token takes a write, so that none exceeds the revision of its own write.
  if (!holder.is_string() || !fencing.is_number_unsigned() ||
      fencing.get<std::uint64_t>() > aObject.mRevision) {
    record.mFencing = aObject.mRevision;
    return record;
  }
  record.mHolder = holder.get<std::string>();
  record.mFencing = fencing.get<std::uint64_t>();
  record.mState = state.is_string() ? state.get<std::string>() : std::string{};
  return record;
}

} // namespace

task_runner::task_runner(std::string aName,
                         singleton_task_settings aSettings,
                         object_store& aStore,
                         const clock_source& aClock,
                         kj::TaskSet& aTasks)
  : mName(std::move(aName))
  , mSelf(aSettings.mSelf)
  , mTask(std::move(aSettings))
  , mStore(aStore)
  , mClock(aClock)
  , mTasks(aTasks)
{
}

void
task_runner::NoticeEra(instant aNow)
{
  const auto era = mStore.Era();
  if (era > mEra) {
    mEra = era;
    mTask.OnStoreRestored(StartOfEra(era), aNow);
    Log(log_level::Info, "lease", "store restored task=" + mName + " era=" + std::to_string(era));
  }
}

void
task_runner::OnTick(std::size_t aRank, bool aDue, instant aNow)
{
  NoticeEra(aNow);
  if (const auto action = mTask.OnTick(aRank, aDue, aNow)) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, *action);
  }
}

void
task_runner::Execute(const read_task& aRead)
{
  mTasks.add(
    mStore.Read(kKind, mName).then([this, call = aRead.mCall](store_result<stored_object> aResult) {
      std::optional<task_record> record;
      bool failed = false;
      if (const auto* found = std::get_if<stored_object>(&aResult)) {
        record = ParseRecord(*found);
      } else {
        failed = std::get<store_failure>(aResult).mCause != store_failure::cause::Missing;
      }
      // The answer itself may be the first one of a restored store, and an absent record has no
      // revision that says so.
      const auto now = mClock.Now();
      NoticeEra(now);
      mTask.OnRead(call, record, failed, now);
    }));
}

void
task_runner::Execute(const write_task& aWrite)
{
  const json value{ { "holder", mSelf },
                    { "fencing", aWrite.mFencing },
                    { "state", aWrite.mState } };
  std::optional<std::uint64_t> revision;
  if (aWrite.mRevision != 0) {
    revision = aWrite.mRevision;
  }
  mTasks.add(mStore.Write(kKind, mName, revision, value.dump())
               .then([this, call = aWrite.mCall, token = aWrite.mFencing](
                       store_result<object_written> aResult) {
                 std::optional<std::uint64_t> written;
                 if (const auto* done = std::get_if<object_written>(&aResult)) {
                   written = done->mRevision;
                 }
                 const auto now = mClock.Now();
                 NoticeEra(now);
                 const auto term = mTask.Term();
                 mTask.OnWritten(call, written, now);
                 if (!written) {
                   Log(log_level::Info,
                       "lease",
                       "write failed task=" + mName + " fencing=" + std::to_string(token) +
                         " reason=\"" + std::get<store_failure>(aResult).mReason + '"');
                 } else if (mTask.Term() != term) {
                   Log(log_level::Info,
                       "lease",
                       "acquired task=" + mName + " fencing=" + std::to_string(token) +
                         " revision=" + std::to_string(*written));
                 }
               }));
}

} // namespace skylarkwind
