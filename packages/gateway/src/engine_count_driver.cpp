#include "engine_count_driver_p.h"

#include "skylarkwind/log.h"

#include <algorithm>
#include <map>
#include <utility>

namespace skylarkwind {

namespace {

constexpr const char* kTaskName = "engine-count";
/// Time over which the prompts that engines have computed are summed.
constexpr std::chrono::milliseconds kDemandTime{ 1'000 };
constexpr double kMsPerS = 1'000;
/// Daemons that plan: the one that orders, and the next one to do so.
constexpr std::size_t kPlanners = 2;

std::string
Text(const engine_count_order& aOrder)
{
  return "service=" + aOrder.mService + " data_centre=" + aOrder.mDataCentre +
         " reclaimable=" + std::to_string(aOrder.mReclaimable) +
         " engines=" + std::to_string(aOrder.mEngines);
}

} // namespace

engine_count_driver::engine_count_driver(singleton_task_settings aSettings,
                                         const protocol_adapter& aProtocolAdapter,
                                         const route_index& aRoutes,
                                         const backend_directory& aDirectory,
                                         const backend_load_tracker& aLoadTracker,
                                         const engine_models& aModels,
                                         const load_exchange& aExchange,
                                         object_store& aStore,
                                         platform_api& aApi,
                                         const clock_source& aClock,
                                         counters& aCounters,
                                         kj::TaskSet& aTasks)
  : mSelf(aSettings.mSelf)
  , mProtocolAdapter(aProtocolAdapter)
  , mRoutes(aRoutes)
  , mDirectory(aDirectory)
  , mLoadTracker(aLoadTracker)
  , mModels(aModels)
  , mExchange(aExchange)
  , mApi(aApi)
  , mClock(aClock)
  , mCounters(aCounters)
  , mTasks(aTasks)
  , mRunner(kTaskName, std::move(aSettings), aStore, aClock, aTasks)
{
}

std::vector<engine_counts>
engine_count_driver::CountEngines(const forward_service& aService) const
{
  std::map<std::string, engine_counts> counts;
  for (const auto& [dataCentre, price] : aService.mOrdering->mPrices) {
    counts[dataCentre].mDataCentre = dataCentre;
  }
  mDirectory.ForEach([&](const backend_server& aServer) {
    if (aServer.mService == aService.mName && !aServer.mDraining) {
      auto& count = counts[aServer.mDataCentre];
      count.mDataCentre = aServer.mDataCentre;
      (aServer.mIsReclaimable ? count.mReclaimable : count.mStandard) += 1;
    }
  });
  std::vector<engine_counts> list;
  list.reserve(counts.size());
  for (auto& [dataCentre, count] : counts) {
    list.push_back(std::move(count));
  }
  return list;
}

engine_demand
engine_count_driver::Demand(const forward_service& aService, instant aNow) const
{
  engine_demand demand;
  demand.mSlots = aService.mEngine ? aService.mEngine->mSlots : 1;
  const auto secondsPerToken =
    mModels.Find(aService.mName).MsPerPromptToken(engine_role::Prefill) / kMsPerS;
  mDirectory.ForEach([&](const backend_server& aServer) {
    if (aServer.mService == aService.mName) {
      const auto view = mLoadTracker.View(aServer.mId, aNow);
      demand.mRunning += view.mRunning;
      // Requests of a daemon that ended count as finished, and those at a server that cannot be
      // reached as waiting. An engine has no more than one second of work in a second.
      demand.mWaitingWork +=
        view.mAdmits ? std::min(1.0, view.mWaitingTokens * secondsPerToken) : 0;
      demand.mPromptWork += std::min(
        1.0, mLoadTracker.FinishedTokens(aServer.mId, aNow - kDemandTime) * secondsPerToken);
    }
  });
  return demand;
}

std::vector<engine_count_order>
engine_count_driver::PlanAll(instant aNow)
{
  std::vector<engine_count_order> orders;
  const auto& configuration = mRoutes.Current();
  if (!configuration) {
    return orders;
  }
  for (const auto& service : configuration->mServices) {
    if (!service.mOrdering) {
      continue;
    }
    const auto counts = CountEngines(service);
    for (auto& order :
         mPlanner.Plan(service.mName, *service.mOrdering, counts, Demand(service, aNow), aNow)) {
      orders.push_back(std::move(order));
    }
    mCounters
      .Get("skylarkwind_engines_needed",
           "Engines that the work needs, by the decaying peak of the demand.",
           "service=\"" + service.mName + '"',
           counter_kind::Gauge)
      .Set(static_cast<std::int64_t>(mPlanner.Needed(service.mName)));
  }
  return orders;
}

void
engine_count_driver::OnTick(bool aWatchesStore, instant aNow)
{
  if (!mApi.IsConfigured()) {
    return;
  }
  const auto rank = aWatchesStore && mExchange.Connected(aNow) ? mExchange.Members().DutyRank(aNow)
                                                               : fleet_members::kNoDuty;
  if (rank >= kPlanners) {
    EndDuty(aNow);
    return;
  }
  // The daemon that stands by plans too, so that it knows the peaks when it takes over.
  auto orders = PlanAll(aNow);
  auto& task = mRunner.Task();
  const bool isDue = task.HasNewState() || !orders.empty() || !mWaiting.empty();
  mRunner.OnTick(rank, rank == 0 && isDue, aNow);
  if (rank != 0) {
    EndDuty(aNow);
    return;
  }
  mWaiting.insert(mWaiting.end(), orders.begin(), orders.end());
  const auto token = task.Token(aNow);
  if (!token) {
    return;
  }
  if (mTerm != task.Term()) {
    if (task.HasNewState()) {
      // The stored state lacks the last accepted orders until the write that is due.
      return;
    }
    mTerm = task.Term();
    // Another daemon may have ordered since these were planned.
    mPlanner.OnAcquired(task.StoredState());
    mWaiting.clear();
    return;
  }
  for (const auto& order : std::exchange(mWaiting, {})) {
    Send(order, *token);
  }
}

void
engine_count_driver::EndDuty(instant aNow)
{
  for (const auto& order : std::exchange(mWaiting, {})) {
    mPlanner.OnResult(order, platform_api::kNotSent, aNow);
  }
  if (mCallsUnderWay == 0) {
    // The listed engines alone do not tell what was ordered, so that this daemon begins from the
    // stored orders when it acts again, also if no other one held the task meanwhile.
    mPlanner.ForgetOrders();
    mTerm = 0;
  }
}

void
engine_count_driver::Send(const engine_count_order& aOrder, std::uint64_t aToken)
{
  ++mCallsUnderWay;
  mTasks.add(
    mApi
      .Call(mProtocolAdapter.EngineCountRequest(aOrder, mSelf, aToken), mRunner.Task().CallsUntil())
      .then([this, aOrder](int aStatus) { OnStatus(aOrder, aStatus); }));
}

void
engine_count_driver::OnStatus(const engine_count_order& aOrder, int aStatus)
{
  Log(log_level::Info,
      "engines",
      "ordered " + Text(aOrder) + " status=" + std::to_string(aStatus) +
        " needed=" + std::to_string(mPlanner.Needed(aOrder.mService)));
  mCounters
    .Get("skylarkwind_engine_orders_total",
         "Orders for numbers of engines by the status of their response.",
         "status=\"" + std::to_string(aStatus) + '"')
    .Add();
  --mCallsUnderWay;
  mPlanner.OnResult(aOrder, aStatus, mClock.Now());
  if (mTerm == mRunner.Task().Term()) {
    mRunner.Task().SetState(mPlanner.State());
  }
}

} // namespace skylarkwind
