#include "role_driver_p.h"

#include "server_statements_p.h"

#include "skylarkwind/log.h"

#include <nlohmann/json.hpp>

namespace skylarkwind {

namespace {

using nlohmann::json;
using engine_answer = std::optional<std::pair<int, std::string>>;

constexpr const char* kLeaseKind = "skylarkwind-leases";
constexpr const char* kLeaseName = "engine-orders";
/// Short, so that an order is sent well before the lease of its holder expires.
constexpr std::chrono::milliseconds kEngineCallTimeout{ 400 };
constexpr std::size_t kMaxAnswerBytes = 256 * 1'024;

std::string_view
AnswerText(role_order_answer aAnswer)
{
  switch (aAnswer) {
    case role_order_answer::Accepted:
      return "accepted";
    case role_order_answer::AlreadySo:
      return "already in this role";
    case role_order_answer::Conflict:
      return "conflict";
    case role_order_answer::StaleFencing:
      return "stale fencing number";
    case role_order_answer::OtherServer:
      return "other server";
    case role_order_answer::Unknown:
      return "unknown";
  }
  return "unknown";
}

std::optional<order_lease>
ParseLease(const stored_object& aObject)
{
  const auto value = json::parse(aObject.mValue, nullptr, false);
  if (!value.is_object() || !value.contains("holder") || !value["holder"].is_string() ||
      !value.contains("fencing") || !value["fencing"].is_number_unsigned()) {
    return std::nullopt;
  }
  return order_lease{ aObject.mRevision,
                      value["holder"].get<std::string>(),
                      value["fencing"].get<std::uint64_t>() };
}

} // namespace

role_driver::role_driver(role_keeper_settings aSettings,
                         const forward_dialect& aDialect,
                         const route_index& aRoutes,
                         backend_directory& aDirectory,
                         backend_board& aBoard,
                         work_exchange& aExchange,
                         object_store& aStore,
                         http_pool& aPool,
                         byte_budget& aBodies,
                         kj::Timer& aTimer,
                         const clock_source& aClock,
                         kj::TaskSet& aTasks)
  : mSelf(aSettings.mSelf)
  , mKeeper(std::move(aSettings))
  , mDialect(aDialect)
  , mRoutes(aRoutes)
  , mDirectory(aDirectory)
  , mBoard(aBoard)
  , mExchange(aExchange)
  , mStore(aStore)
  , mPool(aPool)
  , mBodyBudget(aBodies)
  , mTimer(aTimer)
  , mClock(aClock)
  , mTasks(aTasks)
{
}

std::vector<role_keeper::service_view>
role_driver::ServiceViews(instant aNow) const
{
  std::vector<role_keeper::service_view> views;
  const auto& configuration = mRoutes.Current();
  if (!configuration) {
    return views;
  }
  for (const auto& service : configuration->mServices) {
    if (!service.mEngine) {
      continue;
    }
    role_keeper::service_view view{ service.mName, service.mEngine->mRoleChange, {} };
    for (const auto* server : mDirectory.Usable(service.mName)) {
      view.mEngines.push_back({ *server, mBoard.Look(server->mId, aNow).mRunning });
    }
    views.push_back(std::move(view));
  }
  return views;
}

void
role_driver::OnTick(bool aFollows, instant aNow)
{
  const auto views = ServiceViews(aNow);
  const auto rank = aFollows ? mExchange.Members().DutyRank(aNow) : fleet_members::kNoDuty;
  Execute(mKeeper.OnTick(views, rank, aNow));
}

void
role_driver::Execute(const std::vector<role_action>& aActions)
{
  for (const auto& action : aActions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, action);
  }
}

void
role_driver::Execute(const read_lease&)
{
  mTasks.add(mStore.Read(kLeaseKind, kLeaseName).then([this](store_result<stored_object> aResult) {
    const auto now = mClock.Now();
    if (const auto* found = std::get_if<stored_object>(&aResult)) {
      mKeeper.OnLease(ParseLease(*found), false, now);
      return;
    }
    const auto& failure = std::get<store_failure>(aResult);
    mKeeper.OnLease(std::nullopt, failure.mCause != store_failure::cause::Missing, now);
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
  const auto fencing = aWrite.mFencing;
  mTasks.add(mStore.Write(kLeaseKind, kLeaseName, revision, value.dump())
               .then([this, fencing](store_result<object_written> aResult) {
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
                 mKeeper.OnLeaseWritten(written, mClock.Now());
               }));
}

kj::Promise<engine_answer>
role_driver::CallEngine(const std::string& aBackendId, control_call aCall)
{
  const auto* server = mDirectory.Find(aBackendId);
  if (server == nullptr || mClock.Now() < mBoard.QuietUntil(aBackendId)) {
    return engine_answer{};
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
  auto calling = mPool.Call(std::move(call)).then([this, &asked = *asked](http_result aResult) {
    if (std::holds_alternative<http_failure>(aResult)) {
      return kj::Promise<engine_answer>(engine_answer{});
    }
    auto answer = std::get<std::unique_ptr<http_answer>>(std::move(aResult));
    auto& text = answer->Body();
    return ReadWholeBody(text, kMaxAnswerBytes, mBodyBudget)
      .then([this, &asked, answer = std::move(answer)](held_body aText) mutable -> engine_answer {
        const auto head = mDialect.ReadAnswer(answer->mStatus, answer->mHeaders);
        NoteStatements(head, asked, mDirectory, mBoard, mExchange, mClock.Now());
        engine_answer read{ std::in_place, answer->mStatus, aText.Text() };
        mPool.Release(std::move(answer), head.mCloses, head.mKeepAlive);
        return read;
      });
  });
  return mTimer.timeoutAfter(ToKj(kEngineCallTimeout), kj::mv(calling))
    .then([](engine_answer aAnswer) { return aAnswer; },
          [](kj::Exception&&) {
            // No response in time; the caller treats the outcome as unknown.
            return engine_answer{};
          })
    .attach(kj::mv(body), kj::mv(asked));
}

void
role_driver::Execute(const ask_engine_state& aAsk)
{
  const auto id = aAsk.mBackendId;
  mTasks.add(CallEngine(id, mDialect.ReadState()).then([this, id](engine_answer aAnswer) {
    std::optional<engine_state_report> report;
    if (aAnswer && aAnswer->first == 200) {
      if (auto parsed = mDialect.ParseState(aAnswer->second); parsed.ok()) {
        report = *parsed;
      }
    }
    Execute(mKeeper.OnState(id, report, mClock.Now()));
  }));
}

void
role_driver::Execute(const give_role_order& aGive)
{
  const auto id = aGive.mOrder.mBackendId;
  if (mClock.Now() >= aGive.mNotAfter) {
    mKeeper.OnOrdered(id, role_order_answer::Unknown, mClock.Now());
    return;
  }
  const auto role = aGive.mOrder.mRole == engine_role::Prefill ? "prefill" : "decode";
  Log(log_level::Info,
      "orders",
      "sent id=" + id + " role=" + role + " fencing=" + std::to_string(aGive.mOrder.mFencing) +
        " expected=" + std::to_string(aGive.mOrder.mExpectedSequence));
  mTasks.add(
    CallEngine(id, mDialect.OrderRole(aGive.mOrder)).then([this, id](engine_answer aAnswer) {
      const auto answer =
        aAnswer ? mDialect.ParseOrderAnswer(aAnswer->first) : role_order_answer::Unknown;
      const auto now = mClock.Now();
      Log(log_level::Info, "orders", "id=" + id + " answer=" + std::string{ AnswerText(answer) });
      mKeeper.OnOrdered(id, answer, now);
      if (const auto changing = mKeeper.Changing().find(id); changing != mKeeper.Changing().end()) {
        mExchange.OnChanging(BackendKey(id), changing->second);
      }
    }));
}

} // namespace skylarkwind
