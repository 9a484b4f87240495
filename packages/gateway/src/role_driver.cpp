#include "role_driver_p.h"

#include "server_signals_p.h"

#include "skylarkwind/json_text.h"
#include "skylarkwind/log.h"
#include "skylarkwind/store_position.h"

#include <nlohmann/json.hpp>

namespace skylarkwind {

namespace {

using nlohmann::json;
using engine_response = std::optional<std::pair<int, std::string>>;

constexpr const char* kLeaseKind = "skylarkwind-leases";
constexpr const char* kLeaseName = "engine-orders";
/// Short, so that a command is sent well before the lease of its holder expires.
constexpr std::chrono::milliseconds kEngineCallTimeout{ 400 };
constexpr std::size_t kMaxResponseBytes = 256 * 1'024;

std::string_view
ResponseText(role_command_result aResponse)
{
  switch (aResponse) {
    case role_command_result::Accepted:
      return "accepted";
    case role_command_result::Unchanged:
      return "already in this role";
    case role_command_result::Conflict:
      return "conflict";
    case role_command_result::StaleFencing:
      return "stale fencing number";
    case role_command_result::WrongServer:
      return "other server";
    case role_command_result::Unknown:
      return "unknown";
  }
  return "unknown";
}

command_lease
ParseLease(const stored_object& aObject)
{
  const auto value = ParseUntrustedJson(aObject.mValue);
  const auto holder = value.is_object() ? value.value("holder", json{}) : json{};
  const auto fencing = value.is_object() ? value.value("fencing", json{}) : json{};
  // Each fencing number takes a write, so that none exceeds the revision of its own write. A lease
  // that no daemon can have written is taken over like one of another holder, above all earlier
  // numbers.
  if (!holder.is_string() || !fencing.is_number_unsigned() ||
      fencing.get<std::uint64_t>() > aObject.mRevision) {
    return { aObject.mRevision, {}, aObject.mRevision };
  }
  return { aObject.mRevision, holder.get<std::string>(), fencing.get<std::uint64_t>() };
}

} // namespace

role_driver::role_driver(role_controller_settings aSettings,
                         const protocol_adapter& aProtocolAdapter,
                         const route_index& aRoutes,
                         backend_directory& aDirectory,
                         backend_load_tracker& aLoadTracker,
                         load_exchange& aExchange,
                         object_store& aStore,
                         http_pool& aPool,
                         byte_budget& aBodies,
                         kj::Timer& aTimer,
                         const clock_source& aClock,
                         kj::TaskSet& aTasks)
  : mSelf(aSettings.mSelf)
  , mController(std::move(aSettings))
  , mProtocolAdapter(aProtocolAdapter)
  , mRoutes(aRoutes)
  , mDirectory(aDirectory)
  , mLoadTracker(aLoadTracker)
  , mExchange(aExchange)
  , mStore(aStore)
  , mPool(aPool)
  , mBodyBudget(aBodies)
  , mTimer(aTimer)
  , mClock(aClock)
  , mTasks(aTasks)
{
}

std::vector<role_controller::service_view>
role_driver::ServiceViews(instant aNow) const
{
  std::vector<role_controller::service_view> views;
  const auto& configuration = mRoutes.Current();
  if (!configuration) {
    return views;
  }
  for (const auto& service : configuration->mServices) {
    if (!service.mEngine) {
      continue;
    }
    role_controller::service_view view{ service.mName, service.mEngine->mRoleChange, {} };
    for (const auto* server : mDirectory.Eligible(service.mName)) {
      view.mEngines.push_back({ *server, mLoadTracker.View(server->mId, aNow).mRunning });
    }
    views.push_back(std::move(view));
  }
  return views;
}

void
role_driver::NoticeEra(instant aNow)
{
  const auto era = mStore.Era();
  if (era > mEra) {
    mEra = era;
    mController.OnStoreRestored(StartOfEra(era), aNow);
    Log(log_level::Info, "lease", "store restored era=" + std::to_string(era));
  }
}

void
role_driver::OnTick(bool aWatchesStore, instant aNow)
{
  NoticeEra(aNow);
  const auto views = ServiceViews(aNow);
  const auto rank = aWatchesStore ? mExchange.Members().DutyRank(aNow) : fleet_members::kNoDuty;
  Execute(mController.OnTick(views, rank, aNow));
}

void
role_driver::Execute(const std::vector<role_action>& aActions)
{
  for (const auto& action : aActions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, action);
  }
}

void
role_driver::Execute(const read_lease& aRead)
{
  const auto call = aRead.mCall;
  mTasks.add(
    mStore.Read(kLeaseKind, kLeaseName).then([this, call](store_result<stored_object> aResult) {
      const auto now = mClock.Now();
      // The answer itself may be the first one of a restored store, and an absent lease has no
      // revision that says so.
      NoticeEra(now);
      if (const auto* found = std::get_if<stored_object>(&aResult)) {
        mController.OnLeaseRead(call, ParseLease(*found), false, now);
        return;
      }
      const auto& failure = std::get<store_failure>(aResult);
      const bool failed = failure.mCause != store_failure::cause::Missing;
      mController.OnLeaseRead(call, std::nullopt, failed, now);
    }));
}

void
role_driver::Execute(const write_lease& aWrite)
{
  const json value{ { "holder", mSelf }, { "fencing", aWrite.mFencing } };
  std::optional<std::uint64_t> revision;
  if (aWrite.mRevision != 0) {
    revision = aWrite.mRevision;
  }
  const auto call = aWrite.mCall;
  const auto fencing = aWrite.mFencing;
  mTasks.add(mStore.Write(kLeaseKind, kLeaseName, revision, value.dump())
               .then([this, call, fencing](store_result<object_written> aResult) {
                 std::optional<std::uint64_t> written;
                 if (const auto* done = std::get_if<object_written>(&aResult)) {
                   written = done->mRevision;
                 }
                 Log(log_level::Info,
                     "lease",
                     "write fencing=" + std::to_string(fencing) +
                       (written
                          ? " done revision=" + std::to_string(*written)
                          : " failed reason=\"" + std::get<store_failure>(aResult).mReason + '"'));
                 const auto now = mClock.Now();
                 NoticeEra(now);
                 mController.OnLeaseWritten(call, written, now);
               }));
}

kj::Promise<engine_response>
role_driver::CallEngine(const std::string& aBackendId, control_request aCall)
{
  const auto* server = mDirectory.Find(aBackendId);
  if (server == nullptr || mClock.Now() < mLoadTracker.BackoffUntil(aBackendId)) {
    return engine_response{};
  }
  auto asked = kj::heap<backend_server>(*server);
  auto body = kj::heap<std::string>(std::move(aCall.mBody));
  http_call call;
  call.mAddress = server->mAddress;
  call.mHost = server->mAddress;
  call.mMethod = std::move(aCall.mMethod);
  call.mTarget = std::move(aCall.mPath);
  call.mHeaders = std::move(aCall.mHeaders);
  call.mBody = *body;
  // Responses to these calls carry no id, so a repeated response to an earlier request on the
  // connection would pass for the response.
  call.mMaxIdleForReuse = std::chrono::milliseconds{ 0 };
  auto calling = mPool.Call(std::move(call)).then([this, &asked = *asked](http_result aResult) {
    if (std::holds_alternative<http_failure>(aResult)) {
      return kj::Promise<engine_response>(engine_response{});
    }
    auto response = std::get<std::unique_ptr<http_answer>>(std::move(aResult));
    auto& text = response->Body();
    return ReadBodyOrThrow(text, kMaxResponseBytes, mBodyBudget)
      .then([this, &asked, response = std::move(response)](
              buffered_body aText) mutable -> engine_response {
        const auto head = mProtocolAdapter.ParseResponse(response->mStatus, response->mHeaders);
        ApplyServerSignals(head, asked, mDirectory, mLoadTracker, mExchange, mClock.Now());
        engine_response read{ std::in_place, response->mStatus, aText.Text() };
        mPool.Release(std::move(response), head.mClosesConnection, head.mKeepAlive);
        return read;
      });
  });
  return mTimer.timeoutAfter(ToKj(kEngineCallTimeout), kj::mv(calling))
    .then([](engine_response aResponse) { return aResponse; },
          [](kj::Exception&&) {
            // No response in time; the caller treats the outcome as unknown.
            return engine_response{};
          })
    .attach(kj::mv(body), kj::mv(asked));
}

void
role_driver::Execute(const query_engine_state& aQuery)
{
  const auto call = aQuery.mCall;
  const auto id = aQuery.mBackendId;
  mTasks.add(CallEngine(id, mProtocolAdapter.StateRequest())
               .then([this, call, id](engine_response aResponse) {
                 std::optional<engine_state_report> report;
                 if (aResponse && aResponse->first == 200) {
                   if (auto parsed = mProtocolAdapter.ParseState(aResponse->second); parsed.ok()) {
                     report = *parsed;
                   }
                 }
                 Execute(mController.OnEngineState(call, id, report, mClock.Now()));
               }));
}

void
role_driver::Execute(const send_role_command& aSend)
{
  const auto call = aSend.mCall;
  const auto id = aSend.mOrder.mBackendId;
  if (mClock.Now() >= aSend.mNotAfter) {
    mController.OnRoleCommandResult(call, id, role_command_result::Unknown, mClock.Now());
    return;
  }
  const auto role = aSend.mOrder.mRole == engine_role::Prefill ? "prefill" : "decode";
  Log(log_level::Info,
      "orders",
      "sent id=" + id + " role=" + role + " fencing=" + std::to_string(aSend.mOrder.mFencing) +
        " expected=" + std::to_string(aSend.mOrder.mExpectedCommandCount));
  mTasks.add(CallEngine(id, mProtocolAdapter.RoleCommandRequest(aSend.mOrder))
               .then([this, call, id](engine_response aResponse) {
                 const auto response = aResponse
                                         ? mProtocolAdapter.ParseRoleCommandResult(aResponse->first)
                                         : role_command_result::Unknown;
                 const auto now = mClock.Now();
                 Log(log_level::Info,
                     "orders",
                     "id=" + id + " answer=" + std::string{ ResponseText(response) });
                 mController.OnRoleCommandResult(call, id, response, now);
                 if (const auto changing = mController.Changing().find(id);
                     changing != mController.Changing().end()) {
                   mExchange.OnRoleChange(BackendKey(id), changing->second);
                 }
               }));
}

} // namespace skylarkwind
