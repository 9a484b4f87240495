#include "skylarkwind/front.h"

#include "answer_format_p.h"
#include "front_io_p.h"
#include "front_messages_p.h"

#include <arpa/inet.h>
#include <pistache/listener.h>

#include <optional>
#include <type_traits>
#include <unordered_map>
#include <utility>

namespace skylarkwind {

namespace {

constexpr int kBacklog = 1024;
constexpr std::size_t kWorkers = 1;

/// A request until its answer is sent.
struct open_request
{
  connection_id mConnection = 0;
  answer_framing mFraming;
  bool mStreaming = false;
  bool mBegun = false;                      ///< the head of the stream is queued
  bool mFinished = false;                   ///< the whole answer is queued
  std::optional<completion_format> mFormat; ///< set for completions
  std::string mText;                        ///< collected for a whole answer
  std::string mResumeToken;                 ///< of the last tokens
};

std::int64_t
WallSeconds()
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
RetryAfterSeconds(std::chrono::milliseconds aDelay)
{
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(aDelay).count());
}

caller_error
ToError(request_id aRequest, const refusal& aRefusal)
{
  return { aRequest,
           aRefusal.mStatus,
           aRefusal.mStatus < 500 ? "invalid_request_error" : "unavailable_error",
           aRefusal.mCode,
           aRefusal.mMessage,
           run_state::NotRun,
           std::nullopt };
}

absl::StatusOr<Pistache::Address>
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  in_addr parsed{};
  // Host names are refused: resolving one would ask a name server.
  if (colon == std::string::npos ||
      inet_pton(AF_INET, aText.substr(0, colon).c_str(), &parsed) != 1) {
    return absl::InvalidArgumentError("address must be ip:port: " + aText);
  }
  try {
    return Pistache::Address{ aText.substr(0, colon), Pistache::Port{ aText.substr(colon + 1) } };
  } catch (const std::exception& failure) {
    return absl::InvalidArgumentError("address " + aText + ": " + failure.what());
  }
}

} // namespace

std::uint64_t
NextRequestNumber()
{
  static std::atomic<std::uint64_t> last{ 0 };
  return ++last;
}

front_counters::front_counters(counters& aRegistry)
  : mConnections(aRegistry.Get("skylarkwind_front_connections",
                               "Open connections of callers.",
                               {},
                               counter_kind::Gauge))
  , mOpenRequests(aRegistry.Get("skylarkwind_front_open_requests",
                                "Requests whose answer is not sent in full.",
                                {},
                                counter_kind::Gauge))
  , mRequests(aRegistry.Get("skylarkwind_front_requests_total", "Requests received."))
  , mRefused(aRegistry.Get("skylarkwind_front_refused_total", "Requests refused by the front."))
  , mCallersGone(aRegistry.Get("skylarkwind_front_callers_gone_total",
                               "Callers that left before their answer was whole."))
  , mClosedSlow(aRegistry.Get("skylarkwind_front_closed_total",
                              "Connections closed by the front.",
                              "reason=\"slow_sender\""))
  , mClosedIdle(aRegistry.Get("skylarkwind_front_closed_total", {}, "reason=\"idle\""))
  , mClosedStalled(aRegistry.Get("skylarkwind_front_closed_total", {}, "reason=\"stalled\""))
  , mClosedPending(aRegistry.Get("skylarkwind_front_closed_total", {}, "reason=\"pending_bytes\""))
  , mClosedExcess(aRegistry.Get("skylarkwind_front_closed_total", {}, "reason=\"excess\""))
{
}

class caller_front::impl
{
public:
  impl(front_settings aSettings,
       counters& aCounters,
       std::function<void(event)> aOnEvent,
       std::function<local_answer(const local_request&)> aOnLocal)
    : mShared(std::make_shared<front_shared>(std::move(aSettings), aCounters))
    , mOnEvent(std::move(aOnEvent))
    , mOnLocal(std::move(aOnLocal))
  {
  }

  absl::Status Listen();
  void Drain();
  void Apply(const effect& aEffect);
  void StopAccepting();
  void Stop();

  int WakeFd() const { return mShared->mToLoop.Fd(); }
  std::uint16_t Port() const { return mPort; }
  std::size_t OpenRequests() const { return mOpen.size(); }

private:
  void Take(request_read&& aRead);
  void Take(const answer_sent& aSent);
  void Take(const connection_lost& aLost);
  void Serve(request_id aRequest, open_request& aOpen, caller_request&& aParsed);
  void Refuse(request_id aRequest, open_request& aOpen, const refusal& aRefusal);
  void AnswerLocally(request_id aRequest, open_request& aOpen, const local_request& aLocal);

  void Carry(open_request& aOpen, const caller_error& aError);
  void Carry(open_request& aOpen, const caller_tokens& aTokens);
  void Carry(open_request& aOpen, const caller_completed& aCompleted);
  void Carry(open_request& aOpen, const caller_response& aAnswered);

  void SendEvent(request_id aRequest, open_request& aOpen, std::string_view aEvent, bool aLast);
  void SendWhole(request_id aRequest,
                 open_request& aOpen,
                 int aStatus,
                 const header_list& aHeaders,
                 std::string_view aBody);
  void Send(request_id aRequest, open_request& aOpen, std::string aBytes, bool aLast);
  void CountOpen();

  const std::shared_ptr<front_shared> mShared;
  const std::function<void(event)> mOnEvent;
  const std::function<local_answer(const local_request&)> mOnLocal;
  std::unordered_map<request_id, open_request> mOpen;
  std::unique_ptr<Pistache::Tcp::Listener> mListener;
  std::uint16_t mPort = 0;
  bool mStopping = false;
};

absl::Status
caller_front::impl::Listen()
{
  const auto address = ParseAddress(mShared->mSettings.mAddress);
  if (!address.ok()) {
    return address.status();
  }
  if (WakeFd() < 0 || mShared->mToIo.Fd() < 0) {
    return absl::ResourceExhaustedError("no descriptor for the front's queues");
  }
  try {
    using Pistache::Tcp::Options;
    const auto connections = std::make_shared<front_io>(mShared);
    const auto handler = std::make_shared<front_handler>(connections);
    mListener = std::make_unique<Pistache::Tcp::Listener>();
    mListener->init(kWorkers,
                    Pistache::Flags<Options>(Options::NoDelay) | Options::ReuseAddr |
                      Options::CloseOnExec,
                    "front",
                    kBacklog);
    mListener->setTransportFactory(
      [handler, connections] { return std::make_shared<front_transport>(handler, connections); });
    mListener->setHandler(handler);
    mListener->bind(*address);
    mPort = mListener->getPort();
    mListener->runThreaded();
  } catch (const std::exception& failure) {
    mListener.reset();
    return absl::UnavailableError("cannot listen on " + mShared->mSettings.mAddress + ": " +
                                  failure.what());
  }
  return absl::OkStatus();
}

void
caller_front::impl::Drain()
{
  for (auto& message : mShared->mToLoop.TakeAll()) {
    std::visit([this](auto& aMessage) { Take(std::move(aMessage)); }, message);
  }
  CountOpen();
}

void
caller_front::impl::Take(request_read&& aRead)
{
  mShared->mCounters.mRequests.Add();
  const request_id request{ aRead.mRequest };
  const bool full = mOpen.size() >= mShared->mSettings.mMaxOpenRequests;
  auto& open = mOpen[request];
  open.mConnection = aRead.mConnection;
  open.mFraming = aRead.mFraming;
  open.mFraming.mKeepAlive = open.mFraming.mKeepAlive && !mStopping;
  if (const auto* wrong = std::get_if<refusal>(&aRead.mOutcome)) {
    Refuse(request, open, *wrong);
  } else if (const auto* local = std::get_if<local_request>(&aRead.mOutcome)) {
    AnswerLocally(request, open, *local);
  } else if (mStopping) {
    Refuse(request, open, { 503, "shutting_down", "this server is shutting down", {} });
  } else if (full) {
    Refuse(request, open, { 503, "too_many_open_requests", "too many requests are open", {} });
  } else {
    Serve(request, open, std::get<caller_request>(std::move(aRead.mOutcome)));
  }
}

void
caller_front::impl::Take(const answer_sent& aSent)
{
  mOpen.erase(request_id{ aSent.mRequest });
}

void
caller_front::impl::Take(const connection_lost& aLost)
{
  const request_id request{ aLost.mRequest };
  const auto found = mOpen.find(request);
  if (found == mOpen.end()) {
    return;
  }
  const bool finished = found->second.mFinished;
  mOpen.erase(found);
  if (!finished) {
    mShared->mCounters.mCallersGone.Add();
    mOnEvent(caller_disconnected{ request });
  }
}

void
caller_front::impl::Serve(request_id aRequest, open_request& aOpen, caller_request&& aParsed)
{
  if (const auto* completion = std::get_if<completion_request>(&aParsed.mOperation)) {
    aOpen.mStreaming = completion->mStreaming;
    aOpen.mFormat.emplace(aRequest.mValue, completion->mChat, completion->mModel, WallSeconds());
  }
  // The handler may apply effects for this request before it returns.
  mOnEvent(caller_arrived{ aRequest, std::move(aParsed) });
}

void
caller_front::impl::Refuse(request_id aRequest, open_request& aOpen, const refusal& aRefusal)
{
  mShared->mCounters.mRefused.Add();
  header_list headers{ { "Content-Type", "application/json" } };
  if (!aRefusal.mAllow.empty()) {
    headers.emplace_back("Allow", aRefusal.mAllow);
  }
  if (aRefusal.mStatus == 503) {
    headers.emplace_back("Retry-After", "1");
  }
  SendWhole(aRequest, aOpen, aRefusal.mStatus, headers, ErrorBody(ToError(aRequest, aRefusal)));
}

void
caller_front::impl::AnswerLocally(request_id aRequest,
                                  open_request& aOpen,
                                  const local_request& aLocal)
{
  const auto answer = mOnLocal(aLocal);
  SendWhole(
    aRequest, aOpen, answer.mStatus, { { "Content-Type", answer.mContentType } }, answer.mBody);
}

void
caller_front::impl::Apply(const effect& aEffect)
{
  std::visit(
    [this]<class type>(const type& aCarried) {
      if constexpr (std::is_same_v<type, caller_error> || std::is_same_v<type, caller_tokens> ||
                    std::is_same_v<type, caller_completed> ||
                    std::is_same_v<type, caller_response>) {
        const auto found = mOpen.find(aCarried.mRequest);
        if (found != mOpen.end() && !found->second.mFinished) {
          Carry(found->second, aCarried);
        }
      }
    },
    aEffect);
}

void
caller_front::impl::Carry(open_request& aOpen, const caller_error& aError)
{
  if (aOpen.mBegun) {
    SendEvent(aError.mRequest, aOpen, ErrorEvent(aError), true);
    return;
  }
  header_list headers{ { "Content-Type", "application/json" } };
  if (aError.mRetryAfter) {
    headers.emplace_back("Retry-After", RetryAfterSeconds(*aError.mRetryAfter));
  }
  SendWhole(aError.mRequest, aOpen, aError.mStatus, headers, ErrorBody(aError));
}

void
caller_front::impl::Carry(open_request& aOpen, const caller_tokens& aTokens)
{
  if (!aOpen.mFormat) {
    return;
  }
  if (!aOpen.mStreaming) {
    aOpen.mText += aTokens.mText;
    return;
  }
  aOpen.mResumeToken = aTokens.mResumeToken;
  SendEvent(aTokens.mRequest,
            aOpen,
            aOpen.mFormat->TokensEvent(aTokens.mText, aTokens.mResumeToken, !aOpen.mBegun),
            false);
}

void
caller_front::impl::Carry(open_request& aOpen, const caller_completed& aCompleted)
{
  if (!aOpen.mFormat) {
    return;
  }
  if (aOpen.mStreaming) {
    SendEvent(
      aCompleted.mRequest, aOpen, aOpen.mFormat->LastEvents(aCompleted, aOpen.mResumeToken), true);
  } else {
    SendWhole(aCompleted.mRequest,
              aOpen,
              200,
              { { "Content-Type", "application/json" } },
              aOpen.mFormat->WholeObject(aOpen.mText, aCompleted));
  }
}

void
caller_front::impl::Carry(open_request& aOpen, const caller_response& aAnswered)
{
  const bool valid = aAnswered.mStatus >= 200 && aAnswered.mStatus <= 599;
  if (aOpen.mBegun || !valid) {
    // Neither can be expressed in HTTP at this point; the caller gets an error instead.
    Carry(aOpen,
          caller_error{ aAnswered.mRequest,
                        502,
                        "backend_error",
                        "invalid_answer",
                        "the backend server's answer cannot be passed on",
                        run_state::OutcomeUnknown,
                        std::nullopt });
    return;
  }
  SendWhole(aAnswered.mRequest, aOpen, aAnswered.mStatus, aAnswered.mHeaders, aAnswered.mBody);
}

void
caller_front::impl::SendEvent(request_id aRequest,
                              open_request& aOpen,
                              std::string_view aEvent,
                              bool aLast)
{
  // A stream without chunks ends with the connection.
  aOpen.mFraming.mKeepAlive = aOpen.mFraming.mKeepAlive && !aOpen.mFraming.mHttp10;
  std::string bytes;
  if (!std::exchange(aOpen.mBegun, true)) {
    bytes = StreamHead(aOpen.mFraming);
  }
  bytes += StreamPiece(aEvent, aOpen.mFraming);
  if (aLast) {
    bytes += StreamEnd(aOpen.mFraming);
  }
  Send(aRequest, aOpen, std::move(bytes), aLast);
}

void
caller_front::impl::SendWhole(request_id aRequest,
                              open_request& aOpen,
                              int aStatus,
                              const header_list& aHeaders,
                              std::string_view aBody)
{
  Send(aRequest, aOpen, WholeAnswer(aStatus, aHeaders, aBody, aOpen.mFraming), true);
}

void
caller_front::impl::Send(request_id aRequest, open_request& aOpen, std::string aBytes, bool aLast)
{
  if (aLast) {
    aOpen.mFinished = true;
    aOpen.mText = std::string{};
  }
  mShared->mToIo.Push(write_order{ aOpen.mConnection,
                                   aRequest.mValue,
                                   std::move(aBytes),
                                   aLast,
                                   aLast && !aOpen.mFraming.mKeepAlive });
}

void
caller_front::impl::CountOpen()
{
  mShared->mCounters.mOpenRequests.Set(static_cast<std::int64_t>(mOpen.size()));
}

void
caller_front::impl::StopAccepting()
{
  mStopping = true;
  mShared->mToIo.Push(close_idle{});
}

void
caller_front::impl::Stop()
{
  if (mListener) {
    mListener->shutdown();
    mListener.reset();
  }
}

caller_front::caller_front(std::unique_ptr<impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

caller_front::~caller_front()
{
  Stop();
}

absl::StatusOr<std::unique_ptr<caller_front>>
caller_front::Create(front_settings aSettings,
                     counters& aCounters,
                     std::function<void(event)> aOnEvent,
                     std::function<local_answer(const local_request&)> aOnLocal)
{
  auto made = std::make_unique<impl>(
    std::move(aSettings), aCounters, std::move(aOnEvent), std::move(aOnLocal));
  if (const auto status = made->Listen(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<caller_front>{ new caller_front(std::move(made)) };
}

int
caller_front::WakeFd() const
{
  return mImpl->WakeFd();
}

void
caller_front::Drain()
{
  mImpl->Drain();
}

void
caller_front::Apply(const effect& aEffect)
{
  mImpl->Apply(aEffect);
}

std::uint16_t
caller_front::Port() const
{
  return mImpl->Port();
}

std::size_t
caller_front::OpenRequests() const
{
  return mImpl->OpenRequests();
}

void
caller_front::StopAccepting()
{
  mImpl->StopAccepting();
}

void
caller_front::Stop()
{
  mImpl->Stop();
}

} // namespace skylarkwind
